import {isLowRisk, isTrialServer} from './trialPolicy.ts';
import type {IndexedServer} from './serverIndex.ts';
import type {ShareAbove} from './serverRisk.ts';

/** What a home knows of all servers with a free slot before it looks at a single request. */
export interface FreeServerSummary {
  /** Lowest estimated probability that an attempt fails, 0 to 1; 1 where no slot is free. */
  readonly lowestRisk: number;
  /** Number of the servers that succeeded recently. */
  readonly lowRiskCount: number;
  /** True where a trial request may be sent to one of the servers. */
  readonly hasTrialServer: boolean;
  /** Longest time since the start of the newest attempt on one of the servers, in ms. */
  readonly longestIdleMs: number;
}

/**
 * Summarises the servers with a free slot, so that a home can pass over the requests that none of them suits.
 *
 * Load pattern: hundreds of payments wait, and the servers with a free slot are suspect. Without the summary, the home
 * would examine each of these servers for each payment whenever an attempt ends.
 */
export function summariseFreeServers(
  freeServers: Iterable<IndexedServer>,
  shareAbove: ShareAbove,
  nowMs: number,
): FreeServerSummary {
  let lowestRisk = 1;
  let lowRiskCount = 0;
  let hasTrialServer = false;
  let longestIdleMs = 0;
  for (const {serverRisk} of freeServers) {
    const risk = serverRisk.risk(nowMs, shareAbove);
    const {lastStartMs, runningCount: running} = serverRisk;
    lowestRisk = Math.min(lowestRisk, risk);
    lowRiskCount += isLowRisk(risk) ? 1 : 0;
    longestIdleMs = Math.max(longestIdleMs, nowMs - lastStartMs);
    hasTrialServer ||= isTrialServer({risk, running, lastStartMs}, nowMs);
  }
  return {lowestRisk, lowRiskCount, hasTrialServer, longestIdleMs};
}
