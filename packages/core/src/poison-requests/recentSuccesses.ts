/** Requests that are remembered at once; the one that succeeded least recently is dropped first. */
const maxRequests = 2_000;

/** Remembers when requests last got a successful response on this host. */
export class RecentSuccesses {
  readonly #lastAtMs = new Map<string, number>();

  record(requestKey: string, nowMs: number): void {
    this.#lastAtMs.delete(requestKey);
    this.#lastAtMs.set(requestKey, nowMs);
    for (const oldest of this.#lastAtMs.keys()) {
      if (this.#lastAtMs.size <= maxRequests) {
        return;
      }
      this.#lastAtMs.delete(oldest);
    }
  }

  /** True where the request succeeded at or after a moment. */
  hasSince(requestKey: string, sinceMs: number): boolean {
    return (this.#lastAtMs.get(requestKey) ?? Number.NEGATIVE_INFINITY) >= sinceMs;
  }
}
