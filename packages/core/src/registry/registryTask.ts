import type {FleetBounds} from '../fleet/fleetBounds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RegistryRead, RosterChanged} from '../messages/hostMessages.ts';
import type {PeerMessage, RegistryAnswer, RegistryAsk} from '../messages/peerMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {RegistrySources} from './registrySources.ts';
import {RegistryView} from './registryView.ts';

export interface RegistryTaskOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
  readonly bounds: FleetBounds;
  readonly firstNonce: number;
  /** Interval between asks of a peer, in ms. Default: 700. */
  readonly askIntervalMs: number;
  /** Longest wait for a peer's answer, in ms. Default: 300, far above a round trip between data centres. */
  readonly answerTimeoutMs: number;
  /**
   * Age from which a peer's word counts as old and the next source is tried, in ms. Default: 1,500, a watch
   * of the registry without news and some way.
   */
  readonly oldAfterMs: number;
  /** True where the whole fleet starts for the first time, before callers come. Default: false. */
  readonly isFirstStart: boolean;
  /** Part of the key withdrawal bound kept for the way of a request, in ms. Default: 600. */
  readonly marginMs: number;
}

export const DEFAULT_REGISTRY_OPTIONS = {
  firstNonce: 1,
  askIntervalMs: 700,
  answerTimeoutMs: 300,
  oldAfterMs: 1_500,
  isFirstStart: false,
  marginMs: 600,
} as const;

type RequiredRegistryOptions = Pick<
  RegistryTaskOptions,
  'selfId' | 'dataCentre' | 'hash' | 'bounds'
>;

const timerId = 'registry.tick';
const tickMs = 100;
/** Wait for the first news of other hosts before the registry is read, in ms. */
const firstContactMs = 1_200;
/** Wait after the first news of other hosts, for those who read for others and for the rest, in ms. */
const readerStartMs = 300;
const followerStartMs = 700;
/** Wait after every source failed, in ms: for those who read for others, and for the rest. */
const readerPauseMs = 400;
const followerPauseMs = 1_500;
/** Time for which a source other than the first is kept before the first is tried again, in ms. */
const retryFirstMs = 3_000;
/** Askers of the last seconds are told of changes, in ms. */
const askerMemoryMs = 3_000;

/**
 * Knows what operators and backend servers publish, how old that is, and from whom to learn what is new.
 *
 * A host may act for customers for as long as some word of the registry is fresh, be it its own or a
 * peer's. Ages are counted from the moment of the ask on the own clock, so that a message that lay in a
 * buffer while the host was frozen does not look young.
 */
export class RegistryTask implements CoreTask {
  readonly accepts = [
    'registryRead',
    'registryUnreadable',
    'rosterChanged',
    'peerMessageReceived',
    'timeLost',
    'timerFired',
    'statusWanted',
  ] as const;

  readonly #options: RegistryTaskOptions;
  readonly #view = new RegistryView();
  readonly #sources: RegistrySources;
  readonly #askers = new Map<string, number>();
  #startedAtMs: number | undefined;
  #firstContactAtMs: number | undefined;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #pendingAsk: {readonly nonce: number; readonly askedAtMs: number} | undefined;
  #nextAskAtMs = 0;
  #firstRetryAtMs = 0;
  #isWatching = false;
  #nextNonce: number;
  #toldVersion = 0;
  #toldLapsed = '';
  #wasFresh = false;
  /** True from the failure of a source until some word of the registry arrives. */
  #isFailing = false;

  constructor(options: Partial<RegistryTaskOptions> & RequiredRegistryOptions) {
    this.#options = {...DEFAULT_REGISTRY_OPTIONS, ...options};
    this.#sources = new RegistrySources(options);
    this.#nextNonce = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'timerFired':
        return message.timerId === timerId || message.timerId === 'start'
          ? this.#onTick(nowMs)
          : [];
      case 'rosterChanged':
        return this.#onRoster(message, nowMs);
      case 'registryRead':
        return this.#onRead(message, nowMs);
      case 'registryUnreadable':
        return this.#onUnreadable(message.reason, nowMs);
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'timeLost': {
        this.#confirmedAtMs -= message.lostMs;
        const fields = {lostMs: Math.round(message.lostMs)};
        return [{type: 'log', level: 'warn', event: 'host.timeLost', fields}, ...this.#tellFresh()];
      }
      case 'statusWanted': {
        const value = {
          version: this.#view.document?.version ?? 0,
          revision: this.#view.revision,
          ageMs: Math.round(nowMs - this.#confirmedAtMs),
          source: this.#sources.current,
          isReader: this.#sources.isReader,
        };
        return [{type: 'statusTold', askId: message.askId, section: 'registry', value}];
      }
      default:
        return [];
    }
  }

  #onRoster({live}: RosterChanged, nowMs: number): readonly CoreMessage[] {
    if (live.length > 1) {
      this.#firstContactAtMs ??= nowMs;
    }
    const before = this.#sources.current;
    this.#sources.place(live);
    if (before === this.#sources.current) {
      return [];
    }
    const fields = {source: this.#sources.current, isReader: this.#sources.isReader};
    return [{type: 'log', level: 'info', event: 'registry.source', fields}];
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    this.#startedAtMs ??= nowMs;
    const timer: CoreMessage = {type: 'timerWanted', timerId, atMs: nowMs + tickMs};
    if (!this.#mayStart(nowMs)) {
      return [timer];
    }
    return [
      timer,
      ...this.#pursue(nowMs),
      ...this.#tellServersWhenLapsed(nowMs),
      ...this.#tellStale(nowMs),
    ];
  }

  /**
   * A fleet that starts before its callers first finds itself, so that it does not read as one; callers wait
   * for a process that starts later, which reads at once.
   */
  #mayStart(nowMs: number): boolean {
    const {isFirstStart} = this.#options;
    if (!isFirstStart || this.#confirmedAtMs > 0 || this.#startedAtMs === undefined) {
      return true;
    }
    if (this.#firstContactAtMs === undefined) {
      return nowMs - this.#startedAtMs >= firstContactMs;
    }
    const waitMs = this.#sources.isReader ? readerStartMs : followerStartMs;
    return nowMs - this.#firstContactAtMs >= waitMs;
  }

