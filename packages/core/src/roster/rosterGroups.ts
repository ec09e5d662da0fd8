import type {HashFunction} from '../hash/hashFunction.ts';
import type {Member} from './member.ts';

/**
 * Number of groups into which the members are divided. A change of one member makes its group be sent in full:
 * some 18 members of a fleet of 292 hosts.
 */
export const rosterGroupCount = 16;
/** Heartbeat counters are sent modulo this number. */
const beatModulus = 256;

/** The members of one group that are not dead, in the order of their ids. */
export interface RosterGroup {
  /** Hash of the identities of the members; equal where two hosts list the same processes. */
  readonly identityHash: number;
  /** Heartbeat counter of each member, modulo 256. */
  readonly beats: Uint8Array<ArrayBuffer>;
  readonly members: readonly Member[];
}

/**
 * Divides members into groups, so that two hosts that list the same processes need to exchange only a hash and
 * one byte for each member.
 */
export class RosterGroups {
  readonly #hash: HashFunction;
  readonly #numberById = new Map<string, number>();

  constructor(hash: HashFunction) {
    this.#hash = hash;
  }

  /** Number of the group of a host, the same on every host. */
  numberOf(hostId: string): number {
    let number = this.#numberById.get(hostId);
    if (number === undefined) {
      number = this.#hash(hostId) % rosterGroupCount;
      this.#numberById.set(hostId, number);
    }
    return number;
  }

  /** Divides the given members into groups. */
  divide(members: Iterable<Member>): RosterGroup[] {
    const membersByGroup: Member[][] = Array.from({length: rosterGroupCount}, () => []);
    for (const member of members) {
      membersByGroup[this.numberOf(member.hostId)]?.push(member);
    }
    return membersByGroup.map((group) => {
      group.sort((one, other) => (one.hostId < other.hostId ? -1 : 1));
      return {
        identityHash: this.#identityHash(group),
        beats: Uint8Array.from(group, ({beat}) => beat % beatModulus),
        members: group,
      };
    });
  }

  #identityHash(members: readonly Member[]): number {
    return this.#hash(
      members
        .map(({hostId, bornMs, isLeaving}) => `${hostId}#${bornMs}${isLeaving ? '-' : '+'}`)
        .join(' '),
    );
  }
}

/**
 * The full heartbeat counter of which a peer sent the remainder, where it is newer than a known one; undefined
 * where it is not. Counters of two hosts that both count the member as alive differ by less than half the modulus.
 */
export function newerBeat(knownBeat: number, receivedRemainder: number): number | undefined {
  const advance = (receivedRemainder - (knownBeat % beatModulus) + beatModulus) % beatModulus;
  return advance > 0 && advance < beatModulus / 2 ? knownBeat + advance : undefined;
}
