import type {PlacementCandidate, PlacementPolicy, PlacementContext} from './placementPolicy.ts';

/**
 * Cost of opening a new connection, as an equivalent failure probability: operators price it at a thirtieth
 * of a request.
 */
const newConnectionCost = 0.03;
/**
 * Cost of using a server in another data centre, as an equivalent failure probability: traffic between data
 * centres is billed.
 */
const remoteCost = 0.003;
/**
 * Cost of each body byte sent to another data centre, up to `maxRemoteCost`: a 60 kB upload, whose transfer
 * is priced at a quarter of the value of the request, goes to another data centre once it is a few percent
 * likelier to succeed there.
 */
const remoteCostPerByte = 1e-6;
const maxRemoteCost = 0.08;
/**
 * Cost of each attempt already running on the server, as an equivalent failure probability: one fault would
 * affect all of them.
 */
const sharedFaultCost = 0.01;
/**
 * Share of failed attempts above which attempts are spread. Operators require that, while more than a tenth of
 * a backend's requests fail, at least a set share of its healthy servers keeps receiving requests; spreading
 * starts below that tenth so that this holds in time.
 */
const spreadAboveFailedShare = 0.06;
/** Cost of each recent start on a server while attempts are spread, up to `maxRecentStarts` starts. */
const recentStartCost = 0.03;
const maxRecentStarts = 3;
/**
 * Limit of the cost of expected slowness, as an equivalent failure probability. An attempt that is expected to
 * take all of the time that its target latency leaves counts as failed. Figures up to 0.1 bring most of the gain;
 * with a limit of 0.2, and twice the cost, p95 was the same within 3 ms on one home at moderate load.
 */
const maxSlownessCost = 0.1;
/**
 * Risk above which a server is not chosen for its speed: a query is sent to another data centre or waits where
 * the risk is higher by as much, which a faster server does not outweigh.
 */
const maxRiskForSpeed = 0.05;

/**
 * Chooses the server on which the attempt is least likely to fail, after costs for connections, distance and
 * load.
 *
 * Load pattern: a third of the servers are silent for seconds while their health probes pass, and the
 * requests must not be retried. Attempts concentrate on servers that answered recently. While many attempts
 * fail they are spread, so that healthy servers are not left unused. Servers of a large backend differ in speed;
 * among safe ones, those on which the response is expected within the target latency are preferred.
 */
export class LowestRiskPolicy implements PlacementPolicy {
  readonly name = 'lowest-risk';

  select(
    candidates: readonly PlacementCandidate[],
    context: PlacementContext,
  ): PlacementCandidate | undefined {
    const {slownessWeight = 0} = context;
    const chosen = this.#select(candidates, context, slownessWeight);
    return slownessWeight > 0 && chosen !== undefined && chosen.risk > maxRiskForSpeed
      ? this.#select(candidates, context, 0)
      : chosen;
  }

  #select(
    candidates: readonly PlacementCandidate[],
    {failedShare, bodyBytes}: PlacementContext,
    slownessWeight: number,
  ): PlacementCandidate | undefined {
    const remoteServerCost = Math.min(maxRemoteCost, remoteCost + bodyBytes * remoteCostPerByte);
    const isSpread = failedShare > spreadAboveFailedShare;
    let best: PlacementCandidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const cost =
        this.#cost(candidate, remoteServerCost, isSpread) +
        (slownessWeight === 0 ? 0 : this.#slownessCost(candidate, slownessWeight));
      const isBetter =
        cost < bestCost || (cost === bestCost && candidate.lastStartMs < (best?.lastStartMs ?? 0));
      if (isBetter) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /** Negative for servers that are faster than the typical one. */
  #slownessCost({speedFactor = 1}: PlacementCandidate, slownessWeight: number): number {
    return Math.min(maxSlownessCost, slownessWeight * (speedFactor - 1));
  }

  #cost(
    {risk, running, recentStarts, isConnected, isLocal}: PlacementCandidate,
    remoteServerCost: number,
    isSpread: boolean,
  ): number {
    const spreadCost = isSpread ? Math.min(recentStarts, maxRecentStarts) * recentStartCost : 0;
    return (
      risk +
      (isConnected ? 0 : newConnectionCost) +
      (isLocal ? 0 : remoteServerCost) +
      running * sharedFaultCost +
      spreadCost
    );
  }
}
