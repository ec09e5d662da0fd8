import type {HashFunction} from '../hash/hashFunction.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {RosterDigest, RosterNews} from '../messages/peerMessages.ts';
import type {Member, MemberIdentity} from './member.ts';
import {RosterGroups, newerBeat} from './rosterGroups.ts';
import type {RosterGroup} from './rosterGroups.ts';

/** Timeouts of the member list. */
export interface RosterTableOptions {
  /** Time without a new heartbeat after which a host counts as dead, in ms. Default: 5,000. */
  readonly deadAfterMs: number;
  /** Time without a new heartbeat after which a host is removed from the list, in ms. Default: 30,000. */
  readonly forgetAfterMs: number;
}

/**
 * Defaults of {@link RosterTableOptions}.
 *
 * A heartbeat reaches all hosts in about eight rounds of 500 ms, and a host sees a live member's counter grow
 * about every second round: at 292 hosts some go without growth for four seconds, hardly any for five.
 */
export const DEFAULT_ROSTER_TABLE_OPTIONS: RosterTableOptions = {
  deadAfterMs: 5_000,
  forgetAfterMs: 30_000,
};

/** What the members of a peer's message changed in the list. */
export interface RosterMerge {
  /** Members of the message's whole groups that the sender does not list, or lists in an older state. */
  readonly unknownToSender: readonly Member[];
  /** Members that this host learned to be shutting down. */
  readonly newlyLeaving: readonly Member[];
}

/**
 * Gossip-based member list of one host, with the newest process and heartbeat counter of every host.
 *
 * A member whose counter does not grow for `deadAfterMs` counts as dead. Two hosts first exchange digests, and
 * the members themselves only of groups whose digests differ, so that a fleet without changes sends one byte a
 * member.
 */
export class RosterTable {
  readonly #options: RosterTableOptions;
  readonly #groups: RosterGroups;
  readonly #members = new Map<string, Member>();
  #self: Member;

  constructor(
    identity: MemberIdentity,
    hash: HashFunction,
    options: Partial<RosterTableOptions> = {},
  ) {
    this.#options = {...DEFAULT_ROSTER_TABLE_OPTIONS, ...options};
    this.#groups = new RosterGroups(hash);
    this.#self = {...identity, beat: 1, isLeaving: false, heartbeatAdvancedAtMs: 0};
    this.#members.set(identity.hostId, this.#self);
  }

  /** Increments this host's own heartbeat counter; called once a round. */
  incrementHeartbeat(nowMs: number): void {
    this.#updateSelf({beat: this.#self.beat + 1, heartbeatAdvancedAtMs: nowMs});
  }

  /** Marks this host as shutting down and returns its entry, to be sent to peers. */
  markLeaving(): Member {
    this.#updateSelf({isLeaving: true, beat: this.#self.beat + 1});
    return this.#self;
  }

  /** Builds the digest of the member list for a peer. */
  buildDigest(isAnswerWanted: boolean, nowMs: number): RosterDigest {
    const groups = this.#divide(nowMs).map(({identityHash, beats}) => ({identityHash, beats}));
    return {type: 'rosterDigest', isAnswerWanted, groups};
  }

  /**
   * Merges the heartbeats of a peer's digest, in the groups in which both list the same processes; returns the
   * numbers of the other groups.
   */
  mergeDigest({groups}: RosterDigest, nowMs: number): number[] {
    const differing: number[] = [];
    for (const [number, own] of this.#divide(nowMs).entries()) {
      const received = groups[number];
      if (
        received?.identityHash !== own.identityHash ||
        received.beats.length !== own.members.length
      ) {
        differing.push(number);
        continue;
      }
      this.#mergeBeats(own, received.beats, nowMs);
    }
    return differing;
  }

  /** Builds a message with the members of some groups that are not dead. */
  buildNews(groupNumbers: readonly number[], nowMs: number): RosterNews {
    const members = this.#divide(nowMs)
      .filter((_, number) => groupNumbers.includes(number))
      .flatMap((group) => group.members);
    return toNews(members, groupNumbers);
  }

  /** Merges the members of a peer's message. For each member the newer process wins, then the higher counter. */
  mergeNews({dataCentres, members, wholeGroups}: RosterNews, nowMs: number): RosterMerge {
    const upToDateIds = new Set<string>();
    const newlyLeaving: Member[] = [];
    for (const {dataCentre: index, ...received} of members) {
      if (received.hostId === this.#self.hostId) {
        this.#supersedeFormerProcess(received.bornMs);
        if (received.bornMs === this.#self.bornMs && received.isLeaving === this.#self.isLeaving) {
          upToDateIds.add(received.hostId);
        }
        continue;
      }
      const existing = this.#members.get(received.hostId);
      if (isNewerState(received, existing)) {
        const dataCentre = dataCentres[index] ?? '';
        const member = {...received, dataCentre, heartbeatAdvancedAtMs: nowMs};
        this.#members.set(received.hostId, member);
        if (member.isLeaving && existing?.isLeaving !== true) {
          newlyLeaving.push(member);
        }
      }
      if (existing === undefined || !isNewerState(existing, received)) {
        upToDateIds.add(received.hostId);
      }
    }
    const unknownToSender = this.#present(nowMs).filter(
      ({hostId}) => wholeGroups.includes(this.#groups.numberOf(hostId)) && !upToDateIds.has(hostId),
    );
    return {unknownToSender, newlyLeaving};
  }

