/**
 * Time constant with which earlier grants lose weight, in ms: about six times the typical duration of a
 * request.
 */
const decayMs = 1_000;
/** Weight of the initial estimate, as an equivalent observation time in ms: enough for a few dozen grants. */
const estimateMs = 300;

/** Measures how fast a queue is served. Time counts only while a request is waiting. */
export class QueueThroughput {
  #grants = 0;
  #observedMs = 0;
  #atMs = 0;
  #isWaiting = false;

  /** Records whether any request is waiting from now on. */
  setWaiting(isWaiting: boolean, nowMs: number): void {
    this.#advance(nowMs);
    this.#isWaiting = isWaiting;
  }

  /** Counts a request that was given a server, if any request is waiting. */
  recordGrant(nowMs: number): void {
    this.#advance(nowMs);
    this.#grants += this.#isWaiting ? 1 : 0;
  }

  /**
   * Requests served per ms; `estimatedPerMs` fills in until requests have waited long enough to measure it.
   */
  startsPerMs(estimatedPerMs: number, nowMs: number): number {
    this.#advance(nowMs);
    return (this.#grants + estimatedPerMs * estimateMs) / (this.#observedMs + estimateMs);
  }

  #advance(nowMs: number): void {
    if (this.#isWaiting) {
      const retained = Math.exp(-(nowMs - this.#atMs) / decayMs);
      this.#grants *= retained;
      this.#observedMs = this.#observedMs * retained + decayMs * (1 - retained);
    }
    this.#atMs = nowMs;
  }
}
