import type {PlacementCandidate, PlacementContext, PlacementPolicy} from './placementPolicy.ts';

/**
 * Risk below which a server counts as healthy, 0 to 1: servers without evidence against them, whether or not
 * they succeeded recently.
 */
export const healthyBelowRisk = 0.55;
/**
 * Time without a start after which a server counts as unused, in ms. Operators evaluate the floor over two
 * seconds.
 */
export const unusedAfterMs = 1_600;
/**
 * Share of the requests that are not served above which the floor applies. Operators require it from a tenth on;
 * the margin is for requests whose failure is not known yet.
 */
const floorAboveUnservedShare = 0.07;
/** Share of the healthy servers that are kept in use; operators require 0.7. */
const usedShareWanted = 0.8;

/** True while so many requests are not served that enough of the healthy servers have to be kept in use. */
export function isFloorDue({
  unservedShare,
  usedHealthyShare,
}: Pick<PlacementContext, 'unservedShare' | 'usedHealthyShare'>): boolean {
  return unservedShare >= floorAboveUnservedShare && usedHealthyShare() < usedShareWanted;
}

/**
 * Keeps enough of the healthy servers in use while part of the requests is not served.
 *
 * Load pattern: some servers of a backend fail, and requests that must not be retried concentrate on those that
 * succeeded recently. Most of the healthy servers, of which nothing is known, would get no request, so that
 * capacity that operators count on stays idle.
 */
export class FloorPolicy implements PlacementPolicy {
  readonly name = 'floor';

  select(
    candidates: readonly PlacementCandidate[],
    context: PlacementContext,
  ): PlacementCandidate | undefined {
    if (!isFloorDue(context)) {
      return undefined;
    }
    const {nowMs} = context;
    let longest: PlacementCandidate | undefined;
    for (const candidate of candidates) {
      const {risk, lastStartMs} = candidate;
      const isUnused = risk < healthyBelowRisk && nowMs - lastStartMs >= unusedAfterMs;
      if (isUnused && lastStartMs < (longest?.lastStartMs ?? Number.POSITIVE_INFINITY)) {
        longest = candidate;
      }
    }
    return longest;
  }
}
