import type {PlacementCandidate, PlacementPolicy, PlacementSituation} from './placementPolicy.ts';

/** Risk below which a server counts as proven. */
const provenBelow = 0.04;
/** Time for which a server that was tried is left alone, in ms: a trial shows its end in less. */
const restMs = 1_000;
/** Share of the servers that should be proven and free, so that work that may run once finds one. */
const wantedProvenShare = 0.25;
const leastProven = 2;
/** Time by which an open connection puts a server before others, in ms: as long as one stays open unused. */
const connectedHeadStartMs = 8_000;
/** Interval between trials while enough servers are proven, in ms: each of 40 servers every 12 s. */
const trialIntervalMs = 300;

/**
 * Sends work that may be repeated to servers of which little is known, so that others need not try them.
 *
 * Load pattern: idempotent lookups beside payments on servers that fall silent and recover by turns. A
 * lookup that meets a silent server is sent again elsewhere; a payment would be lost. Trials stop while
 * the fleet has no repeats to spare.
 */
export class TrialServer implements PlacementPolicy {
  #lastTrialMs = Number.NEGATIVE_INFINITY;

  /** The server to try; undefined where no trial is due. */
  choose(
    candidates: readonly PlacementCandidate[],
    {nowMs, serverCount, hasSpareRepeats}: PlacementSituation,
  ): PlacementCandidate | undefined {
    if (!hasSpareRepeats) {
      return undefined;
    }
    const proven = candidates.filter(({risk}) => risk < provenBelow).length;
    const isShort = proven < Math.max(leastProven, serverCount * wantedProvenShare);
    if (!isShort && nowMs - this.#lastTrialMs < trialIntervalMs) {
      return undefined;
    }
    const tried = this.#leastKnown(candidates, isShort, nowMs);
    if (tried !== undefined) {
      this.#lastTrialMs = nowMs;
    }
    return tried;
  }

  /**
   * Of the servers that are neither proven nor tried just now, the one that was left alone for longest; where
   * many are to be proven, first those to which a connection is open.
   */
  #leastKnown(
    candidates: readonly PlacementCandidate[],
    isShort: boolean,
    nowMs: number,
  ): PlacementCandidate | undefined {
    let best: PlacementCandidate | undefined;
    let bestAloneMs = 0;
    for (const candidate of candidates) {
      const {risk, running, lastStartMs, isConnected} = candidate;
      const aloneMs = nowMs - lastStartMs;
      if (risk < provenBelow || running > 0 || aloneMs < restMs) {
        continue;
      }
      const countedMs = aloneMs + (isShort && isConnected ? connectedHeadStartMs : 0);
      if (best === undefined || countedMs > bestAloneMs) {
        best = candidate;
        bestAloneMs = countedMs;
      }
    }
    return best;
  }
}
