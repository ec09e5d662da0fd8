import type {HedgingSettings} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RegistryRead, RosterChanged} from '../messages/hostMessages.ts';
import type {PeerMessage, RegistryAnswer, RegistryAsk} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {chooseNeighbours} from '../roster/chooseNeighbours.ts';
import {NoticedChanges, fetchTimeoutMs} from './noticedChanges.ts';
import {PendingQueries} from './pendingQueries.ts';
import {RegistryAnnouncer} from './registryAnnouncer.ts';
import {RegistrySources} from './registrySources.ts';
import {RegistrySubscribers} from './registrySubscribers.ts';
import {isAfter} from './registryPosition.ts';
import {RegistryView} from './registryView.ts';
import type {RegistryUpdate} from './registryView.ts';
import {StartGate} from './startGate.ts';
import {takesServerOut} from './takesServerOut.ts';

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
  /** The same for a relay, whose delay adds to that of the hosts of its data centre. Default: 400. */
  readonly relayQueryIntervalMs: number;
  /** Interval of the timer that sends queries and checks freshness, in ms. Default: 50. */
  readonly tickIntervalMs: number;
  /**
   * Delay before a host of another data centre that is no source is queried for a change that it announced, in ms, so
   * that most hosts get it within their data centre. Default: 100.
   */
  readonly remoteFetchDelayMs: number;
  /** Longest wait for a peer's reply, in ms. Default: 300, far above a round trip between data centres. */
  readonly replyTimeoutMs: number;
  /**
   * Age above which the registry data of a registry reader counts as too old and the next source is tried,
   * in ms. Default: 1,300, the length of a registry watch without changes and the time after which a reader
   * gives it up. A relay may be one query interval behind its reader.
   */
  readonly maxReplyAgeMs: number;
  /** True if the whole fleet starts for the first time, before callers connect. Default: false. */
  readonly isFirstStart: boolean;
  /** Part of the key withdrawal bound that is reserved for requests in transit, in ms. Default: 600. */
  readonly transitMarginMs: number;
  /**
   * Limits on hedged attempts of the backends whose document has none. Default: none, hedged attempts are charged
   * to the retry budget alone.
   */
  readonly hedging: HedgingSettings | undefined;
}

/** Defaults of the optional fields of `RegistryTaskOptions`. */
export const DEFAULT_REGISTRY_OPTIONS = {
  firstNonce: 1,
  queryIntervalMs: 700,
  relayQueryIntervalMs: 400,
  tickIntervalMs: 50,
  remoteFetchDelayMs: 100,
  replyTimeoutMs: 300,
  maxReplyAgeMs: 1_300,
  isFirstStart: false,
  transitMarginMs: 600,
  hedging: undefined,
} as const;

/** Where registry data comes from, and how recent it is. */
interface UpdateOrigin {
  /** Moment at which the registry surely held nothing newer, on the own clock, in ms. */
  readonly asOfMs: number;
  /** Host that sent the data, or `registry`. */
  readonly from: string;
  /** Host that read the data from the registry. */
  readonly readByHostId: string;
  /** Time for which the sender had had its newest data when it sent it, in ms; undefined for the registry. */
  readonly heldMs?: number | undefined;
  readonly nowMs: number;
}

type RequiredRegistryOptions = Pick<
  RegistryTaskOptions,
  'selfId' | 'dataCentre' | 'hash' | 'bounds' | 'random'
>;

const timerId = 'registry.tick';
/** Pause before a peer that has no registry data yet is queried again, in ms. */
const emptyPeerRetryMs = 40;
/** Delay after all sources failed before the first is tried again, in ms; readers find first that the registry is back. */
const retryDelayMsByRole = {reader: 400, relay: 1_000, follower: 1_500} as const;
/**
 * Followers of the whole fleet that read the registry in each round in which their peers report that the
 * registry fails them. The registry may serve some hosts while it turns others away, and counts every call.
 */
const lastResortReaders = 4;
/** Difference within which two hosts count as having had registry data for the same time, in ms. */
const sameAgeMs = 2_000;
/** Time for which another source is used before a preferred one may take its place again, in ms. */
const preferredSourceRetryMs = 3_000;

