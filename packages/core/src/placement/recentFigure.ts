/** A figure that is costly to compute and is used again for a short time. */
export class RecentFigure<Value> {
  readonly #validityMs: number;
  readonly #compute: (nowMs: number) => Value;
  #latest: {readonly value: Value; readonly computedAtMs: number} | undefined;

  /** Computes the figure by `compute` at most once in `validityMs`. */
  constructor(validityMs: number, compute: (nowMs: number) => Value) {
    this.#validityMs = validityMs;
    this.#compute = compute;
  }

  /** The figure, at most `validityMs` old. */
  at(nowMs: number): Value {
    if (this.#latest === undefined || nowMs - this.#latest.computedAtMs >= this.#validityMs) {
      this.#latest = {value: this.#compute(nowMs), computedAtMs: nowMs};
    }
    return this.#latest.value;
  }

  /** Makes the next use compute the figure again. */
  invalidate(): void {
    this.#latest = undefined;
  }
}
