const secondMs = 1_000;

/** Limits how often one host sends a notice to the whole fleet. */
export class BroadcastLimiter {
  readonly #maxPerSecond: number;
  #secondStartedAtMs = Number.NEGATIVE_INFINITY;
  #sentInSecond = 0;

  constructor(maxPerSecond: number) {
    this.#maxPerSecond = maxPerSecond;
  }

  /** Counts a notice; returns false where the limit of the second is reached. */
  tryAcquire(nowMs: number): boolean {
    if (nowMs - this.#secondStartedAtMs >= secondMs) {
      this.#secondStartedAtMs = nowMs;
      this.#sentInSecond = 0;
    }
    if (this.#sentInSecond >= this.#maxPerSecond) {
      return false;
    }
    this.#sentInSecond += 1;
    return true;
  }
}