  #pursue(nowMs: number): readonly CoreMessage[] {
    const {askIntervalMs, answerTimeoutMs} = this.#options;
    const pending = this.#pendingAsk;
    if (pending !== undefined && nowMs - pending.askedAtMs >= answerTimeoutMs) {
      this.#pendingAsk = undefined;
      return this.#onSourceFailed('no answer', nowMs);
    }
    if (!this.#sources.isFirst && nowMs >= this.#firstRetryAtMs) {
      this.#sources.reset();
      this.#firstRetryAtMs = nowMs + retryFirstMs;
    }
    if (this.#sources.isSelf) {
      return nowMs >= this.#nextAskAtMs ? this.#watch(true) : [];
    }
    if (this.#pendingAsk !== undefined || nowMs < this.#nextAskAtMs) {
      return this.#watch(false);
    }
    this.#nextAskAtMs = nowMs + askIntervalMs;
    return [...this.#watch(false), ...this.#ask(nowMs)];
  }

  #ask(nowMs: number): readonly CoreMessage[] {
    const nonce = this.#nextNonce;
    this.#nextNonce += 1;
    this.#pendingAsk = {nonce, askedAtMs: nowMs};
    const documentVersion = this.#view.document?.version ?? 0;
    const message = {
      type: 'registryAsk' as const,
      nonce,
      documentVersion,
      revision: this.#view.revision,
    };
    return [{type: 'sendToPeer', toHostId: this.#sources.current, message}];
  }

  #watch(isWanted: boolean): readonly CoreMessage[] {
    if (this.#isWatching === isWanted) {
      return [];
    }
    this.#isWatching = isWanted;
    return [{type: 'watchRegistry', isWanted, afterRevision: this.#view.revision}];
  }

  #onSourceFailed(reason: string, nowMs: number): readonly CoreMessage[] {
    const failed = this.#sources.current;
    this.#isFailing = true;
    const hasTriedAll = this.#sources.advance();
    this.#firstRetryAtMs = nowMs + retryFirstMs;
    const pauseMs = this.#sources.isReader ? readerPauseMs : followerPauseMs;
    this.#nextAskAtMs = hasTriedAll ? nowMs + pauseMs : nowMs;
    const fields = {
      failed,
      reason,
      next: this.#sources.current,
      ageMs: Math.round(nowMs - this.#confirmedAtMs),
    };
    const log: CoreMessage = {type: 'log', level: 'warn', event: 'registry.sourceFailed', fields};
    const count: CoreMessage = {type: 'count', name: 'registry.sourceFailed', tags: {}};
    return [log, count, ...(hasTriedAll ? this.#watch(false) : this.#pursue(nowMs))];
  }

  #onUnreadable(reason: string, nowMs: number): readonly CoreMessage[] {
    return this.#sources.isSelf && this.#isWatching ? this.#onSourceFailed(reason, nowMs) : [];
  }

  #onRead(message: RegistryRead, nowMs: number): readonly CoreMessage[] {
    this.#isFailing = false;
    return this.#take(message, message.asOfMs, 'registry', nowMs);
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'registryAsk':
        return this.#answer(fromHostId, message, nowMs);
      case 'registryAnswer':
        return this.#onAnswer(fromHostId, message, nowMs);
      case 'registryChanged': {
        const isNews = message.revision > this.#view.revision && this.#pendingAsk === undefined;
        return isNews && fromHostId === this.#sources.current ? this.#ask(nowMs) : [];
      }
      default:
        return [];
    }
  }

  #answer(fromHostId: string, ask: RegistryAsk, nowMs: number): readonly CoreMessage[] {
    this.#askers.set(fromHostId, nowMs);
    const {isWhole, changes} = this.#view.changesSince(ask, nowMs);
    const ageMs = nowMs - this.#confirmedAtMs;
    const message: RegistryAnswer = {
      type: 'registryAnswer',
      nonce: ask.nonce,
      ageMs: Number.isFinite(ageMs) ? Math.max(0, ageMs) : undefined,
      isFailing: this.#isFailing ? true : undefined,
      isWhole,
      revision: this.#view.revision,
      documentVersion: this.#view.document?.version ?? 0,
      changes,
    };
    return [{type: 'sendToPeer', toHostId: fromHostId, message}];
  }

