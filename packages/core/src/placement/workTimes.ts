/** Shortest work time that is told apart, in ms. */
const shortestMs = 8;
/** Ratio between the bounds of a bin; 1.2 tells a median within 10 %. */
const binRatio = 1.2;
const binCount = 44;
/** Weight that all earlier samples keep at each new one: about 200 samples count. */
const retention = 0.995;
/** Samples that the first guess counts for. */
const guessWeight = 4;

function binOf(ms: number): number {
  const bin = Math.floor(Math.log(Math.max(ms, shortestMs) / shortestMs) / Math.log(binRatio));
  return Math.min(bin, binCount - 1);
}

function upperBoundMs(bin: number): number {
  return shortestMs * binRatio ** (bin + 1);
}

/** How long backend servers work on one route, from answers that came; recent ones count more. */
export class WorkTimes {
  readonly #weights = new Float64Array(binCount);
  #total = 0;

  /** @param guessMs Mean work time assumed before the first answers, in ms. */
  constructor(guessMs: number) {
    for (let bin = 0; bin < binCount; bin += 1) {
      const below = 1 - Math.exp(-upperBoundMs(bin) / guessMs);
      const belowFormer = bin === 0 ? 0 : 1 - Math.exp(-upperBoundMs(bin - 1) / guessMs);
      this.#weights[bin] = (below - belowFormer) * guessWeight;
    }
    this.#total = guessWeight;
  }

  note(workMs: number): void {
    for (let bin = 0; bin < binCount; bin += 1) {
      this.#weights[bin] = (this.#weights[bin] ?? 0) * retention;
    }
    const bin = binOf(workMs);
    this.#weights[bin] = (this.#weights[bin] ?? 0) + 1;
    this.#total = this.#total * retention + 1;
  }

  /** Share of the answers that take longer than `ageMs`, above 0. */
  shareAbove(ageMs: number): number {
    const ageBin = binOf(ageMs);
    let above = 0;
    for (let bin = ageBin + 1; bin < binCount; bin += 1) {
      above += this.#weights[bin] ?? 0;
    }
    const lowerMs = ageBin === 0 ? 0 : upperBoundMs(ageBin - 1);
    const passed = Math.min(1, Math.max(0, (ageMs - lowerMs) / (upperBoundMs(ageBin) - lowerMs)));
    above += (this.#weights[ageBin] ?? 0) * (1 - passed);
    return (above + 0.1) / (this.#total + 0.1);
  }

  /** Mean time of the answers, in ms, to within a bin. */
  get meanMs(): number {
    let sumMs = 0;
    for (let bin = 0; bin < binCount; bin += 1) {
      sumMs += (this.#weights[bin] ?? 0) * upperBoundMs(bin);
    }
    return sumMs / this.#total;
  }

  /** Time within which a share of the answers comes, in ms. */
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
