/**
 * Estimates the platform's clock and how far a response of the platform lags behind its newest state, without
 * synchronised clocks.
 *
 * Each response carries the time of the platform's own clock. The smallest offset observed between the host's
 * clock and the platform's counts as no lag; any excess over it is lag. The smallest offset grows with the
 * drift bound over time, since the two clocks may run at different rates.
 */
export class PlatformClock {
  readonly #clockDrift: number;
  #minOffsetMs = Number.POSITIVE_INFINITY;
  #recordedAtMs = 0;

  constructor(clockDrift: number) {
    this.#clockDrift = clockDrift;
  }

  /** Records that the platform's clock had surely reached `platformMs` at `nowMs`. */
  recordReading(platformMs: number, nowMs: number): void {
    this.#minOffsetMs = Math.min(this.#offsetBoundMs(nowMs), nowMs - platformMs);
    this.#recordedAtMs = nowMs;
  }

  /** The platform's clock now, as a lower bound; undefined before the first reading. */
  platformNowMs(nowMs: number): number | undefined {
    return Number.isFinite(this.#minOffsetMs) ? nowMs - this.#offsetBoundMs(nowMs) : undefined;
  }

  /** How far a response that was requested at `requestedAtMs` lagged behind the platform's newest state, in ms. */
  lagMs(platformMs: number, requestedAtMs: number, nowMs: number): number {
    return Math.max(0, requestedAtMs - platformMs - this.#offsetBoundMs(nowMs));
  }

  /** Smallest offset observed, increased by the clock drift that is possible since then, in ms. */
  #offsetBoundMs(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#recordedAtMs);
    return (
      this.#minOffsetMs + (Number.isFinite(this.#minOffsetMs) ? elapsedMs * this.#clockDrift : 0)
    );
  }
}
