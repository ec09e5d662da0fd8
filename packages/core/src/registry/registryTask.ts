import type {FleetBounds} from '../fleet/fleetBounds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RegistryRead, RosterChanged} from '../messages/hostMessages.ts';
import type {PeerMessage, RegistryAnswer, RegistryAsk} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {RegistrySources} from './registrySources.ts';
import {RegistryView} from './registryView.ts';
import {StartGate} from './startGate.ts';

/** Identity of the host, the bounds of the fleet and the timing of registry queries. */
export interface RegistryTaskOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  /** Ranks the hosts of each data centre for reading the registry; the same function on every host. */
  readonly hash: HashFunction;
  readonly bounds: FleetBounds;
  readonly random: RandomSource;
  /** Nonce of the first query; differs between processes on the same host. Default: 1. */
  readonly firstNonce: number;
  /** Interval between queries to a peer, in ms. Default: 700. */
  readonly queryIntervalMs: number;
  /** Longest wait for a peer's reply, in ms. Default: 300, far above a round trip between data centres. */
  readonly replyTimeoutMs: number;
  /**
   * Age above which the registry data of a registry reader counts as too old and the next source is tried,
   * in ms. Default: 1,800, the length of a registry watch without changes, the pause between two watches and
   * some network delay. A relay may be one query interval behind its reader.
   */
  readonly maxReplyAgeMs: number;
  /** True if the whole fleet starts for the first time, before callers connect. Default: false. */
  readonly isFirstStart: boolean;
  /** Part of the key withdrawal bound that is reserved for requests in transit, in ms. Default: 600. */
  readonly transitMarginMs: number;
}

/** Defaults of the optional fields of `RegistryTaskOptions`. */
export const DEFAULT_REGISTRY_OPTIONS = {
  firstNonce: 1,
  queryIntervalMs: 700,
  replyTimeoutMs: 300,
  maxReplyAgeMs: 1_800,
  isFirstStart: false,
  transitMarginMs: 600,
} as const;

type RequiredRegistryOptions = Pick<
  RegistryTaskOptions,
  'selfId' | 'dataCentre' | 'hash' | 'bounds' | 'random'
>;

const timerId = 'registry.tick';
/** Interval of the timer that sends queries and checks freshness, in ms. */
const tickIntervalMs = 50;
/** Pause before a peer that has no registry data yet is queried again, in ms. */
const emptyPeerRetryMs = 40;
/** Delay of a reader or relay after all sources failed, in ms. */
const readerRetryDelayMs = 400;
/** Delay of every other host after all sources failed, in ms. */
const followerRetryDelayMs = 1_500;
/**
 * Followers of the whole fleet that read the registry in each round in which their peers report that the
 * registry fails them. The registry may serve some hosts while it turns others away, and counts every call.
 */
const lastResortReaders = 4;
/** Time for which another source is used before the preferred source is tried again, in ms. */
const preferredSourceRetryMs = 3_000;
/** Time after its last query for which a host is notified of registry changes, in ms. */
const queryMemoryMs = 3_000;

/**
 * Keeps the host's copy of the registry up to date. The registry is the store in which operators publish the
 * configuration document and the data centres out of service, and in which backend servers register themselves.
 *
 * One reader watches the registry for the fleet; every other host queries a peer and reads the registry only
 * if its peers fail (see `RegistrySources`).
 *
 * Load pattern: all hosts start at once, or the registry is down or turns hosts away. Every call counts, so a
 * new process gets the registry data from peers where it can, and of the hosts whose peers fail only a few
 * try the registry in each round.
 *
 * A host may serve customers while its newest registry data, read by itself or received from a peer, is
 * within the key withdrawal bound. Ages count from the moment the query was sent, on the own clock, so that
 * a reply that sat in a buffer while the host was suspended does not appear recent.
 */
export class RegistryTask implements CoreTask {
  readonly accepts = [
    'registryRead',
    'registryUnreadable',
    'rosterChanged',
    'peerMessageReceived',
    'clockGapDetected',
    'timerFired',
    'statusWanted',
  ] as const;

