/** Number of responses before any of them counts as an outlier. */
const minSamples = 20;
/** Weight of one sample in the moving average, once there are enough samples. */
const smoothing = 0.05;
/** A response is an outlier above `baseline * outlierFactor + outlierMarginMs`. */
const outlierFactor = 4;
const outlierMarginMs = 100;

/**
 * Moving average of the latency of one route over all servers. Detects responses that are far slower
 * than those of the other servers.
 */
export class LatencyBaseline {
  #sampleCount = 0;
  #baselineMs = 0;

  /**
   * Records a latency; returns true if it is far above the average. An outlier counts
   * towards the average only up to the limit.
   */
  record(latencyMs: number): boolean {
    const limitMs = this.#baselineMs * outlierFactor + outlierMarginMs;
    const isOutlier = this.#sampleCount >= minSamples && latencyMs > limitMs;
    const cappedMs = this.#sampleCount >= minSamples ? Math.min(latencyMs, limitMs) : latencyMs;
    this.#sampleCount += 1;
    this.#baselineMs += (cappedMs - this.#baselineMs) * Math.max(smoothing, 1 / this.#sampleCount);
    return isOutlier;
  }
}
