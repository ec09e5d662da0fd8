/** The one central token bucket that a whole fleet is measured against; starts full. */
export class IdealBucket {
  readonly #ratePerSecond: number;
  readonly #burst: number;
  #tokens: number;
  #atMs = 0;

  constructor({ratePerSecond, burstRequests}: {ratePerSecond: number; burstRequests: number}) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burstRequests;
    this.#tokens = burstRequests;
  }

  /** Takes one token at the given moment; false where there is none. */
  admit(atMs: number): boolean {
    this.#refill(atMs);
    if (this.#tokens < 1 - 1e-6) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Takes one token whether there is one or not; gives what is left, below 0 for a broken bound. */
  force(atMs: number): number {
    this.#refill(atMs);
    this.#tokens -= 1;
    return this.#tokens;
  }

  #refill(atMs: number): void {
    const elapsedMs = Math.max(0, atMs - this.#atMs);
    this.#tokens = Math.min(this.#burst, this.#tokens + (elapsedMs * this.#ratePerSecond) / 1_000);
    this.#atMs = Math.max(atMs, this.#atMs);
  }
}