  readonly #options: RegistryTaskOptions;
  readonly #view = new RegistryView();
  readonly #sources: RegistrySources;
  /** When each host last sent a query, on the own clock, in ms. */
  readonly #queriedAtMsByHost = new Map<string, number>();
  readonly #startGate: StartGate;
  /** True if a peer replied since the sources were last tried from the first on. */
  #hasPeerReplied = false;
  /** Latest moment at which the registry surely held nothing newer than the view, in ms. */
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  /** Host that read the newest of the data from the registry; undefined before the first. */
  #readByHostId: string | undefined;
  /** Newest revision that the source announced since the last query for it; 0 for none. */
  #noticedRevision = 0;
  #pendingQuery: {readonly nonce: number; readonly queriedAtMs: number} | undefined;
  #nextQueryAtMs = 0;
  #preferredSourceRetryAtMs = 0;
  #isWatching = false;
  #nextNonce: number;
  #announcedVersion = 0;
  #announcedLapsedIds = '';
  #wasFresh = false;
  /** True from the failure of a source until registry data arrives from a working source. */
  #isFailing = false;

  constructor(options: Partial<RegistryTaskOptions> & RequiredRegistryOptions) {
    this.#options = {...DEFAULT_REGISTRY_OPTIONS, ...options};
    this.#sources = new RegistrySources(options);
    this.#startGate = new StartGate(this.#options.isFirstStart);
    this.#nextNonce = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'timerFired':
        return message.timerId === timerId || message.timerId === 'start'
          ? this.#onTick(nowMs)
          : [];
      case 'rosterChanged':
        return this.#onRosterChanged(message, nowMs);
      case 'registryRead':
        return this.#onRead(message, nowMs);
      case 'registryUnreadable':
        return this.#onUnreadable(message.reason, nowMs);
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'clockGapDetected': {
        this.#confirmedAtMs -= message.lostMs;
        const fields = {lostMs: Math.round(message.lostMs)};
        return [
          {type: 'log', level: 'warn', event: 'host.timeLost', fields},
          ...this.#announceFreshUntil(),
        ];
      }
      case 'statusWanted': {
        const value = {
          version: this.#view.document?.version ?? 0,
          revision: this.#view.revision,
          ageMs: Math.round(nowMs - this.#confirmedAtMs),
          source: this.#sources.current,
          role: this.#sources.role,
          readByHostId: this.#readByHostId,
        };
        return [{type: 'statusReported', askId: message.askId, section: 'registry', value}];
      }
      default:
        return [];
    }
  }

  #onRosterChanged({live}: RosterChanged, nowMs: number): readonly CoreMessage[] {
    this.#startGate.recordRoster(live.length, nowMs);
    const previousSource = this.#sources.current;
    this.#sources.setLiveHosts(live);
    if (previousSource === this.#sources.current) {
      return [];
    }
    const fields = {source: this.#sources.current, role: this.#sources.role};
    return [{type: 'log', level: 'info', event: 'registry.source', fields}];
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    this.#startGate.recordStart(nowMs);
    const timer: CoreMessage = {type: 'timerWanted', timerId, atMs: nowMs + tickIntervalMs};
    if (!this.#hasData && !this.#startGate.isOpen(nowMs)) {
      return [timer];
    }
    return [
      timer,
      ...this.#pollSource(nowMs),
      ...this.#announceServersIfLapsesChanged(nowMs),
      ...this.#logFreshnessChange(nowMs),
    ];
  }

  /** True once the host received registry data. */
  get #hasData(): boolean {
    return Number.isFinite(this.#confirmedAtMs);
  }

