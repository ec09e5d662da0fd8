import type {PlacementCandidate, PlacementContext, PlacementPolicy} from './placementPolicy.ts';

/**
 * Risk up to which the evidence on a server is worth a refresh, 0 to 1: that of a server whose last successful attempt
 * started 1.4 s ago, and against which nothing is known. Under a load too low to refresh all servers in that time, the
 * others drop out and the rest stays well known.
 */
const maxRefreshRisk = 0.035;
/** Time without a start after which the evidence on a server is refreshed, in ms. */
const refreshAfterMs = 700;
/** Time for which a request waits for a host with an open connection to come, in ms. */
const connectionWaitMs = 200;
/** Time for which a request waits for a host of the same data centre to come, in ms. */
const localHostWaitMs = 300;

/**
 * Sends requests to servers that succeeded lately before the evidence on them is out of date.
 *
 * Load pattern: moderate load on many servers. The less a server is used, the less is known of it, and the less it is
 * chosen: attempts concentrate on a part of the servers, and the others are unknown when that part fails. A server that
 * fails is noticed by the attempts of one detection time, however many servers share the load, so that refreshing
 * the evidence on all of them costs no more failed attempts.
 */
export class RefreshPolicy implements PlacementPolicy {
  readonly name = 'refresh';

  select(
    candidates: readonly PlacementCandidate[],
    {nowMs}: PlacementContext,
  ): PlacementCandidate | undefined {
    let longest: PlacementCandidate | undefined;
    for (const candidate of candidates) {
      const {risk, lastStartMs, isConnected, isLocal} = candidate;
      const dueAfterMs =
        refreshAfterMs + (isConnected ? 0 : connectionWaitMs) + (isLocal ? 0 : localHostWaitMs);
      const isDue = risk <= maxRefreshRisk && nowMs - lastStartMs >= dueAfterMs;
      if (isDue && lastStartMs < (longest?.lastStartMs ?? Number.POSITIVE_INFINITY)) {
        longest = candidate;
      }
    }
    return longest;
  }
}
