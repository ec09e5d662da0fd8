export interface FailureEvidenceOptions {
  /** Score at which the evidence against a server is enough. Default: 16. */
  readonly threshold: number;
  /** Least failure rate taken for usual. Default: 0.02. */
  readonly minUsualRate: number;
  /** Least failure rate taken for sick. Default: 0.3. */
  readonly minSickRate: number;
  /** Part of the threshold that the losses seen by one host can make up. Default: 0.6. */
  readonly maxPartOfOneHost: number;
}

export const DEFAULT_FAILURE_EVIDENCE_OPTIONS: FailureEvidenceOptions = {
  threshold: 16,
  minUsualRate: 0.02,
  minSickRate: 0.3,
  maxPartOfOneHost: 0.6,
};

/** What one report says of one server. */
export interface ServerReport {
  readonly good: number;
  readonly failed: number;
  readonly lost: number;
}

/** Half-life of the failure rate in requests. */
const rateHalfLifeRequests = 100;

/**
 * Evidence against one server, from the reports of all hosts.
 *
 * A cumulative sum of log-likelihood ratios (CUSUM, Page 1954) between the usual and a sick failure
 * rate. Answers that failed count in full from any host. Requests that were lost may be the fault of the
 * reporter's network, so the losses seen by one host alone never reach the threshold.
 */
export class FailureEvidence {
  readonly #options: FailureEvidenceOptions;
  readonly #lostScores = new Map<string, number>();
  #failedScore = 0;
  #failureRate = 0;

  constructor(options: Partial<FailureEvidenceOptions> = {}) {
    this.#options = {...DEFAULT_FAILURE_EVIDENCE_OPTIONS, ...options};
  }

  /** Failure rate of late, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Takes one host's report; `usualRate` is the failure rate of the server's peers. */
  add(hostId: string, {good, failed, lost}: ServerReport, usualRate: number): void {
    const usual = Math.min(0.5, Math.max(usualRate, this.#options.minUsualRate));
    const sick = Math.min(0.95, Math.max(3 * usual, this.#options.minSickRate));
    const perFailure = Math.log(sick / usual);
    const perGood = Math.log((1 - usual) / (1 - sick));
    this.#failedScore = Math.max(0, this.#failedScore + failed * perFailure - good * perGood);
    const lostScore = (this.#lostScores.get(hostId) ?? 0) + lost * perFailure - good * perGood;
    this.#setLostScore(hostId, lostScore);
    this.#noteRate(good, failed + lost);
  }

  /** Score of all evidence; `isAlone` where no other host could contradict the reporter. */
  score(isAlone: boolean): number {
    const {threshold, maxPartOfOneHost} = this.#options;
    const mostOfOne = isAlone ? Number.POSITIVE_INFINITY : threshold * maxPartOfOneHost;
    let score = this.#failedScore;
    for (const lostScore of this.#lostScores.values()) {
      score += Math.min(lostScore, mostOfOne);
    }
    return score;
  }

  isEnough(isAlone: boolean): boolean {
    return this.score(isAlone) >= this.#options.threshold;
  }

  /** Starts anew, for a server that comes back. */
  clear(): void {
    this.#failedScore = 0;
    this.#lostScores.clear();
    this.#failureRate = 0;
  }

  #setLostScore(hostId: string, score: number): void {
    if (score <= 0) {
      this.#lostScores.delete(hostId);
      return;
    }
    this.#lostScores.set(hostId, Math.min(score, 2 * this.#options.threshold));
  }

  #noteRate(good: number, bad: number): void {
    const count = good + bad;
    if (count === 0) {
      return;
    }
    const kept = 0.5 ** (count / rateHalfLifeRequests);
    this.#failureRate = this.#failureRate * kept + (bad / count) * (1 - kept);
  }
}