  /** Queries the current source when a query is due, or watches the registry if that is the source. */
  #pollSource(nowMs: number): readonly CoreMessage[] {
    const {queryIntervalMs, replyTimeoutMs} = this.#options;
    const pending = this.#pendingQuery;
    if (pending !== undefined && nowMs - pending.queriedAtMs >= replyTimeoutMs) {
      this.#pendingQuery = undefined;
      return this.#onSourceFailed('no answer', nowMs);
    }
    if (!this.#sources.isFirst && nowMs >= this.#preferredSourceRetryAtMs) {
      this.#sources.reset();
      this.#preferredSourceRetryAtMs = nowMs + preferredSourceRetryMs;
    }
    if (this.#sources.isSelf) {
      return nowMs >= this.#nextQueryAtMs ? this.#setWatching(true) : [];
    }
    if (this.#pendingQuery !== undefined || nowMs < this.#nextQueryAtMs) {
      return this.#setWatching(false);
    }
    this.#nextQueryAtMs = nowMs + queryIntervalMs;
    return [...this.#setWatching(false), ...this.#sendQuery(nowMs)];
  }

  #sendQuery(nowMs: number): readonly CoreMessage[] {
    const nonce = this.#nextNonce;
    this.#nextNonce += 1;
    this.#pendingQuery = {nonce, queriedAtMs: nowMs};
    const documentVersion = this.#view.document?.version ?? 0;
    const message = {
      type: 'registryAsk' as const,
      nonce,
      documentVersion,
      revision: this.#view.revision,
    };
    return [{type: 'sendToPeer', toHostId: this.#sources.current, message}];
  }

  /** Starts or stops the watch of the registry. */
  #setWatching(isWanted: boolean): readonly CoreMessage[] {
    if (this.#isWatching === isWanted) {
      return [];
    }
    this.#isWatching = isWanted;
    return [{type: 'watchRegistry', isWanted, afterRevision: this.#view.revision}];
  }

  /**
   * Moves on to the next source, or pauses once every source has failed.
   *
   * Operators see the reason in the log: the reply timed out ('no answer'), the source has no registry data
   * ('knows nothing yet'), its data is too old ('old'), or its own source is failing ('fails itself').
   */
  #onSourceFailed(reason: string, nowMs: number): readonly CoreMessage[] {
    const failedSource = this.#sources.current;
    this.#isFailing = true;
    const hasTriedAll = this.#sources.advance() || this.#mustSkipRegistry();
    if (hasTriedAll) {
      this.#sources.reset();
      this.#hasPeerReplied = false;
    }
    this.#preferredSourceRetryAtMs = nowMs + preferredSourceRetryMs;
    const isFollower = this.#sources.role === 'follower';
    const retryDelayMs = isFollower ? followerRetryDelayMs : readerRetryDelayMs;
    this.#nextQueryAtMs = hasTriedAll ? nowMs + retryDelayMs : nowMs;
    const fields = {
      failed: failedSource,
      reason,
      next: this.#sources.current,
      ageMs: Math.round(nowMs - this.#confirmedAtMs),
      readByHostId: this.#readByHostId,
    };
    const log: CoreMessage = {type: 'log', level: 'warn', event: 'registry.sourceFailed', fields};
    const count: CoreMessage = {type: 'count', name: 'registry.sourceFailed', tags: {}};
    return [log, count, ...(hasTriedAll ? this.#setWatching(false) : this.#pollSource(nowMs))];
  }

  /**
   * True where the next source is the registry and this host leaves it to others: its peers replied that the
   * registry fails them, so that only some followers try it.
   */
  #mustSkipRegistry(): boolean {
    if (!this.#sources.isSelf || this.#sources.role !== 'follower' || !this.#hasPeerReplied) {
      return false;
    }
    return this.#options.random.nextInt(this.#startGate.liveCount) >= lastResortReaders;
  }

  #onUnreadable(reason: string, nowMs: number): readonly CoreMessage[] {
    return this.#sources.isSelf && this.#isWatching ? this.#onSourceFailed(reason, nowMs) : [];
  }

  #onRead(message: RegistryRead, nowMs: number): readonly CoreMessage[] {
    this.#isFailing = false;
    return this.#applyUpdate(
      {...message, readByHostId: this.#options.selfId},
      message.asOfMs,
      'registry',
      nowMs,
    );
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'registryAsk':
        return this.#replyTo(fromHostId, message, nowMs);
      case 'registryAnswer':
        return this.#onReply(fromHostId, message, nowMs);
      case 'registryChanged':
        if (fromHostId !== this.#sources.current) {
          return [];
        }
        this.#noticedRevision = message.revision;
        return this.#pendingQuery === undefined ? this.#queryNoticedChange(nowMs) : [];
      default:
        return [];
    }
  }

