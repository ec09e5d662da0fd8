/** Durations below this are not distinguished, in ms. */
const minDurationMs = 8;
/** Ratio between the bounds of a bin; 1.2 gives a median that is accurate within 10 %. */
const binRatio = 1.2;
/** Number of bins; the last one also counts all longer durations. */
const binCount = 44;
/** Factor applied to the weights of all earlier samples for each new one; about 200 samples count. */
const retention = 0.995;
/** Number of samples that the initial estimate counts for. */
const initialWeight = 4;

const logBinRatio = Math.log(binRatio);
/** Longest duration of each bin, in ms. */
const upperBoundsMs = Float64Array.from(
  {length: binCount},
  (_, bin) => minDurationMs * binRatio ** (bin + 1),
);

function binOf(ms: number): number {
  const bin = Math.floor(Math.log(Math.max(ms, minDurationMs) / minDurationMs) / logBinRatio);
  return Math.min(bin, binCount - 1);
}

function upperBoundMs(bin: number): number {
  return upperBoundsMs[bin] ?? 0;
}

/**
 * Histogram of the durations of successful attempts, with logarithmic bins. Older samples lose weight
 * exponentially.
 */
export class DurationHistogram {
  readonly #weights = new Float64Array(binCount);
  /** Weight of all longer bins, by bin; valid until the next sample. */
  readonly #weightsAbove = new Float64Array(binCount);
  #areWeightsAboveValid = false;
  #total = 0;

  /** @param initialMeanMs Mean duration assumed before the first samples, in ms. */
  constructor(initialMeanMs: number) {
    for (let bin = 0; bin < binCount; bin += 1) {
      const below = 1 - Math.exp(-upperBoundMs(bin) / initialMeanMs);
      const belowPrevious = bin === 0 ? 0 : 1 - Math.exp(-upperBoundMs(bin - 1) / initialMeanMs);
      this.#weights[bin] = (below - belowPrevious) * initialWeight;
    }
    this.#total = initialWeight;
  }

  /** Adds the duration of a successful attempt. */
  record(durationMs: number): void {
    for (let bin = 0; bin < binCount; bin += 1) {
      this.#weights[bin] = (this.#weights[bin] ?? 0) * retention;
    }
    const bin = binOf(durationMs);
    this.#weights[bin] = (this.#weights[bin] ?? 0) + 1;
    this.#total = this.#total * retention + 1;
    this.#areWeightsAboveValid = false;
  }

  /** Share of the durations that are longer than `ageMs`, above 0. */
  shareAbove(ageMs: number): number {
    const ageBin = binOf(ageMs);
    let above = this.#weightAbove(ageBin);
    const lowerMs = ageBin === 0 ? 0 : upperBoundMs(ageBin - 1);
    const passedShare = Math.min(
      1,
      Math.max(0, (ageMs - lowerMs) / (upperBoundMs(ageBin) - lowerMs)),
    );
    above += (this.#weights[ageBin] ?? 0) * (1 - passedShare);
    return (above + 0.1) / (this.#total + 0.1);
  }

  #weightAbove(ageBin: number): number {
    if (!this.#areWeightsAboveValid) {
      let above = 0;
      for (let bin = binCount - 1; bin >= 0; bin -= 1) {
        this.#weightsAbove[bin] = above;
        above += this.#weights[bin] ?? 0;
      }
      this.#areWeightsAboveValid = true;
    }
    return this.#weightsAbove[ageBin] ?? 0;
  }

  /** Mean duration in ms, accurate to one bin. */
  get meanMs(): number {
    let sumMs = 0;
    for (let bin = 0; bin < binCount; bin += 1) {
      sumMs += (this.#weights[bin] ?? 0) * upperBoundMs(bin);
    }
    return sumMs / this.#total;
  }

  /** Duration that the given share of the samples does not exceed, in ms. */
  quantileMs(share: number): number {
    let below = 0;
    for (let bin = 0; bin < binCount; bin += 1) {
      below += this.#weights[bin] ?? 0;
      if (below >= share * this.#total) {
        return upperBoundMs(bin);
      }
    }
    return upperBoundMs(binCount - 1);
  }
}
