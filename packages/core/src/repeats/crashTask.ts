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
}

export const DEFAULT_CRASH_OPTIONS = {
  bucketCount: 6,
  maxCrashes: 2,
  rememberMs: 600_000,
  maxWatched: 2_000,
} as const;

interface RequestName {
  readonly customerId: string;
  readonly routeId: string;
  readonly requestDigest: string;
}

interface Watched {
  readonly serverIds: Set<string>;
  readonly sinceMs: number;
}

/** Counts at a request's home how many servers it crashed, and has every host refuse its repeats. */
export class CrashTask implements CoreTask {
  readonly accepts = ['crashNoted', 'membershipChanged', 'peerMessageReceived'] as const;

  readonly #options: CrashTaskOptions;
  readonly #placement: HomePlacement;
  readonly #watched = new Map<string, Watched>();
  #list: HostList | undefined;

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
      case 'crashNoted':
        return this.#toHome(message);
      case 'peerMessageReceived':
        return this.#onPeer(message.message, nowMs);
      default:
        return [];
    }
  }

  #toHome({
    customerId,
    routeId,
    requestDigest,
    serverId,
  }: RequestName & {serverId: string}): readonly CoreMessage[] {
    const toHostId = this.#placement.homeOf(this.#placement.bucketOf(customerId));
    if (toHostId === undefined) {
      return [];
    }
    const message: PeerMessage = {type: 'crashSeen', customerId, routeId, requestDigest, serverId};
    return [{type: 'sendToPeer', toHostId, message}];
  }

  #onPeer(message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'crashSeen':
        return this.#onSeen(message, message.serverId, nowMs);
      case 'requestBlocked': {
        const {customerId, routeId, requestDigest} = message;
        const untilMs = nowMs + this.#options.rememberMs;
        return [{type: 'repeatsBlocked', customerId, routeId, requestDigest, untilMs}];
      }
      default:
        return [];
    }
  }

  #onSeen(
    {customerId, routeId, requestDigest}: RequestName,
    serverId: string,
    nowMs: number,
  ): readonly CoreMessage[] {
    const name = `${customerId}|${routeId}|${requestDigest}`;
    const {rememberMs, maxCrashes, maxWatched} = this.#options;
    let watched = this.#watched.get(name);
    if (watched === undefined || nowMs - watched.sinceMs >= rememberMs) {
      watched = {serverIds: new Set(), sinceMs: nowMs};
      this.#watched.delete(name);
      this.#watched.set(name, watched);
    }
    for (const oldest of this.#watched.keys()) {
      if (this.#watched.size <= maxWatched) {
        break;
      }
      this.#watched.delete(oldest);
    }
    watched.serverIds.add(serverId);
    if (watched.serverIds.size < maxCrashes) {
      return [];
    }
    const message: PeerMessage = {type: 'requestBlocked', customerId, routeId, requestDigest};
    const hosts = this.#list?.hosts ?? [];
    return hosts.map(({id: toHostId}): CoreMessage => ({type: 'sendToPeer', toHostId, message}));
  }
}
