import type {PlacementCandidate, PlacementPolicy, PlacementSituation} from './placementPolicy.ts';

/** Risk that a new connection is worth avoiding at, as a likelihood: operators price it at a thirtieth of a request. */
const newConnectionCost = 0.03;
/** The same for a server in another data centre, whose bytes are paid for. */
const remoteCost = 0.003;
/**
 * Cost of each byte of a body that is sent to another data centre, up to a most: an upload of 60 kB, which is
 * priced at a quarter of its worth there, goes elsewhere once that is a few percent likelier to succeed.
 */
const remoteCostPerByte = 1e-6;
const maxRemoteCost = 0.08;
/** The same for each attempt that runs there: a fault would take both. */
const sharedFaultCost = 0.01;
/** Share of failed attempts from which work is spread, below the tenth at which the floor binds. */
const spreadFromFailedShare = 0.06;
/** Cost of each recent start while work is spread, and the starts that count. */
const recentStartCost = 0.03;
const maxRecentStarts = 3;

/**
 * Takes the server that is least likely to fail the attempt.
 *
 * Load pattern: a third of the servers fall silent for seconds while their probes pass, under requests
 * that may run once only. Work gathers on servers that answered lately; while many requests fail it is
 * spread, so that sound servers are not left out.
 */
export class SurestServer implements PlacementPolicy {
  choose(
    candidates: readonly PlacementCandidate[],
    {failedShare, bodyBytes}: PlacementSituation,
  ): PlacementCandidate | undefined {
    const awayCost = Math.min(maxRemoteCost, remoteCost + bodyBytes * remoteCostPerByte);
    const isSpread = failedShare > spreadFromFailedShare;
    let best: PlacementCandidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const cost = this.#cost(candidate, awayCost, isSpread);
      const isBetter =
        cost < bestCost || (cost === bestCost && candidate.lastStartMs < (best?.lastStartMs ?? 0));
      if (isBetter) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  #cost(
    {risk, running, recentStarts, isConnected, isLocal}: PlacementCandidate,
    awayCost: number,
    isSpread: boolean,
  ): number {
    const spreadCost = isSpread ? Math.min(recentStarts, maxRecentStarts) * recentStartCost : 0;
    return (
      risk +
      (isConnected ? 0 : newConnectionCost) +
      (isLocal ? 0 : awayCost) +
      running * sharedFaultCost +
      spreadCost
    );
  }
}
