/** Keys stored at once; the oldest is dropped first. */
const maxKeys = 2_000;

/** Set of request keys that expire, bounded in size. */
export class ExpiringKeySet {
  readonly #expiryMsByKey = new Map<string, number>();

  /** Adds a key until a moment, or moves its expiry. */
  add(key: string, untilMs: number): void {
    this.#expiryMsByKey.delete(key);
    this.#expiryMsByKey.set(key, untilMs);
    for (const oldest of this.#expiryMsByKey.keys()) {
      if (this.#expiryMsByKey.size <= maxKeys) {
        return;
      }
      this.#expiryMsByKey.delete(oldest);
    }
  }

  /** True if the key was added and has not expired. */
  has(key: string, nowMs: number): boolean {
    return (this.#expiryMsByKey.get(key) ?? Number.NEGATIVE_INFINITY) > nowMs;
  }

  delete(key: string): void {
    this.#expiryMsByKey.delete(key);
  }
}
