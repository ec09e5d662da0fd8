/** Oracle for rate limits: one exact, central token bucket, to compare a whole fleet with. It starts full. */
export class IdealTokenBucket {
  readonly #ratePerSecond: number;
  readonly #burst: number;
  #tokens: number;
  #refilledAtMs = 0;

  constructor({ratePerSecond, burstRequests}: {ratePerSecond: number; burstRequests: number}) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burstRequests;
    this.#tokens = burstRequests;
  }

  /** Consumes one token at the given time; returns false where there is none. */
  tryConsume(atMs: number): boolean {
    this.#refill(atMs);
    if (this.#tokens < 1 - 1e-6) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Consumes one token even where there is none; returns the balance, which is negative for an exceeded limit. */
  consumeUnchecked(atMs: number): number {
    this.#refill(atMs);
    this.#tokens -= 1;
    return this.#tokens;
  }

  #refill(atMs: number): void {
    const elapsedMs = Math.max(0, atMs - this.#refilledAtMs);
    this.#tokens = Math.min(this.#burst, this.#tokens + (elapsedMs * this.#ratePerSecond) / 1_000);
    this.#refilledAtMs = Math.max(atMs, this.#refilledAtMs);
  }
}
