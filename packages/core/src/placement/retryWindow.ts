/** Intervals into which the sliding window is divided. */
const intervalsPerWindow = 20;
/** Share of the slack that one home uses, since two homes may be active at once after a network partition. */
const usedSlack = 0.5;

/** Limits of the retry budget. */
export interface RetryWindowOptions {
  /** Length of the sliding window, in ms. */
  readonly windowMs: number;
  /** Retries allowed, as a share of the requests. */
  readonly ratio: number;
  /** Retries allowed in the window in addition to that share. */
  readonly slack: number;
}

interface Counts {
  requests: number;
  retries: number;
}

/**
 * Retry budget of a backend: limits retries to a share of the requests in a sliding window, as counted by the
 * backend's home.
 *
 * Load pattern: many servers fail at once and each failure triggers a retry, while callers retry as well.
 */
export class RetryWindow {
  readonly #options: RetryWindowOptions;
  readonly #intervals = new Map<number, Counts>();
  #homes = 1;

  constructor(options: RetryWindowOptions) {
    this.#options = options;
  }

  /** Sets the number of homes among which the slack is divided. */
  setHomeCount(homes: number): void {
    this.#homes = homes;
  }

  /** Counts a request, which adds to the budget. */
  recordRequest(nowMs: number): void {
    this.#interval(nowMs).requests += 1;
  }

  /** Counts a retry, which uses the budget. */
  recordRetry(nowMs: number): void {
    this.#interval(nowMs).retries += 1;
  }

  /** Share of the retry budget that is used; 1 and above means that none is left. */
  usedShare(nowMs: number): number {
    const {retries, budget} = this.#totals(nowMs);
    return retries / budget;
  }

  /** Retries that the budget still holds; negative where it was exceeded. */
  left(nowMs: number): number {
    const {retries, budget} = this.#totals(nowMs);
    return budget - retries;
  }

  /** True where the budget holds one more retry. */
  hasRoom(nowMs: number): boolean {
    const {retries, budget} = this.#totals(nowMs);
    return retries + 1 <= budget;
  }

  #totals(nowMs: number): {retries: number; budget: number} {
    const {ratio, slack} = this.#options;
    let requests = 0;
    let retries = 0;
    const oldest = this.#intervalNumber(nowMs) - intervalsPerWindow;
    for (const [number, counts] of this.#intervals) {
      if (number < oldest) {
        this.#intervals.delete(number);
        continue;
      }
      requests += counts.requests;
      retries += counts.retries;
    }
    return {retries, budget: requests * ratio + (slack * usedSlack) / this.#homes};
  }

  #intervalNumber(nowMs: number): number {
    return Math.floor((nowMs * intervalsPerWindow) / this.#options.windowMs);
  }

  #interval(nowMs: number): Counts {
    const number = this.#intervalNumber(nowMs);
    const interval = this.#intervals.get(number) ?? {requests: 0, retries: 0};
    this.#intervals.set(number, interval);
    return interval;
  }
}
