import {RecentFigure} from './recentFigure.ts';

/** Share of the slack that the buckets of all homes of a backend hold together, 0 to 1. */
const storedSlackShare = 0.25;
/** Share of the slack that is added to them in each window, 0 to 1; the rest is for two homes that act at once. */
const addedSlackShare = 0.25;
/** Time since the previous request for which slack is added at most, in ms: a home that is not used saves nothing. */
const maxAccrualMs = 1_000;
/** Rounding error of the sum of many small additions. */
const roundingError = 1e-9;
/** Time for which the share of the hosts that use a home is used again, in ms. */
const hostShareValidityMs = 100;

/** Limits of the retry budget. */
export interface RetryTokenBucketOptions {
  /** Length of the sliding window in which operators count retries, in ms. */
  readonly windowMs: number;
  /** Retries allowed, as a share of the requests. */
  readonly ratio: number;
  /** Retries allowed in the window in addition to that share. */
  readonly slack: number;
}

/**
 * Retry budget of a backend, as a token bucket at each home: requests add tokens, and a retry takes one.
 *
 * A new bucket is empty and a full one holds little, so that no state has to outlive its home: the retries of any
 * window stay within what its requests added and what the buckets held before, and one for each bucket. The slack is divided by the share of the
 * hosts that use the home, which divides it among the homes of a backend and the sides of a network partition.
 *
 * Load pattern: many servers fail at once and each failure triggers a retry, while callers retry as well and homes are
 * replaced.
 */
export class RetryTokenBucket {
  readonly #options: RetryTokenBucketOptions;
  readonly #hostShare = new RecentFigure(hostShareValidityMs, (nowMs) =>
    this.#computeHostShare(nowMs),
  );
  /** When each host sent its newest request, in ms. */
  readonly #requestAtMsByHost = new Map<string, number>();
  #knownHosts = 1;
  #tokens = 0;
  /** Tokens that the bucket would hold without any retry. */
  #tokensUnlessUsed = 0;
  #lastRequestAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RetryTokenBucketOptions) {
    this.#options = options;
  }

  /** Sets the number of hosts in the fleet, among which the slack is divided. */
  setKnownHosts(count: number): void {
    this.#knownHosts = Math.max(1, count);
  }

  /** Counts a request, which adds to the budget. */
  recordRequest(hostId: string, nowMs: number): void {
    const {ratio, slack, windowMs} = this.#options;
    this.#requestAtMsByHost.set(hostId, nowMs);
    const sinceLastMs = nowMs - this.#lastRequestAtMs;
    this.#lastRequestAtMs = nowMs;
    if (sinceLastMs > windowMs) {
      this.#tokens = 0;
      this.#tokensUnlessUsed = 0;
    }
    const hostShare = this.#hostShare.at(nowMs);
    const accrualMs = sinceLastMs > windowMs ? 0 : Math.min(sinceLastMs, maxAccrualMs);
    const added = ratio + (slack * addedSlackShare * hostShare * accrualMs) / windowMs;
    const capacity = Math.max(ratio, slack * storedSlackShare * hostShare);
    this.#tokens = Math.min(capacity, this.#tokens + added);
    this.#tokensUnlessUsed = Math.min(capacity, this.#tokensUnlessUsed + added);
  }

  /** Counts a retry, which uses the budget. */
  recordRetry(): void {
    this.#tokens -= 1;
  }

  /** Share of the retry budget that is used, 0 to 1; 1 means that none is left. */
  usedShare(): number {
    return this.#tokensUnlessUsed === 0
      ? 0
      : 1 - Math.max(0, this.#tokens) / this.#tokensUnlessUsed;
  }

  /** Retries that the budget holds. */
  get left(): number {
    return this.#tokens;
  }

  /**
   * True where one more retry is allowed. It may leave the bucket short of less than one token, so that the first
   * requests of a home can be retried.
   */
  get hasRoom(): boolean {
    return this.#tokens > roundingError;
  }

  /** Share of the hosts of the fleet that sent requests to this home within a window, 0 to 1. */
  #computeHostShare(nowMs: number): number {
    for (const [hostId, atMs] of this.#requestAtMsByHost) {
      if (nowMs - atMs > this.#options.windowMs) {
        this.#requestAtMsByHost.delete(hostId);
      }
    }
    return Math.min(1, this.#requestAtMsByHost.size / this.#knownHosts);
  }
}
