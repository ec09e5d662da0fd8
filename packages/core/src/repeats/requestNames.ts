const maxNames = 2_000;

/** Names of requests, each for a time; the oldest goes first when there are too many. */
export class RequestNames {
  readonly #untilMs = new Map<string, number>();

  add(name: string, untilMs: number): void {
    this.#untilMs.delete(name);
    this.#untilMs.set(name, untilMs);
    for (const oldest of this.#untilMs.keys()) {
      if (this.#untilMs.size <= maxNames) {
        return;
      }
      this.#untilMs.delete(oldest);
    }
  }

  has(name: string, nowMs: number): boolean {
    return (this.#untilMs.get(name) ?? Number.NEGATIVE_INFINITY) > nowMs;
  }

  delete(name: string): void {
    this.#untilMs.delete(name);
  }
}
