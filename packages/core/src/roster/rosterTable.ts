import type {LiveHost} from '../messages/hostMessages.ts';
import type {RosterNews} from '../messages/peerMessages.ts';

export interface RosterTableOptions {
  /** Silence after which a host counts as dead, in ms. Default: 5,000. */
  readonly deadAfterMs: number;
  /** Silence after which a dead host is forgotten, in ms. Default: 30,000. */
  readonly forgetAfterMs: number;
}

/**
 * Six rounds of gossip reach 48 hosts and nine reach 540; at 800 ms a round, with half of the rounds
 * of three-quarters of the targets in one data centre, news is nearly always there in 5 s.
 */
export const DEFAULT_ROSTER_TABLE_OPTIONS: RosterTableOptions = {
  deadAfterMs: 5_000,
  forgetAfterMs: 30_000,
};

interface Member {
  readonly hostId: string;
  dataCentre: string;
  bornMs: number;
  beat: number;
  isLeaving: boolean;
  /** When the beat was last seen to grow, on the own clock, in ms. */
  advancedAtMs: number;
}

export interface RosterTableIdentity {
  readonly selfId: string;
  readonly dataCentre: string;
  /** Unix time of the start of this process, in ms. */
  readonly bornMs: number;
}

/** What one host heard of the others: for each the last incarnation and how far its beat has come. */
export class RosterTable {
  readonly #options: RosterTableOptions;
  readonly #self: Member;
  readonly #members = new Map<string, Member>();

  constructor(
    {selfId, dataCentre, bornMs}: RosterTableIdentity,
    options: Partial<RosterTableOptions> = {},
  ) {
    this.#options = {...DEFAULT_ROSTER_TABLE_OPTIONS, ...options};
    this.#self = {hostId: selfId, dataCentre, bornMs, beat: 1, isLeaving: false, advancedAtMs: 0};
    this.#members.set(selfId, this.#self);
  }

  /** Counts one round of this host. */
  beat(nowMs: number): void {
    this.#self.beat += 1;
    this.#self.advancedAtMs = nowMs;
  }

  leave(): void {
    this.#self.isLeaving = true;
    this.#self.beat += 1;
  }

  get isLeaving(): boolean {
    return this.#self.isLeaving;
  }

  merge({dataCentres, members}: RosterNews, nowMs: number): void {
    for (const {dataCentre: index, ...news} of members) {
      const dataCentre = dataCentres[index] ?? '';
      if (news.hostId === this.#self.hostId) {
        this.#outliveFormerSelf(news.bornMs);
        continue;
      }
      const known = this.#members.get(news.hostId);
      const isNews =
        known === undefined ||
        news.bornMs > known.bornMs ||
        (news.bornMs === known.bornMs && news.beat > known.beat);
      if (isNews) {
        this.#members.set(news.hostId, {...news, dataCentre, advancedAtMs: nowMs});
      }
    }
  }

  /** Takes a host for dead until its beat grows again. */
  noteAbsent(hostId: string): void {
    const member = this.#members.get(hostId);
    if (member !== undefined && hostId !== this.#self.hostId) {
      member.advancedAtMs -= this.#options.deadAfterMs;
    }
  }

  /** Members heard of within the time after which a host counts as dead, as news for a peer. */
  news(isAnswerWanted: boolean, nowMs: number): RosterNews {
    const dataCentres: string[] = [];
    const members: RosterNews['members'] = [];
    for (const {advancedAtMs, dataCentre, ...member} of this.#members.values()) {
      if (member.hostId !== this.#self.hostId && this.#isDead(advancedAtMs, nowMs)) {
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

  /** Hosts that live and do not leave, this one included unless it leaves. */
  live(nowMs: number): LiveHost[] {
    const live: LiveHost[] = [];
    for (const {hostId, dataCentre, bornMs, isLeaving, advancedAtMs} of this.#members.values()) {
      const isDead = hostId !== this.#self.hostId && this.#isDead(advancedAtMs, nowMs);
      if (!isLeaving && !isDead) {
        live.push({hostId, dataCentre, bornMs});
      }
    }
    return live;
  }

  /** Hosts that live or went silent lately without a word; forgets those that are long gone. */
  knownCount(nowMs: number): number {
    let count = 0;
    for (const [hostId, {isLeaving, advancedAtMs}] of this.#members) {
      if (hostId === this.#self.hostId) {
        count += 1;
        continue;
      }
      const silentMs = nowMs - advancedAtMs;
      if (silentMs > this.#options.forgetAfterMs) {
        this.#members.delete(hostId);
        continue;
      }
      const isGone = isLeaving && this.#isDead(advancedAtMs, nowMs);
      count += isGone ? 0 : 1;
    }
    return count;
  }

  #isDead(advancedAtMs: number, nowMs: number): boolean {
    return nowMs - advancedAtMs > this.#options.deadAfterMs;
  }

  /** The clock may have been set back since the last start here: this start is the newer one. */
  #outliveFormerSelf(bornMs: number): void {
    if (bornMs > this.#self.bornMs) {
      this.#self.bornMs = bornMs + 1;
    }
  }
}
