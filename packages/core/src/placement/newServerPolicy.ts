import type {PlacementCandidate, PlacementContext, PlacementPolicy} from './placementPolicy.ts';

/**
 * Time for which a server that joined waits for a retryable request before any request is sent to it, in ms: a
 * failed lookup is retried, a failed payment is not.
 */
const retryableFirstMs = 800;

/**
 * Sends a first request to each server that joined, once it is warm.
 *
 * Load pattern: servers are added while the load is within what the others handle. Servers with recent successes
 * always look safer than one without any, so that a new server would never get a request.
 */
export class NewServerPolicy implements PlacementPolicy {
  readonly name = 'new-server';

  select(
    candidates: readonly PlacementCandidate[],
    {isRepeatable}: PlacementContext,
  ): PlacementCandidate | undefined {
    let longest: PlacementCandidate | undefined;
    for (const candidate of candidates) {
      const waitedMs = candidate.newForMs ?? Number.NEGATIVE_INFINITY;
      if (waitedMs >= (isRepeatable ? 0 : retryableFirstMs)) {
        longest = waitedMs > (longest?.newForMs ?? Number.NEGATIVE_INFINITY) ? candidate : longest;
      }
    }
    return longest;
  }
}