  /** Queries the source if it announced a revision that this host does not have. */
  #queryNoticedChange(nowMs: number): readonly CoreMessage[] {
    const needsQuery = this.#noticedRevision > this.#view.revision;
    this.#noticedRevision = 0;
    return needsQuery ? this.#sendQuery(nowMs) : [];
  }

  #replyTo(fromHostId: string, query: RegistryAsk, nowMs: number): readonly CoreMessage[] {
    this.#queriedAtMsByHost.set(fromHostId, nowMs);
    const {isWhole, changes} = this.#view.changesSince(query, nowMs);
    const ageMs = nowMs - this.#confirmedAtMs;
    const message: RegistryAnswer = {
      type: 'registryAnswer',
      nonce: query.nonce,
      ageMs: Number.isFinite(ageMs) ? Math.max(0, ageMs) : undefined,
      isFailing: this.#isFailing ? true : undefined,
      readByHostId: this.#readByHostId,
      isWhole,
      revision: this.#view.revision,
      documentVersion: this.#view.document?.version ?? 0,
      changes,
    };
    return [{type: 'sendToPeer', toHostId: fromHostId, message}];
  }

  #onReply(fromHostId: string, reply: RegistryAnswer, nowMs: number): readonly CoreMessage[] {
    const pending = this.#pendingQuery;
    if (pending?.nonce !== reply.nonce) {
      return [];
    }
    this.#pendingQuery = undefined;
    this.#hasPeerReplied = true;
    const {ageMs} = reply;
    if (ageMs === undefined) {
      return this.#onEmptyReply(nowMs);
    }
    const isBehind = reply.documentVersion < (this.#view.document?.version ?? 0);
    const messages = isBehind
      ? []
      : this.#applyUpdate(reply, pending.queriedAtMs - ageMs, fromHostId, nowMs);
    if (ageMs > this.#maxReplyAgeMs) {
      return [...messages, ...this.#onSourceFailed('old', nowMs)];
    }
    if (reply.isFailing === true) {
      return [...messages, ...this.#onSourceFailed('fails itself', nowMs)];
    }
    this.#isFailing = false;
    return [...messages, ...this.#queryNoticedChange(nowMs)];
  }

  /** Oldest registry data that this host accepts: that of a relay may be one query interval older. */
  get #maxReplyAgeMs(): number {
    const {maxReplyAgeMs, queryIntervalMs} = this.#options;
    return this.#sources.role === 'follower' ? maxReplyAgeMs + queryIntervalMs : maxReplyAgeMs;
  }

  /** Queries a peer without registry data again for a while after the start, then tries the next source. */
  #onEmptyReply(nowMs: number): readonly CoreMessage[] {
    if (this.#hasData || !this.#startGate.awaitsEmptyPeers(nowMs)) {
      return this.#onSourceFailed('knows nothing yet', nowMs);
    }
    this.#nextQueryAtMs = nowMs + emptyPeerRetryMs;
    return [];
  }

  /** Applies registry data to the view and announces to the other tasks what changed. */
  #applyUpdate(
    update: Pick<RegistryAnswer, 'isWhole' | 'revision' | 'changes' | 'readByHostId'>,
    asOfMs: number,
    from: string,
    nowMs: number,
  ): readonly CoreMessage[] {
    const revisionBefore = this.#view.revision;
    const haveServersChanged = this.#view.apply(update, nowMs);
    if (asOfMs >= this.#confirmedAtMs) {
      this.#confirmedAtMs = asOfMs;
      this.#readByHostId = update.readByHostId;
    }
    return [
      ...this.#announceDocument(from, nowMs),
      ...(haveServersChanged ? this.#announceServers(nowMs) : []),
      ...this.#announceFreshUntil(),
      ...(this.#view.revision > revisionBefore ? this.#notifyQueryingHosts(nowMs) : []),
    ];
  }

  #announceDocument(from: string, nowMs: number): readonly CoreMessage[] {
    const {document} = this.#view;
    if (document === undefined || document.version <= this.#announcedVersion) {
      return [];
    }
    const fields = {
      version: document.version,
      before: this.#announcedVersion,
      from,
      ageMs: Math.round(nowMs - this.#confirmedAtMs),
      routes: document.routes.length,
      customers: document.customers.length,
    };
    this.#announcedVersion = document.version;
    const manifest = {formatVersion: 1 as const, version: document.version, parts: []};
    return [
      {type: 'documentInForce', document, manifest},
      {type: 'log', level: 'info', event: 'configuration.inForce', fields},
      {type: 'count', name: 'configuration.inForce', tags: {}},
    ];
  }

  #announceServers(nowMs: number): readonly CoreMessage[] {
    const lapsed = this.#view.lapsedServers(nowMs);
    const lapsedServerIds = lapsed.map(({id}) => id);
    this.#announcedLapsedIds = lapsedServerIds.join(' ');
    const servers = [...this.#view.servers(nowMs), ...lapsed];
    const {outOfService} = this.#view;
    const draining = servers.filter(({state}) => state === 'draining').map(({id}) => id);
    const fields = {
      revision: this.#view.revision,
      servers: servers.length,
      draining,
      lapsed: lapsedServerIds,
      outOfService,
    };
    return [
      {type: 'registeredServersChanged', servers, lapsedServerIds, outOfService},
      {type: 'log', level: 'info', event: 'registry.servers', fields},
    ];
  }

  /** Announces the servers again if an entry lapsed or its grace time ended. */
  #announceServersIfLapsesChanged(nowMs: number): readonly CoreMessage[] {
    const lapsed = this.#view
      .lapsedServers(nowMs)
      .map(({id}) => id)
      .join(' ');
    return lapsed === this.#announcedLapsedIds ? [] : this.#announceServers(nowMs);
  }

  /** Announces until when this host may serve customers on the registry data it has. */
  #announceFreshUntil(): readonly CoreMessage[] {
    const {bounds, transitMarginMs} = this.#options;
    return [
      {type: 'freshUntil', untilMs: this.#confirmedAtMs + bounds.keyWithdrawalMs - transitMarginMs},
    ];
  }

  /** Logs when the registry data becomes too old to serve customers, and when it is fresh again. */
  #logFreshnessChange(nowMs: number): readonly CoreMessage[] {
    const {bounds, transitMarginMs} = this.#options;
    const ageMs = nowMs - this.#confirmedAtMs;
    const isFresh = ageMs <= bounds.keyWithdrawalMs - transitMarginMs;
    if (isFresh === this.#wasFresh) {
      return [];
    }
    this.#wasFresh = isFresh;
    const event = isFresh ? 'registry.fresh' : 'registry.stale';
    return [{type: 'log', level: 'warn', event, fields: {ageMs: Math.round(ageMs)}}];
  }

  /** Notifies the hosts that sent a query lately of the new revision. */
  #notifyQueryingHosts(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const message = {type: 'registryChanged' as const, revision: this.#view.revision};
    for (const [hostId, queriedAtMs] of this.#queriedAtMsByHost) {
      if (nowMs - queriedAtMs > queryMemoryMs) {
        this.#queriedAtMsByHost.delete(hostId);
        continue;
      }
      messages.push({type: 'sendToPeer', toHostId: hostId, message});
    }
    return messages;
  }
}
