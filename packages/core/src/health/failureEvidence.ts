/** Settings of the failure detector for one server. */
export interface FailureEvidenceOptions {
  /** Log-likelihood score from which a server may be ejected. Default: 16. */
  readonly threshold: number;
  /** Minimum failure rate assumed for a healthy server, 0 to 1. Default: 0.02. */
  readonly minBaselineRate: number;
  /** Minimum failure rate assumed for a faulty server, 0 to 1. Default: 0.3. */
  readonly minFaultyRate: number;
  /** Fraction of the threshold that the lost requests of a single host can contribute. Default: 0.6. */
  readonly maxShareOfOneHost: number;
}

/** Defaults of {@link FailureEvidenceOptions}. */
export const DEFAULT_FAILURE_EVIDENCE_OPTIONS: FailureEvidenceOptions = {
  threshold: 16,
  minBaselineRate: 0.02,
  minFaultyRate: 0.3,
  maxShareOfOneHost: 0.6,
};

/** Numbers of requests to one server in one host's report, by outcome. */
export interface ReportedOutcomes {
  /** Requests that the server answered as expected. */
  readonly good: number;
  /** Requests that the server failed, or answered far more slowly than its peers. */
  readonly failed: number;
  /** Requests without a response, through a fault of the server or of the reporter's network. */
  readonly lost: number;
}

/** Half-life of the moving failure rate, in requests. */
const rateHalfLifeRequests = 100;

/**
 * Failure detector for one server, fed with the reports of all hosts.
 *
 * The score is a cumulative sum of log-likelihood ratios (CUSUM, Page 1954) between the failure rate of
 * a healthy and of a faulty server. Failed responses count in full from any host. Lost requests may be
 * the fault of the reporter's network, so the losses of a single host never reach the threshold.
 */
export class FailureEvidence {
  readonly #options: FailureEvidenceOptions;
  readonly #lostScores = new Map<string, number>();
  #failedScore = 0;
  #failureRate = 0;

  constructor(options: Partial<FailureEvidenceOptions> = {}) {
    this.#options = {...DEFAULT_FAILURE_EVIDENCE_OPTIONS, ...options};
  }

  /** Moving average of the failure rate, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Adds one host's report; `baselineRate` is the failure rate expected of a healthy server, 0 to 1. */
  addReport(hostId: string, {good, failed, lost}: ReportedOutcomes, baselineRate: number): void {
    const baseline = Math.min(0.5, Math.max(baselineRate, this.#options.minBaselineRate));
    const faulty = Math.min(0.95, Math.max(3 * baseline, this.#options.minFaultyRate));
    const scorePerFailure = Math.log(faulty / baseline);
    const scorePerSuccess = Math.log((1 - baseline) / (1 - faulty));
    this.#failedScore = Math.max(
      0,
      this.#failedScore + failed * scorePerFailure - good * scorePerSuccess,
    );
    const lostScore =
      (this.#lostScores.get(hostId) ?? 0) + lost * scorePerFailure - good * scorePerSuccess;
    this.#setLostScore(hostId, lostScore);
    this.#updateFailureRate(good, failed + lost);
  }

  /**
   * Current score over all hosts. With `isOnlyHost`, no other host can be reached that could contradict
   * the reporter, so its losses count in full.
   */
  score(isOnlyHost: boolean): number {
    const {threshold, maxShareOfOneHost} = this.#options;
    const maxPerHost = isOnlyHost ? Number.POSITIVE_INFINITY : threshold * maxShareOfOneHost;
    let score = this.#failedScore;
    for (const lostScore of this.#lostScores.values()) {
      score += Math.min(lostScore, maxPerHost);
    }
    return score;
  }

  /** True if the score suffices to eject the server. */
  reachesThreshold(isOnlyHost: boolean): boolean {
    return this.score(isOnlyHost) >= this.#options.threshold;
  }

  /** Discards all evidence, for a server whose state changes. */
  reset(): void {
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

  #updateFailureRate(good: number, bad: number): void {
    const count = good + bad;
    if (count === 0) {
      return;
    }
    const retained = 0.5 ** (count / rateHalfLifeRequests);
    this.#failureRate = this.#failureRate * retained + (bad / count) * (1 - retained);
  }
}
