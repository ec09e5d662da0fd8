import type {RosterChanged} from '../messages/hostMessages.ts';

/**
 * Part of each fleet-wide allowance that a home may hand out, 0 to 1. The home of a key is the host that owns
 * it by rendezvous hashing and decides for the whole fleet.
 *
 * During a network partition each side of the fleet has a home of its own. A home that reaches a minority of
 * the hosts uses the part of that minority. A home that reaches a majority uses its part or more, up to the
 * share with which minority and majority together stay within the overshoot that operators allow.
 */
export function fleetShare({live, knownCount}: RosterChanged, overshoot: number): number {
  const liveShare = knownCount === 0 ? 1 : Math.min(1, live.length / knownCount);
  const majorityShare = (1 + overshoot) / 2;
  return liveShare > 0.5 ? Math.max(liveShare, majorityShare) : liveShare;
}
