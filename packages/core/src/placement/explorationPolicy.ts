import type {PlacementCandidate, PlacementContext, PlacementPolicy} from './placementPolicy.ts';

/** Share of the requests that may fail by exploration, 0 to 1. */
const maxFailedShare = 0.005;
/** Largest share of the requests that explore, 0 to 1. */
const maxExploringShare = 0.06;
/** Failed share of explorations that is assumed before any ended, with the weight of so many attempts. */
const assumedFailedShare = 0.25;
const assumedAttempts = 4;
/** Time constant with which ended explorations lose weight, in ms. */
const decayMs = 10_000;
/** Most explorations that may be due at once. */
const maxDue = 2;
/** Risk up to which a server is explored, 0 to 1: little is known of it, and nothing speaks against it. */
const maxRisk = 0.35;
/** Share of the requests that are retryable from which on trial requests explore, 0 to 1. */
const trialShare = 0.1;
/** Weight of one request in that share. */
const requestWeight = 0.02;
/** Time without a start after which a server is explored, in ms. */
const unusedForMs = 1_600;

/**
 * Sends a few first attempts to servers of which nothing is known any more.
 *
 * Load pattern: no request may be retried, and a server failed once, or was idle for some seconds. Servers with recent
 * successes always look safer, so that it would get no request again, and the load concentrates on fewer and
 * fewer servers. How many requests explore follows from how many of those failed: where servers are healthy, all of
 * them are soon in use again.
 */
export class ExplorationPolicy implements PlacementPolicy {
  readonly name = 'exploration';
  #due = 0;
  #failed = assumedFailedShare * assumedAttempts;
  #ended = assumedAttempts;
  #atMs = 0;
  #retryableShare = 0;

  /** Counts the first attempt of a request; a part of one exploration becomes due unless trial requests can explore. */
  recordRequest({isRepeatable}: {readonly isRepeatable: boolean}, nowMs: number): void {
    this.#decay(nowMs);
    this.#retryableShare += requestWeight * ((isRepeatable ? 1 : 0) - this.#retryableShare);
    if (this.#retryableShare >= trialShare) {
      this.#due = 0;
      return;
    }
    const failedShare = this.#failed / this.#ended;
    const share = Math.min(maxExploringShare, maxFailedShare / failedShare);
    this.#due = Math.min(maxDue, this.#due + share);
  }

  /** Counts an exploration that started. */
  recordStart(): void {
    this.#due -= 1;
  }

  /** Counts an exploration that ended. */
  recordEnd(isSuccess: boolean, nowMs: number): void {
    this.#decay(nowMs);
    this.#failed += isSuccess ? 0 : 1;
    this.#ended += 1;
  }

  select(
    candidates: readonly PlacementCandidate[],
    {nowMs}: PlacementContext,
  ): PlacementCandidate | undefined {
    if (this.#due < 1) {
      return undefined;
    }
    let longest: PlacementCandidate | undefined;
    for (const candidate of candidates) {
      const {risk, running, lastStartMs, isLocal} = candidate;
      const isUnknown =
        isLocal && running === 0 && risk <= maxRisk && nowMs - lastStartMs >= unusedForMs;
      if (isUnknown && lastStartMs < (longest?.lastStartMs ?? Number.POSITIVE_INFINITY)) {
        longest = candidate;
      }
    }
    return longest;
  }

  /** Moves the figures back towards what is assumed. */
  #decay(nowMs: number): void {
    const retained = Math.exp(-(nowMs - this.#atMs) / decayMs);
    this.#ended = assumedAttempts + (this.#ended - assumedAttempts) * retained;
    const assumedFailed = assumedFailedShare * assumedAttempts;
    this.#failed = assumedFailed + (this.#failed - assumedFailed) * retained;
    this.#atMs = nowMs;
  }
}
