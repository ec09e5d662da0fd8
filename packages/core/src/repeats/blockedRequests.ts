const maxBlocked = 2_000;

/** Requests whose repeats this host refuses, because they crashed servers. */
export class BlockedRequests {
  readonly #untilMs = new Map<string, number>();

  block(name: string, untilMs: number): void {
    this.#untilMs.delete(name);
    this.#untilMs.set(name, untilMs);
    for (const oldest of this.#untilMs.keys()) {
      if (this.#untilMs.size <= maxBlocked) {
        return;
      }
      this.#untilMs.delete(oldest);
    }
  }

  isBlocked(name: string, nowMs: number): boolean {
    return (this.#untilMs.get(name) ?? Number.NEGATIVE_INFINITY) > nowMs;
  }
}
