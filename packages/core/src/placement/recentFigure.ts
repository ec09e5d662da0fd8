/** A figure that is costly to compute and is used again for a short time. */
export class RecentFigure {
  readonly #validityMs: number;
  readonly #compute: (nowMs: number) => number;
  #value = 0;
  #computedAtMs = Number.NEGATIVE_INFINITY;

  /** Computes the figure by `compute` at most once in `validityMs`. */
  constructor(validityMs: number, compute: (nowMs: number) => number) {
    this.#validityMs = validityMs;
    this.#compute = compute;
  }

  /** The figure, at most `validityMs` old. */
  at(nowMs: number): number {
    if (nowMs - this.#computedAtMs >= this.#validityMs) {
      this.#value = this.#compute(nowMs);
      this.#computedAtMs = nowMs;
    }
    return this.#value;
  }
}
