/** Time over which grants are remembered, in ms: some six times the usual work of a request. */
const memoryMs = 1_000;
/** Time for which a first guess counts, in ms: enough for a few dozen grants. */
const guessMs = 300;

/** How fast a line is served, measured only while somebody waits. */
export class LineThroughput {
  #grants = 0;
  #waitedMs = 0;
  #atMs = 0;
  #isWaiting = false;

  /** Takes whether somebody waits from now on. */
  note(isWaiting: boolean, nowMs: number): void {
    this.#advance(nowMs);
    this.#isWaiting = isWaiting;
  }

  noteGrant(nowMs: number): void {
    this.#advance(nowMs);
    this.#grants += this.#isWaiting ? 1 : 0;
  }

  /** Requests served in a ms; `guessPerMs` stands for them before somebody waited for long. */
  perMs(guessPerMs: number, nowMs: number): number {
    this.#advance(nowMs);
    return (this.#grants + guessPerMs * guessMs) / (this.#waitedMs + guessMs);
  }

  #advance(nowMs: number): void {
    if (this.#isWaiting) {
      const kept = Math.exp(-(nowMs - this.#atMs) / memoryMs);
      this.#grants *= kept;
      this.#waitedMs = this.#waitedMs * kept + memoryMs * (1 - kept);
    }
    this.#atMs = nowMs;
  }
}
