import type {RosterChanged} from '../messages/hostMessages.ts';

/**
 * Part of each fleet-wide allowance that a home may hand out, 0 to 1.
 *
 * Two halves of a fleet that do not hear each other each have a home. A home that hears a minority uses
 * its part; one that hears a majority uses at least so much that minority and majority together stay
 * within the overshoot that operators allow.
 */
export function fleetShare({live, knownCount}: RosterChanged, overshoot: number): number {
  const liveShare = knownCount === 0 ? 1 : Math.min(1, live.length / knownCount);
  const majorityShare = (1 + overshoot) / 2;
  return liveShare > 0.5 ? Math.max(liveShare, majorityShare) : liveShare;
}
