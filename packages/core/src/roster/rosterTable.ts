import type {LiveHost} from '../messages/hostMessages.ts';
import type {RosterNews} from '../messages/peerMessages.ts';

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
 * A gossip message reaches 48 hosts in six rounds and 540 hosts in nine, at 800 ms a round. Three rounds of
 * four go to the own data centre: with three-quarters of the targets in one data centre, and half of the rounds
 * for these, a message nearly always arrives within 5 s.
 */
export const DEFAULT_ROSTER_TABLE_OPTIONS: RosterTableOptions = {
  deadAfterMs: 5_000,
  forgetAfterMs: 30_000,
};

/** One host in the list, with the state of its newest process. */
interface Member {
  readonly hostId: string;
  dataCentre: string;
  /** Unix time of the start of the process by its own clock, in ms. */
  bornMs: number;
  /** Heartbeat counter of the process. */
  beat: number;
  isLeaving: boolean;
  /** Moment on this host's clock at which the heartbeat counter was last seen to grow, in ms. */
  heartbeatAdvancedAtMs: number;
}

/** Identity of this host and process. */
export interface RosterTableIdentity {
  readonly selfId: string;
  readonly dataCentre: string;
  /** Unix time of the start of this process, in ms. */
  readonly bornMs: number;
}

/**
 * Gossip-based member list of one host, with the newest process and heartbeat counter of every host.
 *
 * A member whose counter does not grow for `deadAfterMs` counts as dead.
 */
export class RosterTable {
  readonly #options: RosterTableOptions;
  readonly #self: Member;
  readonly #members = new Map<string, Member>();

  constructor(
    {selfId, dataCentre, bornMs}: RosterTableIdentity,
    options: Partial<RosterTableOptions> = {},
  ) {
    this.#options = {...DEFAULT_ROSTER_TABLE_OPTIONS, ...options};
    this.#self = {
      hostId: selfId,
      dataCentre,
      bornMs,
      beat: 1,
      isLeaving: false,
      heartbeatAdvancedAtMs: 0,
    };
    this.#members.set(selfId, this.#self);
  }

  /** Increments this host's own heartbeat counter; called once a round. */
  incrementHeartbeat(nowMs: number): void {
    this.#self.beat += 1;
    this.#self.heartbeatAdvancedAtMs = nowMs;
  }

  /** Marks this host as shutting down, for the next gossip messages. */
  markLeaving(): void {
    this.#self.isLeaving = true;
    this.#self.beat += 1;
  }

  get isLeaving(): boolean {
    return this.#self.isLeaving;
  }

  /** Merges a peer's list. For each member the newer process wins, then the higher heartbeat counter. */
  merge({dataCentres, members}: RosterNews, nowMs: number): void {
    for (const {dataCentre: index, ...received} of members) {
      const dataCentre = dataCentres[index] ?? '';
      if (received.hostId === this.#self.hostId) {
        this.#supersedeFormerProcess(received.bornMs);
        continue;
      }
      const existing = this.#members.get(received.hostId);
      const isNewer =
        existing === undefined ||
        received.bornMs > existing.bornMs ||
        (received.bornMs === existing.bornMs && received.beat > existing.beat);
      if (isNewer) {
        this.#members.set(received.hostId, {...received, dataCentre, heartbeatAdvancedAtMs: nowMs});
      }
    }
  }

  /** Marks a host as dead until its heartbeat counter grows again. */
  markDead(hostId: string): void {
    const member = this.#members.get(hostId);
    if (member !== undefined && hostId !== this.#self.hostId) {
      member.heartbeatAdvancedAtMs -= this.#options.deadAfterMs;
    }
  }

  /** Builds the gossip message for a peer: this host and all members that are not dead. */
  buildGossipMessage(isAnswerWanted: boolean, nowMs: number): RosterNews {
    const dataCentres: string[] = [];
    const members: RosterNews['members'] = [];
    for (const {heartbeatAdvancedAtMs, dataCentre, ...member} of this.#members.values()) {
      if (member.hostId !== this.#self.hostId && this.#isDead(heartbeatAdvancedAtMs, nowMs)) {
        continue;
      }
      let index = dataCentres.indexOf(dataCentre);
      if (index < 0) {
        index = dataCentres.push(dataCentre) - 1;
      }
      members.push({...member, dataCentre: index});
    }
    return {type: 'rosterNews', isAnswerWanted, dataCentres, members};
  }

  /** Hosts that are alive and not shutting down; this host is included unless it shuts down. */
  liveHosts(nowMs: number): LiveHost[] {
    const live: LiveHost[] = [];
    for (const {
      hostId,
      dataCentre,
      bornMs,
      isLeaving,
      heartbeatAdvancedAtMs,
    } of this.#members.values()) {
      const isDead = hostId !== this.#self.hostId && this.#isDead(heartbeatAdvancedAtMs, nowMs);
      if (!isLeaving && !isDead) {
        live.push({hostId, dataCentre, bornMs});
      }
    }
    return live;
  }

  /**
   * Counts this host and all others that are alive or died recently without announcing a shutdown. Removes
   * those whose heartbeat stopped more than `forgetAfterMs` ago.
   */
  knownCount(nowMs: number): number {
    let count = 0;
    for (const [hostId, {isLeaving, heartbeatAdvancedAtMs}] of this.#members) {
      if (hostId === this.#self.hostId) {
        count += 1;
        continue;
      }
      const silentMs = nowMs - heartbeatAdvancedAtMs;
      if (silentMs > this.#options.forgetAfterMs) {
        this.#members.delete(hostId);
        continue;
      }
      const isGone = isLeaving && this.#isDead(heartbeatAdvancedAtMs, nowMs);
      count += isGone ? 0 : 1;
    }
    return count;
  }

  #isDead(advancedAtMs: number, nowMs: number): boolean {
    return nowMs - advancedAtMs > this.#options.deadAfterMs;
  }

  /**
   * Makes this process count as newer than an earlier one on this host, whose start time may be later if
   * the clock was set back in between.
   */
  #supersedeFormerProcess(bornMs: number): void {
    if (bornMs > this.#self.bornMs) {
      this.#self.bornMs = bornMs + 1;
    }
  }
}
