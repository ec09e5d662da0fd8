import type {HostList} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {HeartbeatAnswer, PeerMessage} from '../messages/peerMessages.ts';
import type {RandomSource} from '../time/randomSource.ts';
import {EvidenceTable} from './evidenceTable.ts';
import {ListHistory} from './listHistory.ts';
import {LivenessTable} from './livenessTable.ts';
import {DEFAULT_LEASE_BOUNDS, retirementMs} from './membershipOptions.ts';
import type {LeaseBounds} from './membershipOptions.ts';
import {PlatformClock} from './platformClock.ts';

export interface MembershipTaskOptions {
  readonly selfId: string;
  readonly random: RandomSource;
  readonly bounds: LeaseBounds;
  /** First number of asks; differs between processes at the same host. Default: 1. */
  readonly firstNonce: number;
  /** Interval between rounds of heartbeats, in ms. Default: 400. */
  readonly heartbeatIntervalMs: number;
  /** Peers asked in each round. Default: 3. */
  readonly heartbeatFanout: number;
  /** Silence after which no home is placed on a host, in ms. Default: 2,000. */
  readonly reachableMs: number;
}

export const DEFAULT_MEMBERSHIP_OPTIONS = {
  bounds: DEFAULT_LEASE_BOUNDS,
  firstNonce: 1,
  heartbeatIntervalMs: 400,
  heartbeatFanout: 3,
  reachableMs: 2_000,
} as const;

const timerId = 'membership.heartbeat';
const maxPendingAsks = 256;

/**
 * Knows which hosts there are, which of them act, and how long this host may act.
 *
 * A host may act while its view is fresh: the platform confirmed the list and the document, directly
 * or through a peer, or a majority of the list did so, within the freshness bound. It holds a share of
 * each allowance under every list that another host may still act on (see `ListHistory`).
 */
export class MembershipTask implements CoreTask {
  readonly accepts = [
    'hostListRead',
    'manifestConfirmed',
    'documentInForce',
    'peerMessageReceived',
    'timerFired',
    'shutdownWanted',
    'statusWanted',
  ] as const;

  readonly #options: MembershipTaskOptions;
  readonly #history: ListHistory;
  readonly #platformClock: PlatformClock;
  readonly #pendingAsks = new Map<number, number>();
  readonly #liveness = new LivenessTable();
  #isLeaving = false;
  #evidence: EvidenceTable | undefined;
  #newcomers: EvidenceTable | undefined;
  #listConfirmedAtMs = Number.NEGATIVE_INFINITY;
  #manifestConfirmedAtMs = Number.NEGATIVE_INFINITY;
  #peerPlatformAtMs = Number.NEGATIVE_INFINITY;
  #documentVersion = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #nextNonce: number;
  #lastTold = '';

  constructor({
    selfId,
    random,
    ...options
  }: Partial<MembershipTaskOptions> & Pick<MembershipTaskOptions, 'selfId' | 'random'>) {
    this.#options = {...DEFAULT_MEMBERSHIP_OPTIONS, ...options, selfId, random};
    this.#nextNonce = this.#options.firstNonce;
    this.#history = new ListHistory(selfId, retirementMs(this.#options.bounds));
    this.#platformClock = new PlatformClock(this.#options.bounds.clockDrift);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'hostListRead':
        return this.#onListRead(message.list, message.askedAtMs, nowMs);
      case 'manifestConfirmed':
        this.#manifestConfirmedAtMs = Math.max(this.#manifestConfirmedAtMs, message.askedAtMs);
        return this.#update(nowMs);
      case 'documentInForce':
        this.#documentVersion = message.document.version;
        return this.#update(nowMs);
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      case 'shutdownWanted':
        this.#isLeaving = true;
        return this.#tellLeaving();
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const {newest, oldest, isSettled} = this.#history;
    const value = {
      listVersion: newest?.version,
      oldestListVersion: oldest?.version,
      hosts: newest?.hosts.length ?? 0,
      isSettled,
      ownShare: this.#history.ownShare(),
      reachable: newest === undefined ? [] : this.#reachable(newest, nowMs),
      platformAgeMs: Math.round(nowMs - this.#platformAtMs()),
    };
    return {type: 'statusTold', askId, section: 'membership', value};
  }

  #onListRead(list: HostList, askedAtMs: number, nowMs: number): readonly CoreMessage[] {
    this.#platformClock.note(list.asOfMs, nowMs);
    const lagMs = this.#platformClock.lagMs(list.asOfMs, askedAtMs, nowMs);
    const known = this.#history.newest;
    if (known !== undefined && list.version < known.version) {
      return [{type: 'count', name: 'membership.olderList', tags: {from: 'platform'}}];
    }
    this.#listConfirmedAtMs = Math.max(this.#listConfirmedAtMs, askedAtMs - lagMs);
    return [...this.#adopt(list, nowMs), ...this.#update(nowMs)];
  }

  #adopt(list: HostList, nowMs: number): readonly CoreMessage[] {
    const isFirst = this.#history.newest === undefined;
    if (!this.#history.adopt(list, nowMs)) {
      return [];
    }
    this.#evidence = new EvidenceTable(list, this.#options.selfId);
    this.#newcomers = new EvidenceTable(list, this.#options.selfId);
    const fields = {version: list.version, hosts: list.hosts.length};
    const messages: CoreMessage[] = [
      {type: 'linkPeers', list},
      {type: 'log', level: 'info', event: 'membership.list', fields},
    ];
    if (isFirst) {
      messages.push({type: 'timerWanted', timerId, atMs: nowMs});
    }
    return messages;
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'heartbeatAsk':
        return [
          this.#send(fromHostId, this.#answer(message.nonce, nowMs)),
          ...this.#askForNewerList(fromHostId, message.listVersion),
        ];
      case 'heartbeatAnswer':
        return this.#onAnswer(fromHostId, message, nowMs);
      case 'listAsk': {
        const {lists} = this.#history;
        const isFresh = this.#isFresh(nowMs);
        return [this.#send(fromHostId, {type: 'listAnswer', lists: [...lists], isFresh})];
      }
      case 'listAnswer':
        return this.#onLists(message.lists, message.isFresh, nowMs);
      case 'leaving':
        this.#liveness.leave(fromHostId, nowMs);
        this.#evidence?.forget(fromHostId);
        return this.#update(nowMs);
      default:
        return [];
    }
  }

