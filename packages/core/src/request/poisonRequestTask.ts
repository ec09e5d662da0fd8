import type {HostList} from '@godwitspring/document';
import {HomePlacement} from '../allowance/homePlacement.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import {requestKey} from './admitRequest.ts';

/** Settings of the detection of poison requests. */
export interface PoisonRequestOptions {
  /** Id of this host. */
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Number of hash buckets into which customers are grouped; each bucket has one home. Default: 6. */
  readonly bucketCount: number;
  /** Number of crashed servers from which duplicates of the request are refused. Default: 2. */
  readonly maxCrashes: number;
  /** Time for which crashes are counted and duplicates are refused, in ms. Default: 600,000. */
  readonly suspicionLifetimeMs: number;
  /** Suspect requests tracked at once; the oldest is dropped first. Default: 2,000. */
  readonly maxSuspects: number;
  /**
   * Notices broadcast to the fleet per second; more crashes at once are not the fault of one request.
   * Default: 20.
   */
  readonly maxBroadcastsPerSecond: number;
}

/** Defaults of {@link PoisonRequestOptions}. */
export const DEFAULT_POISON_REQUEST_OPTIONS = {
  bucketCount: 6,
  maxCrashes: 2,
  suspicionLifetimeMs: 600_000,
  maxSuspects: 2_000,
  maxBroadcastsPerSecond: 20,
} as const;

const secondMs = 1_000;

/** Identifies a request and its duplicates. */
interface RequestIdentity {
  readonly customerId: string;
  readonly routeId: string;
  readonly requestDigest: string;
}

/** A request that may have crashed servers. */
interface SuspectRequest {
  /** Servers whose crashes count against the request. */
  readonly serverIds: Set<string>;
  /** Moment at which the last counted crash was reported to this home, in ms. */
  lastCrashAtMs: number;
}

function identityOf({customerId, routeId, requestDigest}: RequestIdentity): RequestIdentity {
  return {customerId, routeId, requestDigest};
}

function requestKeyOf({customerId, routeId, requestDigest}: RequestIdentity): string {
  return requestKey(customerId, routeId, requestDigest);
}

/**
 * Detects poison requests, which crash the servers that run them, and has every host refuse duplicates of
 * them. Hosts report crashes to the request's home, the host that decides for the whole fleet; it is
 * chosen by hashing the customer.
 *
 * Crashes count one after another only: an attempt that already ran when the last crash was reported is
 * no further evidence, as when a data centre fails under many equal requests. A successful response to
 * the request on any host clears it.
 */
export class PoisonRequestTask implements CoreTask {
  readonly accepts = [
    'crashObserved',
    'suspectCleared',
    'membershipChanged',
    'peerMessageReceived',
  ] as const;

  readonly #options: PoisonRequestOptions;
  readonly #placement: HomePlacement;
  readonly #suspects = new Map<string, SuspectRequest>();
  #hostList: HostList | undefined;
  #secondStartedAtMs = 0;
  #broadcastsThisSecond = 0;

  constructor(
    options: Partial<PoisonRequestOptions> & Pick<PoisonRequestOptions, 'selfId' | 'hash'>,
  ) {
    this.#options = {...DEFAULT_POISON_REQUEST_OPTIONS, ...options};
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'membershipChanged':
        this.#hostList = message.list;
        this.#placement.setReachableHosts(message.reachableHostIds);
        return [];
      case 'crashObserved': {
        const {serverId, ranForMs} = message;
        return this.#sendToHome(message, {
          type: 'crashSeen',
          ...identityOf(message),
          serverId,
          ranForMs,
        });
      }
      case 'suspectCleared':
        return this.#sendToHome(message, {type: 'requestCleared', ...identityOf(message)});
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.message, nowMs);
      default:
        return [];
    }
  }

  #sendToHome({customerId}: RequestIdentity, message: PeerMessage): readonly CoreMessage[] {
    const toHostId = this.#placement.homeOf(this.#placement.bucketOf(customerId));
    return toHostId === undefined ? [] : [{type: 'sendToPeer', toHostId, message}];
  }

  #onPeerMessage(message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'crashSeen':
        return this.#onCrashSeen(message, message.serverId, message.ranForMs, nowMs);
      case 'requestCleared':
        this.#suspects.delete(requestKeyOf(message));
        return [];
      case 'requestSuspected':
        return [{type: 'suspectWatched', ...identityOf(message)}];
      case 'requestBlocked': {
        const untilMs = nowMs + this.#options.suspicionLifetimeMs;
        return [{type: 'poisonRequestBlocked', ...identityOf(message), untilMs}];
      }
      default:
        return [];
    }
  }

  /** Counts a crash at the home: the first one makes the request a suspect, enough of them block it. */
  #onCrashSeen(
    identity: RequestIdentity,
    serverId: string,
    ranForMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const key = requestKeyOf(identity);
    const suspect = this.#suspects.get(key);
    const isFirstCrash =
      suspect === undefined || nowMs - suspect.lastCrashAtMs >= this.#options.suspicionLifetimeMs;
    if (isFirstCrash) {
      this.#addSuspect(key, serverId, nowMs);
      return this.#broadcast({type: 'requestSuspected', ...identityOf(identity)}, nowMs);
    }
    if (nowMs - ranForMs < suspect.lastCrashAtMs) {
      return [];
    }
    suspect.serverIds.add(serverId);
    suspect.lastCrashAtMs = nowMs;
    const hasCrashedMany = suspect.serverIds.size >= this.#options.maxCrashes;
    return hasCrashedMany
      ? this.#broadcast({type: 'requestBlocked', ...identityOf(identity)}, nowMs)
      : [];
  }

  /** Starts to track a request, and drops the oldest ones beyond the maximum. */
  #addSuspect(key: string, serverId: string, nowMs: number): void {
    this.#suspects.delete(key);
    this.#suspects.set(key, {serverIds: new Set([serverId]), lastCrashAtMs: nowMs});
    for (const oldest of this.#suspects.keys()) {
      if (this.#suspects.size <= this.#options.maxSuspects) {
        return;
      }
      this.#suspects.delete(oldest);
    }
  }

  /** Sends a message to every host, at most `maxBroadcastsPerSecond` times a second. */
  #broadcast(message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (nowMs - this.#secondStartedAtMs >= secondMs) {
      this.#secondStartedAtMs = nowMs;
      this.#broadcastsThisSecond = 0;
    }
    this.#broadcastsThisSecond += 1;
    if (this.#broadcastsThisSecond > this.#options.maxBroadcastsPerSecond) {
      return [{type: 'count', name: 'crash.notTold', tags: {}}];
    }
    const hosts = this.#hostList?.hosts ?? [];
    return hosts.map(({id: toHostId}): CoreMessage => ({type: 'sendToPeer', toHostId, message}));
  }
}
