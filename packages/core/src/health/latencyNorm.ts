const minSamples = 20;
const smoothing = 0.05;
const slowFactor = 4;
const slowExtraMs = 100;

/** Usual latency of one route over all servers, to tell answers that come far later than their peers'. */
export class LatencyNorm {
  #samples = 0;
  #usualMs = 0;

  /** Notes a latency; true where it is far above the usual one. */
  isSlow(latencyMs: number): boolean {
    const limitMs = this.#usualMs * slowFactor + slowExtraMs;
    const isSlow = this.#samples >= minSamples && latencyMs > limitMs;
    const counted = this.#samples >= minSamples ? Math.min(latencyMs, limitMs) : latencyMs;
    this.#samples += 1;
    this.#usualMs += (counted - this.#usualMs) * Math.max(smoothing, 1 / this.#samples);
    return isSlow;
  }
}
