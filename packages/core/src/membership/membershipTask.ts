import type {HostList} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {HeartbeatAnswer, PeerMessage} from '../messages/peerMessages.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {ListAcknowledgements} from './listAcknowledgements.ts';
import {HostListHistory} from './hostListHistory.ts';
import {LivenessTable} from './livenessTable.ts';
import {DEFAULT_LEASE_BOUNDS, listRetirementMs} from './membershipOptions.ts';
import type {LeaseBounds} from './membershipOptions.ts';
import {PlatformClock} from './platformClock.ts';

/** Identity of the host, the time bounds and the timing of heartbeats. */
export interface MembershipTaskOptions {
  readonly selfId: string;
  readonly random: RandomSource;
  readonly bounds: LeaseBounds;
  /** Nonce of the first heartbeat query; differs between processes on the same host. Default: 1. */
  readonly firstNonce: number;
  /** Interval between rounds of heartbeats, in ms. Default: 400. */
  readonly heartbeatIntervalMs: number;
  /** Number of peers queried in each round. Default: 3. */
  readonly heartbeatFanout: number;
  /** Silence of a host after which no home is placed on it, in ms. Default: 2,000. */
  readonly reachableTimeoutMs: number;
}

/** Defaults of the optional fields of `MembershipTaskOptions`. */
export const DEFAULT_MEMBERSHIP_OPTIONS = {
  bounds: DEFAULT_LEASE_BOUNDS,
  firstNonce: 1,
  heartbeatIntervalMs: 400,
  heartbeatFanout: 3,
  reachableTimeoutMs: 2_000,
} as const;

const timerId = 'membership.heartbeat';
/** Most heartbeat queries that may await a reply; the oldest are discarded beyond that. */
const maxPendingQueries = 256;

