/**
 * Tells how far an answer of the platform lags behind, without synchronised clocks.
 *
 * Each answer carries the platform's own clock. The smallest difference seen between the host's
 * clock and the platform's stands for no lag; what exceeds it later is lag. The smallest difference
 * is let grow with the drift bound, since the two clocks may run at different rates.
 */
export class PlatformClock {
  readonly #clockDrift: number;
  #leastDifferenceMs = Number.POSITIVE_INFINITY;
  #notedAtMs = 0;

  constructor(clockDrift: number) {
    this.#clockDrift = clockDrift;
  }

  /** Notes that the platform's clock had surely reached `platformMs` at `nowMs`. */
  note(platformMs: number, nowMs: number): void {
    this.#leastDifferenceMs = Math.min(this.#difference(nowMs), nowMs - platformMs);
    this.#notedAtMs = nowMs;
  }

  /** The platform's clock now, as a lower bound; undefined before the first answer. */
  platformNowMs(nowMs: number): number | undefined {
    return Number.isFinite(this.#leastDifferenceMs) ? nowMs - this.#difference(nowMs) : undefined;
  }

  /** How much an answer asked for at `askedAtMs` lagged behind the platform's newest state, in ms. */
  lagMs(platformMs: number, askedAtMs: number, nowMs: number): number {
    return Math.max(0, askedAtMs - platformMs - this.#difference(nowMs));
  }

  #difference(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#notedAtMs);
    return (
      this.#leastDifferenceMs +
      (Number.isFinite(this.#leastDifferenceMs) ? elapsedMs * this.#clockDrift : 0)
    );
  }
}
