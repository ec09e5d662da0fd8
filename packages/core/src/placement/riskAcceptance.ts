/** Highest accepted risk at the start of the wait and near its end; it rises linearly in between. */
interface RiskLimits {
  readonly atFirst: number;
  readonly atLast: number;
}

/**
 * Highest accepted risk for requests that must not be retried. A request with a higher risk is better
 * refused, which the caller can act on, than lost.
 */
const nonRetryableLimits: RiskLimits = {atFirst: 0.2, atLast: 0.7};
/** Highest accepted risk for retryable requests: a failure costs the request time and the fleet one retry. */
const retryableLimits: RiskLimits = {atFirst: 0.5, atLast: 0.85};
/**
 * A request waits for a better server only where its risk exceeds the best server's by this factor plus
 * `worthWaitingRisk`.
 */
const worthWaitingFactor = 1.5;
const worthWaitingRisk = 0.05;
/** Risk limit for using a server at all: where every server is above it, requests are refused at once. */
const unusableRisk = 0.85;
/**
 * While every server is above the risk limit, any request may try a server this long after the last attempt
 * on it, in ms, so that a recovered server is noticed.
 */
const unusableRetryIntervalMs = 1_000;
/** Share of the allowed wait after which the `atLast` limit applies in full. */
const fullLimitWaitShare = 0.6;

/** What decides whether an attempt may start on a server. */
export interface RiskTerms {
  /** Estimated probability that the attempt fails on the server, 0 to 1. */
  readonly risk: number;
  /** Time since the last attempt started on the server, in ms. */
  readonly sinceLastStartMs: number;
  /** Lowest risk among the servers in service, with or without a free slot. */
  readonly bestRisk: number;
  readonly isRepeatable: boolean;
  /** Share of the allowed wait that has passed, 0 to 1 and above; 1 where no request may wait for long. */
  readonly waitedShare: number;
}

/** True where every server in service is above the risk limit. */
export function isNoServerUsable(bestRisk: number): boolean {
  return bestRisk > unusableRisk;
}

/**
 * True where a request should start on a server now rather than wait for a better one.
 *
 * Load pattern: the servers with a low risk are busy and the others are suspect. Payments wait for a server
 * with a low risk for as long as that helps, and are refused rather than lost; retryable requests accept a
 * higher risk.
 */
export function isRiskAccepted({
  risk,
  sinceLastStartMs,
  bestRisk,
  isRepeatable,
  waitedShare,
}: RiskTerms): boolean {
  if (isNoServerUsable(bestRisk)) {
    return sinceLastStartMs >= unusableRetryIntervalMs;
  }
  const waitProgress = Math.min(1, waitedShare / fullLimitWaitShare);
  const {atFirst, atLast} = isRepeatable ? retryableLimits : nonRetryableLimits;
  const limitByWait = atFirst + (atLast - atFirst) * waitProgress;
  const limitByBest = Math.min(unusableRisk, bestRisk * worthWaitingFactor + worthWaitingRisk);
  return risk <= Math.max(limitByWait, limitByBest);
}