/**
 * Keeps the host's copy of the registry up to date. The registry is the store in which operators publish the
 * configuration document and the data centres out of service, and in which backend servers register themselves.
 *
 * Two hosts watch the registry for the fleet; every other host queries two peers in turn, its source and a
 * standby, and reads the registry only if its peers fail (see `RegistrySources`). A host that has new data notifies
 * the hosts that queried it, and its neighbours of changes that must be in force soon. Those fetch it at once,
 * whether or not it is the source that they use, so that a change reaches every host that is connected to one which has it.
 *
 * Registry data names the host that read it. A host whose own source fails does not count a peer as working
 * that only has data which this host read itself, and leaves a source that works only once a preferred one does:
 * otherwise hosts would take each other for working sources while none of them reads the registry.
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
  readonly #announcer: RegistryAnnouncer;
  readonly #sources: RegistrySources;
  readonly #subscribers = new RegistrySubscribers();
  readonly #queries: PendingQueries;
  readonly #startGate: StartGate;
  /** True if a peer replied since the sources were last tried from the first on. */
  #hasPeerReplied = false;
  /** Latest moment at which the registry surely held nothing newer than the view, in ms. */
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  /** Host that read the newest of the data from the registry; undefined before the first. */
  #readByHostId: string | undefined;
  readonly #noticedChanges = new NoticedChanges();
  /** Hosts that this host notifies of urgent changes although they do not query it. */
  #neighbourIds: readonly string[] = [];
  #localHostIds: ReadonlySet<string> = new Set();
  /** When the position of the view last moved on, on the own clock, in ms. */
  #positionSinceMs = 0;
  /** When this host first had registry data, on the own clock, in ms; undefined before. */
  #firstDataAtMs: number | undefined;
  /** True once an older process told everything that it knows, beyond what the registry holds. */
  #hasHeardOlderProcess = false;
  #nextQueryAtMs = 0;
  /** True if the standby is queried next, in place of the source in use. */
  #isStandbyNext = false;
  #preferredSourceRetryAtMs = 0;
  #isWatching = false;
  /** True from the failure of a source until registry data arrives from a working source. */
  #isFailing = false;
  /** True if the hosts that query this one were notified of that failure. */
  #hasReportedLoss = false;

  constructor(options: Partial<RegistryTaskOptions> & RequiredRegistryOptions) {
    this.#options = {...DEFAULT_REGISTRY_OPTIONS, ...options};
    const {bounds, transitMarginMs, hedging} = this.#options;
    this.#announcer = new RegistryAnnouncer({view: this.#view, bounds, transitMarginMs, hedging});
    this.#sources = new RegistrySources(options);
    this.#startGate = new StartGate(this.#options.isFirstStart);
    this.#queries = new PendingQueries(this.#options.firstNonce);
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
          ...this.#announcer.announceFreshUntil(this.#confirmedAtMs),
        ];
      }
      case 'statusWanted': {
        const value = {
          version: this.#view.document?.version ?? 0,
          ...this.#view.position,
          isDocumentUnreadable: this.#view.isDocumentUnreadable,
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
    this.#sources.setLiveHosts(live, nowMs);
    const {localIds, remoteIds} = chooseNeighbours(this.#options, live);
    this.#neighbourIds = [...localIds, ...remoteIds];
    const {dataCentre} = this.#options;
    this.#localHostIds = new Set(
      live.filter((host) => host.dataCentre === dataCentre).map(({hostId}) => hostId),
    );
    if (!this.#hasData) {
      this.#sources.useForFirstData(live);
    }
    const {current, role, isSelf, isRegistryPreferred} = this.#sources;
    if (previousSource === current) {
      return [];
    }
    const fields = {source: current, role};
    return [
      {type: 'log', level: 'info', event: 'registry.source', fields},
      ...(isSelf || isRegistryPreferred ? [] : this.#setWatching(false)),
    ];
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    this.#startGate.recordStart(nowMs);
    const timer: CoreMessage = {
      type: 'timerWanted',
      timerId,
      atMs: nowMs + this.#options.tickIntervalMs,
    };
    if (!this.#hasData && !this.#startGate.isOpen(nowMs)) {
      return [timer];
    }
    return [
      timer,
      ...this.#checkUnanswered(nowMs),
      ...this.#pollSource(nowMs),
      ...this.#fetchNoticed(nowMs),
      ...this.#announcer.announceServersIfExpired(nowMs),
      ...this.#announcer.logFreshnessChange(nowMs - this.#confirmedAtMs),
    ];
  }

  /** Time for which this host has had registry data, in ms; 0 before. */
  #knownForMs(nowMs: number): number {
    return nowMs - (this.#firstDataAtMs ?? nowMs);
  }

  /** True once the host received registry data. */
  get #hasData(): boolean {
    return Number.isFinite(this.#confirmedAtMs);
  }

  /** Queries the source in use or its standby when a query is due, and watches the registry where that is the source. */
  #pollSource(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const {current, isSelf} = this.#sources;
    const isDue = nowMs >= this.#nextQueryAtMs;
    if (isSelf) {
      messages.push(...(isDue ? this.#setWatching(true) : []));
    } else if (this.#hasData && this.#isRegistryRetryDue(nowMs)) {
      // The peer stays the source until the registry replies.
      messages.push(...this.#setWatching(true));
    }
    if (!isDue) {
      return messages;
    }
    const {queryIntervalMs, relayQueryIntervalMs} = this.#options;
    this.#nextQueryAtMs =
      nowMs + (this.#sources.role === 'relay' ? relayQueryIntervalMs : queryIntervalMs);
    // A host that reads the registry queries its standby each time: a new process also gets what others know that way.
    const target = isSelf || this.#isStandbyNext ? this.#sources.standby(nowMs) : current;
    this.#isStandbyNext = !this.#isStandbyNext;
    return target === undefined ? messages : [...messages, ...this.#sendQuery(target, nowMs)];
  }

  /** True where a host that should read the registry, but uses a peer, tries the registry again. */
  #isRegistryRetryDue(nowMs: number): boolean {
    return this.#sources.isRegistryPreferred && nowMs >= this.#preferredSourceRetryAtMs;
  }

  /**
   * Moves on to the next source if the one in use did not reply in time, and queries it at once if another host did not,
   * as both may have failed together.
   */
  #checkUnanswered(nowMs: number): readonly CoreMessage[] {
    const unanswered = this.#queries.endUnanswered(nowMs - this.#options.replyTimeoutMs);
    if (unanswered.length === 0) {
      return [];
    }
    const {current, isSelf} = this.#sources;
    const messages: CoreMessage[] = [];
    for (const {hostId, queriedAtMs} of unanswered) {
      this.#sources.recordSilence(hostId, nowMs);
      this.#noticedChanges.recordSilence(hostId, queriedAtMs);
      const fields = {hostId, isSource: hostId === current};
      messages.push({type: 'log', level: 'info', event: 'registry.unanswered', fields});
    }
    if (unanswered.some(({hostId}) => hostId === current)) {
      return [...messages, ...this.#onSourceFailed('no answer', nowMs), ...this.#queryAll(nowMs)];
    }
    return isSelf ? messages : [...messages, ...this.#sendQuery(current, nowMs)];
  }

  /**
   * Queries every source that may reply, and the neighbours, which then notify this host of what is new: the silence of
   * several sources is not waited for one after the other.
   */
  #queryAll(nowMs: number): readonly CoreMessage[] {
    const hostIds = new Set([...this.#sources.usableHostIds(nowMs), ...this.#neighbourIds]);
    return [...hostIds].flatMap((hostId) => this.#sendQuery(hostId, nowMs));
  }

  /** Sends a query to a host unless one is under way. */
  #sendQuery(toHostId: string, nowMs: number): readonly CoreMessage[] {
    return this.#queries.isPending(toHostId) ? [] : this.#sendAnotherQuery(toHostId, nowMs);
  }

  #sendAnotherQuery(toHostId: string, nowMs: number): readonly CoreMessage[] {
    const message = {
      type: 'registryAsk' as const,
      nonce: this.#queries.start(toHostId, nowMs),
      documentVersion: this.#view.document?.version ?? 0,
      ...this.#view.position,
      knownForMs: this.#hasHeardOlderProcess ? undefined : this.#knownForMs(nowMs),
    };
    return [{type: 'sendToPeer', toHostId, message}];
  }

  /** Starts or stops the watch of the registry. */
  #setWatching(isWanted: boolean): readonly CoreMessage[] {
    if (this.#isWatching === isWanted) {
      return [];
    }
    this.#isWatching = isWanted;
    const {epoch, revision} = this.#view.position;
    return [{type: 'watchRegistry', isWanted, afterEpoch: epoch, afterRevision: revision}];
  }

  /**
   * Moves on to the next source, or pauses once every source has failed.
   *
   * Operators see the reason in the log: the reply timed out ('no answer'), the source has no registry data
   * ('knows nothing yet'), its data is too old ('old'), its own source is failing ('fails itself'), it announced that
   * it has no source any more ('lost the registry'), it only has data of this host ('has only what this host read'), or
   * of the registry before it returned from a copy ('has not seen the registry return').
   */
  #onSourceFailed(reason: string, nowMs: number): readonly CoreMessage[] {
    const failedSource = this.#sources.current;
    this.#isFailing = true;
    const hasTriedAll = this.#sources.advance(nowMs) || this.#mustSkipRegistry();
    if (hasTriedAll) {
      this.#sources.reset();
      this.#hasPeerReplied = false;
    }
    this.#preferredSourceRetryAtMs = nowMs + preferredSourceRetryMs;
    const retryDelayMs = hasTriedAll ? retryDelayMsByRole[this.#sources.role] : 0;
    this.#nextQueryAtMs = nowMs + retryDelayMs;
    this.#isStandbyNext = false;
    const fields = {
      failed: failedSource,
      reason,
      next: this.#sources.current,
      ageMs: Math.round(nowMs - this.#confirmedAtMs),
      readByHostId: this.#readByHostId,
    };
    const log: CoreMessage = {type: 'log', level: 'warn', event: 'registry.sourceFailed', fields};
    const count: CoreMessage = {type: 'count', name: 'registry.sourceFailed', tags: {}};
    // A relay between two sources is not reported: all that query it would turn to the readers.
    const isLost = hasTriedAll || failedSource === this.#options.selfId;
    const isNewlyLost = isLost && !this.#hasReportedLoss;
    this.#hasReportedLoss ||= isLost;
    return [
      log,
      count,
      ...(isNewlyLost ? this.#subscribers.notify({type: 'registryLost'}, nowMs) : []),
      ...(hasTriedAll || !this.#sources.isSelf ? this.#setWatching(false) : []),
      ...(hasTriedAll ? [] : this.#pollSource(nowMs)),
    ];
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
    if (!this.#isWatching) {
      return [];
    }
    if (this.#sources.isSelf) {
      return this.#onSourceFailed(reason, nowMs);
    }
    this.#preferredSourceRetryAtMs = nowMs + preferredSourceRetryMs;
    return this.#setWatching(false);
  }

  #onRead(message: RegistryRead, nowMs: number): readonly CoreMessage[] {
    this.#recordWorkingSource();
    const isBack = this.#sources.isRegistryPreferred && this.#isWatching;
    const {selfId} = this.#options;
    return [
      ...(isBack ? this.#useSource(selfId) : []),
      ...this.#applyUpdate(message, {
        asOfMs: message.asOfMs,
        from: 'registry',
        readByHostId: selfId,
        nowMs,
      }),
    ];
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'registryAsk':
        return this.#replyTo(fromHostId, message, nowMs);
      case 'registryAnswer':
        return this.#onReply(fromHostId, message, nowMs);
      case 'registryChanged': {
        this.#noticedChanges.record(
          fromHostId,
          message,
          nowMs,
          this.#fetchDelayMs(fromHostId, nowMs),
        );
        return this.#fetchNoticed(nowMs);
      }
      case 'registryLost':
        return fromHostId === this.#sources.current
          ? this.#onSourceFailed('lost the registry', nowMs)
          : [];
      default:
        return [];
    }
  }

  /** Time for which a host that announces a change is not queried for it, in ms. */
  #fetchDelayMs(hostId: string, nowMs: number): number {
    if (this.#queries.isPending(hostId)) {
      // The reply ends the wait; it may be lost.
      return fetchTimeoutMs;
    }
    const isRegular = hostId === this.#sources.current || hostId === this.#sources.standby(nowMs);
    return isRegular || this.#localHostIds.has(hostId) ? 0 : this.#options.remoteFetchDelayMs;
  }

  /** Queries a host that announced changes which this host does not have. */
  #fetchNoticed(nowMs: number): readonly CoreMessage[] {
    const hostId = this.#noticedChanges.next(this.#view.position, nowMs);
    return hostId === undefined ? [] : this.#sendAnotherQuery(hostId, nowMs);
  }

  #replyTo(fromHostId: string, query: RegistryAsk, nowMs: number): readonly CoreMessage[] {
    this.#subscribers.recordQuery(fromHostId, nowMs);
    const isYounger =
      query.knownForMs !== undefined && query.knownForMs + sameAgeMs < this.#knownForMs(nowMs);
    const known = {...query, needsWhole: isYounger};
    const {isWhole, changes} = this.#view.changesSince(known, nowMs);
    const ageMs = nowMs - this.#confirmedAtMs;
    const message: RegistryAnswer = {
      type: 'registryAnswer',
      nonce: query.nonce,
      ageMs: Number.isFinite(ageMs) ? Math.max(0, ageMs) : undefined,
      isFailing: this.#isFailing ? true : undefined,
      readByHostId: this.#readByHostId,
      isWhole,
      isFromOlderProcess: isYounger && isWhole ? true : undefined,
      heldMs: Math.max(0, Math.round(nowMs - this.#positionSinceMs)),
      ...this.#view.position,
      documentVersion: this.#view.document?.version ?? 0,
      isDocumentUnreadable: this.#view.isDocumentUnreadable ? true : undefined,
      changes,
    };
    const reply: CoreMessage = {type: 'sendToPeer', toHostId: fromHostId, message};
    return this.#isAheadOfThisHost(query)
      ? [reply, ...this.#sendQuery(fromHostId, nowMs)]
      : [reply];
  }

  /** True if a host that queries this one has a newer document, or knows of a later epoch of the registry. */
  #isAheadOfThisHost({documentVersion, epoch}: RegistryAsk): boolean {
    const ownVersion = this.#view.document?.version ?? 0;
    return documentVersion > ownVersion || epoch > this.#view.position.epoch;
  }

  #onReply(fromHostId: string, reply: RegistryAnswer, nowMs: number): readonly CoreMessage[] {
    const queriedAtMs = this.#queries.end(reply.nonce);
    if (queriedAtMs === undefined) {
      return [];
    }
    this.#hasPeerReplied = true;
    this.#sources.recordReply(fromHostId);
    this.#noticedChanges.recordReply(fromHostId, queriedAtMs);
    const isInUse = fromHostId === this.#sources.current;
    const {ageMs} = reply;
    if (ageMs === undefined) {
      return isInUse ? this.#onEmptyReply(nowMs) : [];
    }
    if (reply.isFromOlderProcess === true && !isAfter(this.#view.position, reply)) {
      this.#hasHeardOlderProcess = true;
    }
    const isBehind = reply.documentVersion < (this.#view.document?.version ?? 0);
    const readByHostId = reply.readByHostId ?? fromHostId;
    const {isDocumentUnreadable = false} = reply;
    const update = {...reply, isDocumentUnreadable};
    const applied = this.#applyUpdate(update, {
      // A host with an older document cannot tell that nothing newer was published.
      asOfMs: isBehind ? Number.NEGATIVE_INFINITY : queriedAtMs - ageMs,
      from: fromHostId,
      readByHostId,
      heldMs: reply.heldMs,
      nowMs,
    });
    const messages = [...applied, ...this.#fetchNoticed(nowMs)];
    const reason = this.#reasonNotToUse(reply, readByHostId);
    if (reason !== undefined) {
      return isInUse ? [...messages, ...this.#onSourceFailed(reason, nowMs)] : messages;
    }
    if (isInUse) {
      this.#recordWorkingSource();
      return messages;
    }
    return this.#mayUse(fromHostId, readByHostId, nowMs)
      ? [...messages, ...this.#useSource(fromHostId)]
      : messages;
  }

  /** Why a reply shows that its sender is no working source; undefined if it is one. */
  #reasonNotToUse(
    {ageMs = 0, isFailing, epoch}: RegistryAnswer,
    readByHostId: string,
  ): string | undefined {
    if (epoch < this.#view.position.epoch) {
      return 'has not seen the registry return';
    }
    if (ageMs > this.#maxReplyAgeMs) {
      return 'old';
    }
    if (isFailing === true) {
      return 'fails itself';
    }
    return readByHostId === this.#options.selfId ? 'has only what this host read' : undefined;
  }

  /** True if a peer that is a working source takes the place of the source in use. */
  #mayUse(hostId: string, readByHostId: string, nowMs: number): boolean {
    // In place of a peer that was not shown to work, any working source will do. A relay would rather read the registry
    // than take the data of another relay, which may have lost the same reader.
    if (this.#isFailing && !this.#sources.isSelf && this.#sources.isPreferredToRegistry(hostId)) {
      return true;
    }
    if (!this.#sources.isPreferred(hostId) || nowMs < this.#preferredSourceRetryAtMs) {
      return false;
    }
    // Two hosts that read the registry must not both stop because of each other's data.
    return !this.#sources.isSelf || this.#sources.isPreferredToRegistry(readByHostId);
  }

  #recordWorkingSource(): void {
    this.#isFailing = false;
    this.#hasReportedLoss = false;
  }

  #useSource(hostId: string): readonly CoreMessage[] {
    if (hostId === this.#sources.current) {
      return [];
    }
    this.#recordWorkingSource();
    this.#sources.use(hostId);
    const fields = {source: hostId, role: this.#sources.role};
    return [
      {type: 'log', level: 'info', event: 'registry.source', fields},
      ...(this.#sources.isSelf ? [] : this.#setWatching(false)),
    ];
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
    update: RegistryUpdate,
    {asOfMs, from, readByHostId, heldMs, nowMs}: UpdateOrigin,
  ): readonly CoreMessage[] {
    const positionBefore = this.#view.position;
    const versionBefore = this.#view.document?.version;
    const outOfServiceBefore = this.#view.outOfService.join(' ');
    const haveServersChanged = this.#view.apply(update, nowMs);
    const hasMovedOn = isAfter(this.#view.position, positionBefore);
    const isUrgent =
      this.#view.document?.version !== versionBefore ||
      this.#view.outOfService.join(' ') !== outOfServiceBefore ||
      (haveServersChanged && update.changes.some(takesServerOut));
    if (hasMovedOn) {
      this.#positionSinceMs = nowMs;
    }
    this.#firstDataAtMs ??= nowMs;
    // A document that cannot be read may withdraw keys: what is known does not become fresher.
    if (asOfMs >= this.#confirmedAtMs && !this.#view.isDocumentUnreadable) {
      this.#confirmedAtMs = asOfMs;
      this.#readByHostId = readByHostId;
    }
    return [
      ...this.#announcer.announceDocument({
        from,
        readByHostId,
        ageMs: nowMs - this.#confirmedAtMs,
        heldMs,
      }),
      ...(haveServersChanged ? this.#announcer.announceServers(nowMs) : []),
      ...this.#announcer.announceFreshUntil(this.#confirmedAtMs),
      ...(hasMovedOn ? this.#notifyOthers(isUrgent, nowMs) : []),
    ];
  }

  /** Notifies the hosts that sent a query lately of the new revision, and the neighbours of an urgent one. */
  #notifyOthers(isUrgent: boolean, nowMs: number): readonly CoreMessage[] {
    const message = {type: 'registryChanged' as const, ...this.#view.position};
    return this.#subscribers.notify(message, nowMs, isUrgent ? this.#neighbourIds : []);
  }
}