  #isFresh(nowMs: number): boolean {
    return this.#history.isSettled && nowMs <= this.#freshUntilMs;
  }

  #answer(nonce: number, nowMs: number): HeartbeatAnswer {
    const platformAtMs = this.#platformAtMs();
    const isFresh = this.#isFresh(nowMs);
    return {
      type: 'heartbeatAnswer',
      nonce,
      listVersion: this.#history.newest?.version ?? 0,
      documentVersion: this.#documentVersion,
      oldestListVersion: this.#history.isSettled ? this.#history.oldest?.version : undefined,
      isFresh,
      platformAgeMs: Number.isFinite(platformAtMs) ? Math.ceil(nowMs - platformAtMs) : undefined,
      platformNowMs: this.#platformClock.platformNowMs(nowMs),
      ages: this.#tableToTell()?.ages(nowMs) ?? new Uint8Array(0),
    };
  }

  #onAnswer(fromHostId: string, answer: HeartbeatAnswer, nowMs: number): readonly CoreMessage[] {
    const askedAtMs = this.#pendingAsks.get(answer.nonce);
    this.#pendingAsks.delete(answer.nonce);
    if (askedAtMs === undefined) {
      return [];
    }
    if (answer.oldestListVersion !== undefined) {
      this.#liveness.note(fromHostId, askedAtMs);
    }
    if (answer.platformNowMs !== undefined) {
      this.#platformClock.note(answer.platformNowMs, nowMs);
    }
    const isSameList = answer.listVersion === this.#history.newest?.version;
    if (isSameList && answer.documentVersion <= this.#documentVersion) {
      this.#mergeEvidence(fromHostId, answer, askedAtMs);
    }
    return [
      ...this.#askForNewerList(fromHostId, answer.listVersion),
      ...this.#askForHistory(fromHostId, answer),
      ...this.#update(nowMs),
    ];
  }

  /** A settled host tells of settled hosts, a newcomer of newcomers. */
  #tableToTell(): EvidenceTable | undefined {
    return this.#history.isSettled ? this.#evidence : this.#newcomers;
  }

  #mergeEvidence(fromHostId: string, answer: HeartbeatAnswer, askedAtMs: number): void {
    const {platformAgeMs} = answer;
    const isSameDocument = answer.documentVersion === this.#documentVersion;
    if (platformAgeMs !== undefined && isSameDocument) {
      this.#peerPlatformAtMs = Math.max(this.#peerPlatformAtMs, askedAtMs - platformAgeMs);
    }
    if (answer.oldestListVersion !== undefined) {
      this.#evidence?.note(fromHostId, askedAtMs);
      this.#evidence?.merge(answer.ages, askedAtMs);
      for (const {hostId, seenAtMs} of this.#evidence?.moments(answer.ages, askedAtMs) ?? []) {
        this.#liveness.note(hostId, seenAtMs);
      }
      return;
    }
    this.#newcomers?.note(fromHostId, askedAtMs);
    this.#newcomers?.merge(answer.ages, askedAtMs);
  }

  #askForNewerList(hostId: string, version: number): readonly CoreMessage[] {
    const known = this.#history.newest?.version ?? 0;
    return version > known ? [this.#send(hostId, {type: 'listAsk'})] : [];
  }

  /** Learns which lists still bind from a peer that knows, when this host does not or knows less. */
  #askForHistory(hostId: string, answer: HeartbeatAnswer): readonly CoreMessage[] {
    const {oldestListVersion, isFresh, listVersion} = answer;
    if (
      !isFresh ||
      oldestListVersion === undefined ||
      listVersion !== this.#history.newest?.version
    ) {
      return [];
    }
    if (this.#history.isSettled) {
      this.#history.dropBefore(oldestListVersion);
      return [];
    }
    return [this.#send(hostId, {type: 'listAsk'})];
  }

  #onLists(lists: readonly HostList[], isFresh: boolean, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const list of lists) {
      messages.push(...this.#adopt(list, nowMs));
    }
    if (isFresh) {
      this.#history.settleLike(lists);
    }
    messages.push(...this.#update(nowMs));
    return messages;
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    const atMs = nowMs + this.#options.heartbeatIntervalMs;
    const asks = this.#isLeaving ? [] : this.#askPeers(nowMs);
    return [{type: 'timerWanted', timerId, atMs}, ...asks, ...this.#update(nowMs)];
  }

  #askPeers(nowMs: number): readonly CoreMessage[] {
    const {selfId, random, heartbeatFanout} = this.#options;
    const peers = (this.#history.newest?.hosts ?? []).filter(({id}) => id !== selfId);
    const messages: CoreMessage[] = [];
    for (let asked = 0; asked < heartbeatFanout && peers.length > 0; asked += 1) {
      const [peer] = peers.splice(random.below(peers.length), 1);
      if (peer !== undefined) {
        messages.push(this.#send(peer.id, this.#ask(nowMs)));
      }
    }
    return messages;
  }

  #ask(nowMs: number): PeerMessage {
    const nonce = this.#nextNonce;
    this.#nextNonce += 1;
    this.#pendingAsks.set(nonce, nowMs);
    for (const oldNonce of this.#pendingAsks.keys()) {
      if (this.#pendingAsks.size <= maxPendingAsks) {
        break;
      }
      this.#pendingAsks.delete(oldNonce);
    }
    const listVersion = this.#history.newest?.version ?? 0;
    return {
      type: 'heartbeatAsk',
      nonce,
      listVersion,
      documentVersion: this.#documentVersion,
    };
  }

  /** When the platform last confirmed list and document, directly or through a peer. */
  #platformAtMs(): number {
    const ownAtMs = Math.min(this.#listConfirmedAtMs, this.#manifestConfirmedAtMs);
    return Math.max(ownAtMs, this.#peerPlatformAtMs);
  }

  #update(nowMs: number): readonly CoreMessage[] {
    const {newest} = this.#history;
    const evidence = this.#evidence;
    if (newest === undefined || evidence === undefined || this.#newcomers === undefined) {
      return [];
    }
    this.#history.advance(evidence, this.#newcomers, nowMs);
    return [
      ...this.#tellFreshness(newest, evidence, nowMs),
      ...this.#tellMembership(newest, nowMs),
    ];
  }

  #tellFreshness(newest: HostList, evidence: EvidenceTable, nowMs: number): readonly CoreMessage[] {
    const isMember = newest.hosts.some(({id}) => id === this.#options.selfId);
    const majorityAtMs = evidence.majoritySeenAtMs(
      newest.hosts.map(({id}) => id),
      nowMs,
    );
    const confirmedAtMs = Math.max(majorityAtMs, this.#platformAtMs());
    const canAct = isMember && this.#history.isSettled;
    const untilMs = canAct
      ? confirmedAtMs + this.#options.bounds.freshnessMs
      : Number.NEGATIVE_INFINITY;
    const isNews = canAct ? untilMs > this.#freshUntilMs : untilMs !== this.#freshUntilMs;
    if (!isNews) {
      return [];
    }
    this.#freshUntilMs = untilMs;
    return [{type: 'freshUntil', untilMs}];
  }

  #tellMembership(newest: HostList, nowMs: number): readonly CoreMessage[] {
    const reachableHostIds = this.#reachable(newest, nowMs);
    const ownShare = this.#history.ownShare();
    const told = `${newest.version}|${ownShare}|${reachableHostIds.join(',')}`;
    if (told === this.#lastTold) {
      return [];
    }
    this.#lastTold = told;
    return [{type: 'membershipChanged', list: newest, ownShare, reachableHostIds}];
  }

  #reachable(newest: HostList, nowMs: number): string[] {
    const {selfId, reachableMs} = this.#options;
    return this.#liveness.reachable(newest, selfId, reachableMs, nowMs);
  }

  #tellLeaving(): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const {id} of this.#history.newest?.hosts ?? []) {
      if (id !== this.#options.selfId) {
        messages.push(this.#send(id, {type: 'leaving'}));
      }
    }
    return messages;
  }

  #send(toHostId: string, message: PeerMessage): CoreMessage {
    return {type: 'sendToPeer', toHostId, message};
  }
}