/**
 * Tracks the platform's host list, which hosts of it are reachable, and until when this host may act.
 *
 * A host may act while its view is fresh: within the freshness bound, the platform confirmed the list and the
 * document, directly or through a peer, or a majority of the list did so. It has a share of each fleet-wide
 * allowance that is valid under every list that another host may still act on (see `HostListHistory`).
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
  readonly #history: HostListHistory;
  readonly #platformClock: PlatformClock;
  /** When each heartbeat query that awaits a reply was sent, by nonce, in ms. */
  readonly #pendingQueries = new Map<number, number>();
  readonly #liveness = new LivenessTable();
  #isShuttingDown = false;
  /** Acknowledgements of the newest list by settled hosts. */
  #acknowledgements: ListAcknowledgements | undefined;
  /** Acknowledgements of the newest list by hosts that are not settled. */
  #unsettledAcknowledgements: ListAcknowledgements | undefined;
  #listConfirmedAtMs = Number.NEGATIVE_INFINITY;
  #manifestConfirmedAtMs = Number.NEGATIVE_INFINITY;
  /** When the platform last confirmed list and document to a peer, on the own clock, in ms. */
  #peerConfirmedAtMs = Number.NEGATIVE_INFINITY;
  #documentVersion = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #nextNonce: number;
  #lastAnnounced = '';

  constructor({
    selfId,
    random,
    ...options
  }: Partial<MembershipTaskOptions> & Pick<MembershipTaskOptions, 'selfId' | 'random'>) {
    this.#options = {...DEFAULT_MEMBERSHIP_OPTIONS, ...options, selfId, random};
    this.#nextNonce = this.#options.firstNonce;
    this.#history = new HostListHistory(selfId, listRetirementMs(this.#options.bounds));
    this.#platformClock = new PlatformClock(this.#options.bounds.clockDrift);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'hostListRead':
        return this.#onListRead(message.list, message.requestedAtMs, nowMs);
      case 'manifestConfirmed':
        this.#manifestConfirmedAtMs = Math.max(this.#manifestConfirmedAtMs, message.requestedAtMs);
        return this.#update(nowMs);
      case 'documentInForce':
        this.#documentVersion = message.document.version;
        return this.#update(nowMs);
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      case 'shutdownWanted':
        this.#isShuttingDown = true;
        return this.#announceShutdown();
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
      platformAgeMs: Math.round(nowMs - this.#platformConfirmedAtMs()),
    };
    return {type: 'statusReported', askId, section: 'membership', value};
  }

  #onListRead(list: HostList, requestedAtMs: number, nowMs: number): readonly CoreMessage[] {
    this.#platformClock.recordReading(list.asOfMs, nowMs);
    const lagMs = this.#platformClock.lagMs(list.asOfMs, requestedAtMs, nowMs);
    const current = this.#history.newest;
    if (current !== undefined && list.version < current.version) {
      return [{type: 'count', name: 'membership.olderList', tags: {from: 'platform'}}];
    }
    this.#listConfirmedAtMs = Math.max(this.#listConfirmedAtMs, requestedAtMs - lagMs);
    return [...this.#adopt(list, nowMs), ...this.#update(nowMs)];
  }

  #adopt(list: HostList, nowMs: number): readonly CoreMessage[] {
    const isFirst = this.#history.newest === undefined;
    if (!this.#history.adopt(list, nowMs)) {
      return [];
    }
    this.#acknowledgements = new ListAcknowledgements(list, this.#options.selfId);
    this.#unsettledAcknowledgements = new ListAcknowledgements(list, this.#options.selfId);
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

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'heartbeatAsk':
        return [
          this.#send(fromHostId, this.#heartbeatReply(message.nonce, nowMs)),
          ...this.#queryNewerList(fromHostId, message.listVersion),
        ];
      case 'heartbeatAnswer':
        return this.#onHeartbeatReply(fromHostId, message, nowMs);
      case 'listAsk': {
        const {lists} = this.#history;
        const isFresh = this.#isFresh(nowMs);
        return [this.#send(fromHostId, {type: 'listAnswer', lists: [...lists], isFresh})];
      }
      case 'listAnswer':
        return this.#onListReply(message.lists, message.isFresh, nowMs);
      case 'leaving':
        this.#liveness.recordShutdown(fromHostId, nowMs);
        this.#acknowledgements?.remove(fromHostId);
        return this.#update(nowMs);
      default:
        return [];
    }
  }

  #isFresh(nowMs: number): boolean {
    return this.#history.isSettled && nowMs <= this.#freshUntilMs;
  }

  #heartbeatReply(nonce: number, nowMs: number): HeartbeatAnswer {
    const platformConfirmedAtMs = this.#platformConfirmedAtMs();
    const isFresh = this.#isFresh(nowMs);
    return {
      type: 'heartbeatAnswer',
      nonce,
      listVersion: this.#history.newest?.version ?? 0,
      documentVersion: this.#documentVersion,
      oldestListVersion: this.#history.isSettled ? this.#history.oldest?.version : undefined,
      isFresh,
      platformAgeMs: Number.isFinite(platformConfirmedAtMs)
        ? Math.ceil(nowMs - platformConfirmedAtMs)
        : undefined,
      platformNowMs: this.#platformClock.platformNowMs(nowMs),
      ages: this.#acknowledgementsToShare()?.ages(nowMs) ?? new Uint8Array(0),
    };
  }

  #onHeartbeatReply(
    fromHostId: string,
    reply: HeartbeatAnswer,
    nowMs: number,
  ): readonly CoreMessage[] {
    const queriedAtMs = this.#pendingQueries.get(reply.nonce);
    this.#pendingQueries.delete(reply.nonce);
    if (queriedAtMs === undefined) {
      return [];
    }
    if (reply.oldestListVersion !== undefined) {
      this.#liveness.record(fromHostId, queriedAtMs);
    }
    if (reply.platformNowMs !== undefined) {
      this.#platformClock.recordReading(reply.platformNowMs, nowMs);
    }
    const isSameList = reply.listVersion === this.#history.newest?.version;
    if (isSameList && reply.documentVersion <= this.#documentVersion) {
      this.#mergeAcknowledgements(fromHostId, reply, queriedAtMs);
    }
    return [
      ...this.#queryNewerList(fromHostId, reply.listVersion),
      ...this.#queryListHistory(fromHostId, reply),
      ...this.#update(nowMs),
    ];
  }

  /** A settled host reports the acknowledgements of settled hosts, any other host those of unsettled hosts. */
  #acknowledgementsToShare(): ListAcknowledgements | undefined {
    return this.#history.isSettled ? this.#acknowledgements : this.#unsettledAcknowledgements;
  }

  #mergeAcknowledgements(fromHostId: string, reply: HeartbeatAnswer, queriedAtMs: number): void {
    const {platformAgeMs} = reply;
    const isSameDocument = reply.documentVersion === this.#documentVersion;
    if (platformAgeMs !== undefined && isSameDocument) {
      this.#peerConfirmedAtMs = Math.max(this.#peerConfirmedAtMs, queriedAtMs - platformAgeMs);
    }
    if (reply.oldestListVersion !== undefined) {
      this.#acknowledgements?.record(fromHostId, queriedAtMs);
      this.#acknowledgements?.merge(reply.ages, queriedAtMs);
      for (const {hostId, acknowledgedAtMs} of this.#acknowledgements?.decodeAges(
        reply.ages,
        queriedAtMs,
      ) ?? []) {
        this.#liveness.record(hostId, acknowledgedAtMs);
      }
      return;
    }
    this.#unsettledAcknowledgements?.record(fromHostId, queriedAtMs);
    this.#unsettledAcknowledgements?.merge(reply.ages, queriedAtMs);
  }

  #queryNewerList(hostId: string, version: number): readonly CoreMessage[] {
    const current = this.#history.newest?.version ?? 0;
    return version > current ? [this.#send(hostId, {type: 'listAsk'})] : [];
  }

  /** Obtains from a settled peer with a fresh view which lists are still in force. */
  #queryListHistory(hostId: string, reply: HeartbeatAnswer): readonly CoreMessage[] {
    const {oldestListVersion, isFresh, listVersion} = reply;
    if (
      !isFresh ||
      oldestListVersion === undefined ||
      listVersion !== this.#history.newest?.version
    ) {
      return [];
    }
    if (this.#history.isSettled) {
      this.#history.removeListsBefore(oldestListVersion);
      return [];
    }
    return [this.#send(hostId, {type: 'listAsk'})];
  }

  #onListReply(
    lists: readonly HostList[],
    isFresh: boolean,
    nowMs: number,
  ): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const list of lists) {
      messages.push(...this.#adopt(list, nowMs));
    }
    if (isFresh) {
      this.#history.adoptSettledLists(lists);
    }
    messages.push(...this.#update(nowMs));
    return messages;
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    const atMs = nowMs + this.#options.heartbeatIntervalMs;
    const heartbeats = this.#isShuttingDown ? [] : this.#sendHeartbeats(nowMs);
    return [{type: 'timerWanted', timerId, atMs}, ...heartbeats, ...this.#update(nowMs)];
  }

  #sendHeartbeats(nowMs: number): readonly CoreMessage[] {
    const {selfId, random, heartbeatFanout} = this.#options;
    const peers = (this.#history.newest?.hosts ?? []).filter(({id}) => id !== selfId);
    const messages: CoreMessage[] = [];
    for (let sent = 0; sent < heartbeatFanout && peers.length > 0; sent += 1) {
      const [peer] = peers.splice(random.nextInt(peers.length), 1);
      if (peer !== undefined) {
        messages.push(this.#send(peer.id, this.#heartbeatQuery(nowMs)));
      }
    }
    return messages;
  }

  #heartbeatQuery(nowMs: number): PeerMessage {
    const nonce = this.#nextNonce;
    this.#nextNonce += 1;
    this.#pendingQueries.set(nonce, nowMs);
    for (const oldNonce of this.#pendingQueries.keys()) {
      if (this.#pendingQueries.size <= maxPendingQueries) {
        break;
      }
      this.#pendingQueries.delete(oldNonce);
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
  #platformConfirmedAtMs(): number {
    const ownAtMs = Math.min(this.#listConfirmedAtMs, this.#manifestConfirmedAtMs);
    return Math.max(ownAtMs, this.#peerConfirmedAtMs);
  }

  /** Advances the list history and announces what changed. */
  #update(nowMs: number): readonly CoreMessage[] {
    const {newest} = this.#history;
    const acknowledgements = this.#acknowledgements;
    if (
      newest === undefined ||
      acknowledgements === undefined ||
      this.#unsettledAcknowledgements === undefined
    ) {
      return [];
    }
    this.#history.advance(acknowledgements, this.#unsettledAcknowledgements, nowMs);
    return [
      ...this.#announceFreshUntil(newest, acknowledgements, nowMs),
      ...this.#announceMembership(newest, nowMs),
    ];
  }

  /** Announces until when this host may act, whenever that changes. */
  #announceFreshUntil(
    newest: HostList,
    acknowledgements: ListAcknowledgements,
    nowMs: number,
  ): readonly CoreMessage[] {
    const isMember = newest.hosts.some(({id}) => id === this.#options.selfId);
    const majorityAtMs = acknowledgements.majorityAcknowledgedAtMs(
      newest.hosts.map(({id}) => id),
      nowMs,
    );
    const confirmedAtMs = Math.max(majorityAtMs, this.#platformConfirmedAtMs());
    const canAct = isMember && this.#history.isSettled;
    const untilMs = canAct
      ? confirmedAtMs + this.#options.bounds.freshnessMs
      : Number.NEGATIVE_INFINITY;
    const hasChanged = canAct ? untilMs > this.#freshUntilMs : untilMs !== this.#freshUntilMs;
    if (!hasChanged) {
      return [];
    }
    this.#freshUntilMs = untilMs;
    return [{type: 'freshUntil', untilMs}];
  }

  /** Announces the list, the own share and the reachable hosts, whenever they change. */
  #announceMembership(newest: HostList, nowMs: number): readonly CoreMessage[] {
    const reachableHostIds = this.#reachable(newest, nowMs);
    const ownShare = this.#history.ownShare();
    const announced = `${newest.version}|${ownShare}|${reachableHostIds.join(',')}`;
    if (announced === this.#lastAnnounced) {
      return [];
    }
    this.#lastAnnounced = announced;
    return [{type: 'membershipChanged', list: newest, ownShare, reachableHostIds}];
  }

  #reachable(newest: HostList, nowMs: number): string[] {
    const {selfId, reachableTimeoutMs} = this.#options;
    return this.#liveness.reachable(newest, selfId, reachableTimeoutMs, nowMs);
  }

  /** Notifies every other host that this host is shutting down. */
  #announceShutdown(): readonly CoreMessage[] {
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
