import type {PlacementCandidate, PlacementPolicy, PlacementContext} from './placementPolicy.ts';

/** Risk below which a server counts as recently successful. */
const lowRiskBelow = 0.04;
/**
 * Time since its last attempt before which a server is not tried again, in ms: a trial request ends within
 * this time.
 */
const minIdleMs = 1_000;
/**
 * Share of the servers that should be recently successful and free, so that a request that must not be
 * retried finds one.
 */
const wantedLowRiskShare = 0.25;
/** Least number of servers that should be recently successful and free. */
const minLowRiskServers = 2;
/**
 * Bonus for servers with an open connection when comparing how long they have not been tried, in ms: the time
 * for which an idle connection stays open.
 */
const connectedBonusMs = 8_000;
/**
 * Interval between trial requests while enough servers are recently successful, in ms: each of 40 servers is
 * tried every 12 s.
 */
const trialIntervalMs = 300;

/** True where a server succeeded recently. */
export function isLowRisk(risk: number): boolean {
  return risk < lowRiskBelow;
}

function needsMoreLowRisk(lowRiskCount: number, serverCount: number): boolean {
  return lowRiskCount < Math.max(minLowRiskServers, serverCount * wantedLowRiskShare);
}

/** True where a server neither succeeded recently nor is being tried, so that a trial request may be sent to it. */
export function isTrialServer(
  {risk, running, lastStartMs}: Pick<PlacementCandidate, 'risk' | 'running' | 'lastStartMs'>,
  nowMs: number,
): boolean {
  return !isLowRisk(risk) && running === 0 && nowMs - lastStartMs >= minIdleMs;
}

/**
 * Sends retryable requests as trial requests to servers of unknown state (half-open probing with real
 * traffic), so that requests that must not be retried need not try them.
 *
 * Load pattern: idempotent lookups and payments share servers that fall silent and recover in turn. A lookup
 * that reaches a silent server is retried elsewhere; a payment would be lost. Trials stop while the retry
 * budget is nearly used up.
 */
export class TrialPolicy implements PlacementPolicy {
  readonly name = 'trial';
  #lastTrialMs = Number.NEGATIVE_INFINITY;

  /** True where a trial request is due, with this number of free servers that succeeded recently. */
  isDue(
    lowRiskCount: number,
    {nowMs, serverCount, hasSpareRetries}: Omit<PlacementContext, 'isRepeatable' | 'bodyBytes'>,
  ): boolean {
    return (
      hasSpareRetries &&
      (needsMoreLowRisk(lowRiskCount, serverCount) || nowMs - this.#lastTrialMs >= trialIntervalMs)
    );
  }

  /** Chooses the server for a trial request; undefined where no trial is due. */
  select(
    candidates: readonly PlacementCandidate[],
    context: PlacementContext,
  ): PlacementCandidate | undefined {
    let lowRiskCount = 0;
    for (const {risk} of candidates) {
      lowRiskCount += isLowRisk(risk) ? 1 : 0;
    }
    if (!this.isDue(lowRiskCount, context)) {
      return undefined;
    }
    const {nowMs, serverCount} = context;
    const prefersConnected = needsMoreLowRisk(lowRiskCount, serverCount);
    const chosen = this.#longestUntried(candidates, prefersConnected, nowMs);
    if (chosen !== undefined) {
      this.#lastTrialMs = nowMs;
    }
    return chosen;
  }

  /**
   * Of the servers that are neither recently successful nor being tried, the one that was not tried for the
   * longest time; while too few servers are recently successful, those with an open connection come first.
   */
  #longestUntried(
    candidates: readonly PlacementCandidate[],
    prefersConnected: boolean,
    nowMs: number,
  ): PlacementCandidate | undefined {
    let best: PlacementCandidate | undefined;
    let bestScoreMs = 0;
    for (const candidate of candidates) {
      const {lastStartMs, isConnected} = candidate;
      const sinceStartMs = nowMs - lastStartMs;
      if (!isTrialServer(candidate, nowMs)) {
        continue;
      }
      const scoreMs = sinceStartMs + (prefersConnected && isConnected ? connectedBonusMs : 0);
      if (best === undefined || scoreMs > bestScoreMs) {
        best = candidate;
        bestScoreMs = scoreMs;
      }
    }
    return best;
  }
}
