interface AcceptedRisk {
  readonly atFirst: number;
  readonly atLast: number;
}

/**
 * Risk up to which work that may run once is started at once, and after most of the time for waiting is
 * over. Beyond that it is better refused, which the caller can act on, than lost.
 */
const acceptedForOnce: AcceptedRisk = {atFirst: 0.2, atLast: 0.7};
/** The same for work that may be repeated: a failure costs it time and the fleet a repeat. */
const acceptedForRepeatable: AcceptedRisk = {atFirst: 0.5, atLast: 0.85};
/** Work waits for a better server only where one is better by this factor and this much. */
const worthWaitingFactor = 1.5;
const worthWaitingRisk = 0.05;
/** Risk above which work is refused at once if no server is better. */
const hopelessRisk = 0.85;
/** Time after which a hopeless server may be tried by any work, in ms, so that it is not forgotten. */
const hopelessRestMs = 1_000;
/** Part of the time for waiting after which the last risk is accepted. */
const patienceShare = 0.6;

/** What is known where work could start on a server. */
export interface RiskTerms {
  /** Likelihood that the work fails there, 0 to 1. */
  readonly risk: number;
  /** Time since the last start there, in ms. */
  readonly restedMs: number;
  /** Least risk among the servers in service, with a free slot or without. */
  readonly bestRisk: number;
  readonly isRepeatable: boolean;
  /** Part of the time for waiting that has passed, 0 to 1 and above; 1 where nobody waits for long. */
  readonly waitedShare: number;
}

/** True where no server in service can be trusted. */
export function isHopeless(bestRisk: number): boolean {
  return bestRisk > hopelessRisk;
}

/**
 * True where work should start on a server rather than wait for another.
 *
 * Load pattern: the trusted servers are busy, others are in doubt. Payments wait for a trusted one as long as
 * that helps, and are refused rather than lost; what may be repeated takes more risk.
 */
export function isRiskAccepted({
  risk,
  restedMs,
  bestRisk,
  isRepeatable,
  waitedShare,
}: RiskTerms): boolean {
  if (isHopeless(bestRisk)) {
    return restedMs >= hopelessRestMs;
  }
  const passed = Math.min(1, waitedShare / patienceShare);
  const {atFirst, atLast} = isRepeatable ? acceptedForRepeatable : acceptedForOnce;
  const byWait = atFirst + (atLast - atFirst) * passed;
  const byOthers = Math.min(hopelessRisk, bestRisk * worthWaitingFactor + worthWaitingRisk);
  return risk <= Math.max(byWait, byOthers);
}