  #onAnswer(fromHostId: string, answer: RegistryAnswer, nowMs: number): readonly CoreMessage[] {
    const pending = this.#pendingAsk;
    if (pending?.nonce !== answer.nonce) {
      return [];
    }
    this.#pendingAsk = undefined;
    const {ageMs} = answer;
    if (ageMs === undefined) {
      return this.#onSourceFailed('knows nothing yet', nowMs);
    }
    const isBehind = answer.documentVersion < (this.#view.document?.version ?? 0);
    const messages = isBehind
      ? []
      : this.#take(answer, pending.askedAtMs - ageMs, fromHostId, nowMs);
    if (ageMs > this.#options.oldAfterMs) {
      return [...messages, ...this.#onSourceFailed('old', nowMs)];
    }
    if (answer.isFailing === true) {
      return [...messages, ...this.#onSourceFailed('fails itself', nowMs)];
    }
    this.#isFailing = false;
    return messages;
  }

  #take(
    read: Pick<RegistryRead, 'isWhole' | 'revision' | 'changes'>,
    asOfMs: number,
    from: string,
    nowMs: number,
  ): readonly CoreMessage[] {
    const revisionBefore = this.#view.revision;
    const haveServersChanged = this.#view.apply(read, nowMs);
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, asOfMs);
    return [
      ...this.#tellDocument(from, nowMs),
      ...(haveServersChanged ? this.#tellServers(nowMs) : []),
      ...this.#tellFresh(),
      ...(this.#view.revision > revisionBefore ? this.#tellAskers(nowMs) : []),
    ];
  }

  #tellDocument(from: string, nowMs: number): readonly CoreMessage[] {
    const {document} = this.#view;
    if (document === undefined || document.version <= this.#toldVersion) {
      return [];
    }
    const fields = {
      version: document.version,
      before: this.#toldVersion,
      from,
      ageMs: Math.round(nowMs - this.#confirmedAtMs),
      routes: document.routes.length,
      customers: document.customers.length,
    };
    this.#toldVersion = document.version;
    const manifest = {formatVersion: 1 as const, version: document.version, parts: []};
    return [
      {type: 'documentInForce', document, manifest},
      {type: 'log', level: 'info', event: 'configuration.inForce', fields},
      {type: 'count', name: 'configuration.inForce', tags: {}},
    ];
  }

  #tellServers(nowMs: number): readonly CoreMessage[] {
    const lapsed = this.#view.lapsed(nowMs);
    const lapsedServerIds = lapsed.map(({id}) => id);
    this.#toldLapsed = lapsedServerIds.join(' ');
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
      {type: 'serversKnown', servers, lapsedServerIds, outOfService},
      {type: 'log', level: 'info', event: 'registry.servers', fields},
    ];
  }

  #tellServersWhenLapsed(nowMs: number): readonly CoreMessage[] {
    const lapsed = this.#view
      .lapsed(nowMs)
      .map(({id}) => id)
      .join(' ');
    return lapsed === this.#toldLapsed ? [] : this.#tellServers(nowMs);
  }

  #tellFresh(): readonly CoreMessage[] {
    const {bounds, marginMs} = this.#options;
    return [{type: 'freshUntil', untilMs: this.#confirmedAtMs + bounds.keyWithdrawalMs - marginMs}];
  }

  #tellStale(nowMs: number): readonly CoreMessage[] {
    const {bounds, marginMs} = this.#options;
    const ageMs = nowMs - this.#confirmedAtMs;
    const isFresh = ageMs <= bounds.keyWithdrawalMs - marginMs;
    if (isFresh === this.#wasFresh) {
      return [];
    }
    this.#wasFresh = isFresh;
    const event = isFresh ? 'registry.fresh' : 'registry.stale';
    return [{type: 'log', level: 'warn', event, fields: {ageMs: Math.round(ageMs)}}];
  }

  #tellAskers(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const message = {type: 'registryChanged' as const, revision: this.#view.revision};
    for (const [hostId, askedAtMs] of this.#askers) {
      if (nowMs - askedAtMs > askerMemoryMs) {
        this.#askers.delete(hostId);
        continue;
      }
      messages.push({type: 'sendToPeer', toHostId: hostId, message});
    }
    return messages;
  }
}
