import type {HostList} from '@godwitspring/document';
import {HomePlacement} from '../allowance/homePlacement.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';

export interface CrashTaskOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  readonly bucketCount: number;
  /** Servers that a request may crash before its repeats are refused. Default: 2. */
  readonly maxCrashes: number;
  /** Time for which crashes are counted and repeats refused, in ms. Default: 600,000. */
  readonly rememberMs: number;
  /** Requests watched at once; the oldest goes first. Default: 2,000. */
  readonly maxWatched: number;
  /** Suspicions told to the fleet in a second; more at once are no fault of one request. Default: 20. */
  readonly maxToldPerSecond: number;
}

export const DEFAULT_CRASH_OPTIONS = {
  bucketCount: 6,
  maxCrashes: 2,
  rememberMs: 600_000,
  maxWatched: 2_000,
  maxToldPerSecond: 20,
} as const;

const secondMs = 1_000;

interface RequestName {
  readonly customerId: string;
  readonly routeId: string;
  readonly requestDigest: string;
}

interface Watched {
  readonly serverIds: Set<string>;
  /** Moment at which the last crash was told, in ms. */
  lastCrashAtMs: number;
}

function nameOf({customerId, routeId, requestDigest}: RequestName): RequestName {
  return {customerId, routeId, requestDigest};
}

function keyOf({customerId, routeId, requestDigest}: RequestName): string {
  return `${customerId}|${routeId}|${requestDigest}`;
}

/**
 * Counts at a request's home how many servers it crashed, and has every host refuse its repeats.
 *
 * Crashes count one after another only: an attempt that ran already when the last crash was told says
 * nothing more, as when a data centre dies under many equal requests. A good answer to the request from
 * any host clears it.
 */
export class CrashTask implements CoreTask {
  readonly accepts = [
    'crashNoted',
    'crashDisproved',
    'membershipChanged',
    'peerMessageReceived',
  ] as const;

  readonly #options: CrashTaskOptions;
  readonly #placement: HomePlacement;
  readonly #watched = new Map<string, Watched>();
  #list: HostList | undefined;
  #secondStartedAtMs = 0;
  #toldThisSecond = 0;

  constructor(options: Partial<CrashTaskOptions> & Pick<CrashTaskOptions, 'selfId' | 'hash'>) {
    this.#options = {...DEFAULT_CRASH_OPTIONS, ...options};
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'membershipChanged':
        this.#list = message.list;
        this.#placement.place(message.reachableHostIds);
        return [];
      case 'crashNoted': {
        const {serverId, ranForMs} = message;
        return this.#toHome(message, {type: 'crashSeen', ...nameOf(message), serverId, ranForMs});
      }
      case 'crashDisproved':
        return this.#toHome(message, {type: 'requestCleared', ...nameOf(message)});
      case 'peerMessageReceived':
        return this.#onPeer(message.message, nowMs);
      default:
        return [];
    }
  }

  #toHome({customerId}: RequestName, message: PeerMessage): readonly CoreMessage[] {
    const toHostId = this.#placement.homeOf(this.#placement.bucketOf(customerId));
    return toHostId === undefined ? [] : [{type: 'sendToPeer', toHostId, message}];
  }

  #onPeer(message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'crashSeen':
        return this.#onSeen(message, message.serverId, message.ranForMs, nowMs);
      case 'requestCleared':
        this.#watched.delete(keyOf(message));
        return [];
      case 'requestSuspected':
        return [{type: 'answerWatched', ...nameOf(message)}];
      case 'requestBlocked': {
        const untilMs = nowMs + this.#options.rememberMs;
        return [{type: 'repeatsBlocked', ...nameOf(message), untilMs}];
      }
      default:
        return [];
    }
  }

  #onSeen(
    name: RequestName,
    serverId: string,
    ranForMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const key = keyOf(name);
    const known = this.#watched.get(key);
    const isOld = known === undefined || nowMs - known.lastCrashAtMs >= this.#options.rememberMs;
    if (isOld) {
      this.#watch(key, serverId, nowMs);
      return this.#tellAll({type: 'requestSuspected', ...nameOf(name)}, nowMs);
    }
    if (nowMs - ranForMs < known.lastCrashAtMs) {
      return [];
    }
    known.serverIds.add(serverId);
    known.lastCrashAtMs = nowMs;
    const hasCrashedMany = known.serverIds.size >= this.#options.maxCrashes;
    return hasCrashedMany ? this.#tellAll({type: 'requestBlocked', ...nameOf(name)}, nowMs) : [];
  }

  #watch(key: string, serverId: string, nowMs: number): void {
    this.#watched.delete(key);
    this.#watched.set(key, {serverIds: new Set([serverId]), lastCrashAtMs: nowMs});
    for (const oldest of this.#watched.keys()) {
      if (this.#watched.size <= this.#options.maxWatched) {
        return;
      }
      this.#watched.delete(oldest);
    }
  }

  #tellAll(message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (nowMs - this.#secondStartedAtMs >= secondMs) {
      this.#secondStartedAtMs = nowMs;
      this.#toldThisSecond = 0;
    }
    this.#toldThisSecond += 1;
    if (this.#toldThisSecond > this.#options.maxToldPerSecond) {
      return [{type: 'count', name: 'crash.notTold', tags: {}}];
    }
    const hosts = this.#list?.hosts ?? [];
    return hosts.map(({id: toHostId}): CoreMessage => ({type: 'sendToPeer', toHostId, message}));
  }
}