  /** Marks a host as dead until its heartbeat counter grows again. */
  markDead(hostId: string): void {
    const member = this.#members.get(hostId);
    if (member !== undefined && hostId !== this.#self.hostId) {
      const heartbeatAdvancedAtMs = member.heartbeatAdvancedAtMs - this.#options.deadAfterMs;
      this.#members.set(hostId, {...member, heartbeatAdvancedAtMs});
    }
  }

  /** Hosts that are alive and not shutting down; this host is included unless it shuts down. */
  liveHosts(nowMs: number): LiveHost[] {
    const live: LiveHost[] = [];
    for (const {hostId, dataCentre, bornMs, capacityClass, isLeaving} of this.#present(nowMs)) {
      if (!isLeaving) {
        live.push({hostId, dataCentre, bornMs, capacityClass});
      }
    }
    return live;
  }

  /** Ids of hosts that count as dead although they did not announce a shutdown. */
  lostHostIds(nowMs: number): string[] {
    const lost: string[] = [];
    for (const member of this.#members.values()) {
      if (!member.isLeaving && this.#isDead(member, nowMs)) {
        lost.push(member.hostId);
      }
    }
    return lost;
  }

  /**
   * Counts this host and all others that are alive or died recently without announcing a shutdown. Removes
   * those whose heartbeat stopped more than `forgetAfterMs` ago.
   */
  knownCount(nowMs: number): number {
    let count = 0;
    for (const [hostId, member] of this.#members) {
      if (hostId === this.#self.hostId) {
        count += 1;
        continue;
      }
      if (nowMs - member.heartbeatAdvancedAtMs > this.#options.forgetAfterMs) {
        this.#members.delete(hostId);
        continue;
      }
      count += member.isLeaving && this.#isDead(member, nowMs) ? 0 : 1;
    }
    return count;
  }

  #mergeBeats({members}: RosterGroup, beats: Uint8Array, nowMs: number): void {
    for (const [index, member] of members.entries()) {
      const beat = newerBeat(member.beat, beats[index] ?? 0);
      if (beat !== undefined && member.hostId !== this.#self.hostId) {
        this.#members.set(member.hostId, {...member, beat, heartbeatAdvancedAtMs: nowMs});
      }
    }
  }

  #divide(nowMs: number): RosterGroup[] {
    return this.#groups.divide(this.#present(nowMs));
  }

  /** Members that are not dead, those that shut down included. */
  #present(nowMs: number): Member[] {
    return [...this.#members.values()].filter((member) => !this.#isDead(member, nowMs));
  }

  #isDead({hostId, heartbeatAdvancedAtMs}: Member, nowMs: number): boolean {
    return (
      hostId !== this.#self.hostId && nowMs - heartbeatAdvancedAtMs > this.#options.deadAfterMs
    );
  }

  #updateSelf(change: Partial<Member>): void {
    this.#self = {...this.#self, ...change};
    this.#members.set(this.#self.hostId, this.#self);
  }

  /**
   * Makes this process count as newer than an earlier one on this host, whose start time may be later if
   * the clock was set back in between.
   */
  #supersedeFormerProcess(bornMs: number): void {
    if (bornMs > this.#self.bornMs) {
      this.#updateSelf({bornMs: bornMs + 1});
    }
  }
}

/** True where the first state is of a newer process, or of the same process with a higher counter. */
function isNewerState(
  {bornMs, beat}: Pick<Member, 'bornMs' | 'beat'>,
  other: Pick<Member, 'bornMs' | 'beat'> | undefined,
): boolean {
  return (
    other === undefined || bornMs > other.bornMs || (bornMs === other.bornMs && beat > other.beat)
  );
}

/** A message with the given members, which are all members of the given groups. */
export function toNews(
  members: readonly Member[],
  wholeGroups: readonly number[] = [],
): RosterNews {
  const dataCentres: string[] = [];
  const listed: RosterNews['members'] = [];
  for (const {hostId, dataCentre, bornMs, capacityClass, beat, isLeaving} of members) {
    let index = dataCentres.indexOf(dataCentre);
    if (index < 0) {
      index = dataCentres.push(dataCentre) - 1;
    }
    listed.push({hostId, dataCentre: index, bornMs, capacityClass, beat, isLeaving});
  }
  return {type: 'rosterNews', wholeGroups: [...wholeGroups], dataCentres, members: listed};
}
