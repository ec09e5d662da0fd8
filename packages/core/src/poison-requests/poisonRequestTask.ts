import type {CoreTask} from '../host/coreTask.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {CrashSeen, PeerMessage, SilenceSeen} from '../messages/peerMessages.ts';
import {ExpiringKeySet} from '../request/expiringKeySet.ts';
import {BlockedRequests} from './blockedRequests.ts';
import {BroadcastLimiter} from './broadcastLimiter.ts';
import {EvidenceHomes} from './evidenceHomes.ts';
import {RecentSuccesses} from './recentSuccesses.ts';
import {identityOf, requestKey} from './requestIdentity.ts';
import type {RequestIdentity} from './requestIdentity.ts';
import {SuspectRequest} from './suspectRequest.ts';
import type {SuspectAttempt} from './suspectRequest.ts';

/** Settings of the detection of poison requests. */
export interface PoisonRequestOptions {
  /** Id of this host. */
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Number of crashed servers from which duplicates of the request are refused. Default: 2. */
  readonly maxCrashes: number;
  /** Time for which crashes are counted and duplicates are refused, in ms. Default: 600,000. */
  readonly suspicionLifetimeMs: number;
  /** Suspect requests tracked at once; the oldest is dropped first. Default: 2,000. */
  readonly maxSuspects: number;
  /**
   * Notices of each kind broadcast to the fleet per second; more crashes at once are not the fault of one
   * request. Default: 20.
   */
  readonly maxBroadcastsPerSecond: number;
}

/** Defaults of {@link PoisonRequestOptions}. */
export const DEFAULT_POISON_REQUEST_OPTIONS = {
  maxCrashes: 2,
  suspicionLifetimeMs: 600_000,
  maxSuspects: 2_000,
  maxBroadcastsPerSecond: 20,
} as const;

/** Time for which successful responses to a suspect request are reported, in ms. */
const suspectWatchMs = 60_000;

/** Servers that are dialed beside one that may have crashed, to see whether this host reaches any. */
const comparedServers = 3;

/** A host of a published list, which does not tell when its process started. */
function hostOfList(hostId: string): LiveHost {
  return {hostId, dataCentre: '', bornMs: 0, capacityClass: 0};
}

/** Identifies a process of the fleet: a host that starts again has a new start time. */
function processId({hostId, bornMs}: LiveHost): string {
  return `${hostId}#${bornMs}`;
}

/**
 * Detects poison requests, which crash the servers that run them, and has every host refuse duplicates of
 * them. Hosts report crashes to the request's homes, several hosts that each collect the evidence of the whole
 * fleet, so that it outlives the loss of one, and count their own.
 *
 * A successful response to the request on any host clears it: a request that data centres fail under, but that
 * also succeeds, is not the cause.
 */
export class PoisonRequestTask implements CoreTask {
  readonly accepts = [
    'crashObserved',
    'silenceObserved',
    'requestSucceeded',
    'registeredServersChanged',
    'serverDialed',
    'membershipChanged',
    'rosterChanged',
    'peerMessageReceived',
  ] as const;

  readonly #options: PoisonRequestOptions;
  readonly #homes: EvidenceHomes;
  readonly #suspects = new Map<string, SuspectRequest>();
  readonly #blocked: BlockedRequests;
  /** Requests whose homes wait for a successful response on any host. */
  readonly #watchedKeys = new ExpiringKeySet();
  readonly #successes = new RecentSuccesses();
  readonly #suspicionLimiter: BroadcastLimiter;
  readonly #blockLimiter: BroadcastLimiter;
  #originById: ReadonlyMap<string, string> = new Map();
  #hostIds: readonly string[] = [];
  #processIds: ReadonlySet<string> = new Set();

  constructor(
    options: Partial<PoisonRequestOptions> & Pick<PoisonRequestOptions, 'selfId' | 'hash'>,
  ) {
    this.#options = {...DEFAULT_POISON_REQUEST_OPTIONS, ...options};
    this.#homes = new EvidenceHomes(options.hash);
    this.#blocked = new BlockedRequests(this.#options.maxSuspects);
    this.#suspicionLimiter = new BroadcastLimiter(this.#options.maxBroadcastsPerSecond);
    this.#blockLimiter = new BroadcastLimiter(this.#options.maxBroadcastsPerSecond);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'membershipChanged':
        this.#hostIds = message.list.hosts.map(({id}) => id);
        return this.#onHosts(message.reachableHostIds.map(hostOfList), nowMs);
      case 'rosterChanged':
        this.#hostIds = message.live.map(({hostId}) => hostId);
        return this.#onHosts(message.live, nowMs);
      case 'crashObserved': {
        const {serverId, ranForMs} = message;
        const crash = {serverId, startedAtMs: nowMs - ranForMs, endedAtMs: nowMs};
        return this.#sendToHomes(message, this.#crashSeen(message, crash, nowMs));
      }
      case 'silenceObserved': {
        const {serverId, ranForMs} = message;
        const silenceSeen = {
          type: 'silenceSeen',
          ...identityOf(message),
          serverId,
          ranForMs,
        } as const;
        return this.#sendToHomes(message, silenceSeen);
      }
      case 'registeredServersChanged':
        this.#originById = new Map(message.servers.map(({id, origin}) => [id, origin]));
        return this.#confirmCrashes(message.lapsedServerIds, nowMs);
      case 'serverDialed':
        return this.#onDialed(message.serverId, message.isConnected, nowMs);
      case 'requestSucceeded':
        return this.#onSucceeded(message, nowMs);
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      default:
        return [];
    }
  }

  /** Reports to the homes of a request, and to this host itself, which may not reach them. */
  #sendToHomes(identity: RequestIdentity, message: PeerMessage): readonly CoreMessage[] {
    const homeIds = this.#homes.homesOf(requestKey(identity));
    return this.#sendTo([...new Set([this.#options.selfId, ...homeIds])], message);
  }

  #crashSeen(
    identity: RequestIdentity,
    {serverId, startedAtMs, endedAtMs}: SuspectAttempt,
    nowMs: number,
  ): CrashSeen {
    return {
      type: 'crashSeen',
      ...identityOf(identity),
      serverId,
      ranForMs: endedAtMs - startedAtMs,
      endedAgoMs: Math.max(0, nowMs - endedAtMs),
    };
  }

  #sendTo(hostIds: readonly string[], message: PeerMessage): readonly CoreMessage[] {
    return hostIds.map((toHostId) => ({type: 'sendToPeer', toHostId, message}));
  }

  /** Hands the blocks that this host knows to hosts that are new, and the evidence to homes that are new. */
  #onHosts(live: readonly LiveHost[], nowMs: number): readonly CoreMessage[] {
    const newHostIds = live
      .filter((host) => !this.#processIds.has(processId(host)))
      .map(({hostId}) => hostId);
    this.#processIds = new Set(live.map(processId));
    this.#homes.setHosts(live);
    const messages: CoreMessage[] = [];
    for (const {identity, untilMs} of this.#blocked.list(nowMs)) {
      if (this.#isHome(requestKey(identity))) {
        messages.push(...this.#sendTo(newHostIds, this.#requestBlocked(identity, untilMs, nowMs)));
      }
    }
    for (const [key, suspect] of this.#suspects) {
      const homeIds = this.#homes.homesOf(key);
      const newHomeIds = homeIds.filter((hostId) => !suspect.homeIds.includes(hostId));
      suspect.homeIds = homeIds;
      for (const crash of suspect.crashes) {
        const crashSeen = this.#crashSeen(suspect.identity, crash, nowMs);
        messages.push(...this.#sendTo(newHomeIds, crashSeen));
      }
    }
    return messages;
  }

  #onSucceeded(identity: RequestIdentity, nowMs: number): readonly CoreMessage[] {
    const key = requestKey(identity);
    this.#successes.record(key, nowMs);
    return this.#watchedKeys.has(key, nowMs) || this.#blocked.find(key, nowMs) !== undefined
      ? this.#reportSuccess(identity)
      : [];
  }

  #reportSuccess(identity: RequestIdentity): readonly CoreMessage[] {
    return this.#sendToHomes(identity, {type: 'requestCleared', ...identityOf(identity)});
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'crashSeen':
        return this.#onCrashSeen(fromHostId, message, nowMs);
      case 'silenceSeen':
        return this.#onSilenceSeen(message, nowMs);
      case 'requestSuspected': {
        const key = requestKey(message);
        this.#watchedKeys.add(key, nowMs + suspectWatchMs);
        return this.#successes.hasSince(key, nowMs - (message.sinceAgoMs ?? 0))
          ? this.#reportSuccess(message)
          : [];
      }
      case 'requestBlocked': {
        const {forMs = this.#options.suspicionLifetimeMs} = message;
        return this.#block(message, nowMs + forMs);
      }
      case 'requestCleared':
        return this.#clear(message, nowMs);
      default:
        return [];
    }
  }

  /** Counts a crash as a home of the request: enough of them block it on every host. */
  #onCrashSeen(fromHostId: string, crash: CrashSeen, nowMs: number): readonly CoreMessage[] {
    const identity = identityOf(crash);
    const key = requestKey(identity);
    const blocked = this.#blocked.find(key, nowMs);
    if (blocked !== undefined) {
      // The reporter did not know of the block, for example because it has just started.
      return this.#sendTo([fromHostId], this.#requestBlocked(identity, blocked.untilMs, nowMs));
    }
    const suspect = this.#suspectOf(identity, key);
    const crashCountBefore = suspect.crashCount;
    const endedAtMs = nowMs - (crash.endedAgoMs ?? 0);
    const {serverId, ranForMs} = crash;
    const attempt = {serverId, startedAtMs: endedAtMs - ranForMs, endedAtMs};
    suspect.addCrash(attempt, this.#keptFromMs(nowMs));
    return suspect.crashCount > crashCountBefore ? this.#onCrashCounted(suspect, nowMs) : [];
  }

  /** Dials the silent servers of a request that may have crashed too many, to see whether they still run. */
  #onSilenceSeen(silence: SilenceSeen, nowMs: number): readonly CoreMessage[] {
    const {serverId, ranForMs} = silence;
    if (this.#blocked.find(requestKey(silence), nowMs) !== undefined) {
      return [];
    }
    const suspect = this.#suspectOf(identityOf(silence), requestKey(silence));
    const attempt = {serverId, startedAtMs: nowMs - ranForMs, endedAtMs: nowMs};
    suspect.addSilence(attempt, nowMs);
    if (suspect.possibleCrashCount < this.#options.maxCrashes) {
      return [];
    }
    const newlyDialedIds = suspect.takeUndialedSilentServers();
    return newlyDialedIds.length === 0
      ? []
      : [...this.#watch(suspect, nowMs), ...newlyDialedIds.flatMap((id) => this.#dial(id))];
  }

  /** Counts the silences of servers as crashes, once these are known to be down. */
  #confirmCrashes(serverIds: readonly string[], nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const serverId of serverIds) {
      for (const suspect of this.#suspects.values()) {
        if (suspect.confirmCrash(serverId, this.#keptFromMs(nowMs))) {
          messages.push(...this.#onCrashCounted(suspect, nowMs));
        }
      }
    }
    return messages;
  }

  #keptFromMs(nowMs: number): number {
    return nowMs - this.#options.suspicionLifetimeMs;
  }

  /** Has every host watch a request that is close to being blocked, or refuse one that is over the limit. */
  #onCrashCounted(suspect: SuspectRequest, nowMs: number): readonly CoreMessage[] {
    const {maxCrashes} = this.#options;
    const {identity, crashCount: crashes} = suspect;
    const fields = {...identity, crashes};
    const log: CoreMessage = {type: 'log', level: 'info', event: 'crash.counted', fields};
    if (crashes >= maxCrashes) {
      return [log, ...this.#checkLastCrash(suspect, nowMs)];
    }
    return crashes === maxCrashes - 1 ? [log, ...this.#watch(suspect, nowMs)] : [log];
  }

  /**
   * Dials the server that crashed last, and some others, before the request is blocked.
   *
   * Load pattern: the connections of one host are reset by its network. Its servers have not crashed.
   */
  #checkLastCrash(suspect: SuspectRequest, nowMs: number): readonly CoreMessage[] {
    const {lastCrashedServerId = ''} = suspect;
    if (!this.#originById.has(lastCrashedServerId)) {
      return this.#tellBlocked(suspect, nowMs);
    }
    const otherServerIds = [...this.#originById.keys()]
      .filter((serverId) => !suspect.isSuspectServer(serverId))
      .slice(0, comparedServers);
    return suspect.startCheck(otherServerIds.length > 0, nowMs)
      ? [...otherServerIds, lastCrashedServerId].flatMap((serverId) => this.#dial(serverId))
      : [];
  }

  #dial(serverId: string): readonly CoreMessage[] {
    const origin = this.#originById.get(serverId);
    return origin === undefined ? [] : [{type: 'dialServer', serverId, origin}];
  }

  /** Applies the result of a connection that was opened to the requests whose servers are checked. */
  #onDialed(serverId: string, isConnected: boolean, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const suspect of this.#suspects.values()) {
      if (suspect.recordDial(serverId, isConnected)) {
        messages.push(...this.#tellBlocked(suspect, nowMs));
      }
    }
    return isConnected ? messages : [...messages, ...this.#confirmCrashes([serverId], nowMs)];
  }

  /** Has every host report successful responses to a request. */
  #watch({identity, suspectedSinceMs}: SuspectRequest, nowMs: number): readonly CoreMessage[] {
    if (!this.#isHome(requestKey(identity))) {
      return [];
    }
    if (!this.#suspicionLimiter.tryAcquire(nowMs)) {
      return [{type: 'count', name: 'crash.notTold', tags: {}}];
    }
    const sinceAgoMs = nowMs - suspectedSinceMs;
    return this.#sendTo(this.#hostIds, {type: 'requestSuspected', ...identity, sinceAgoMs});
  }

  /** Has every host refuse a request; only this one where it is no home of the request, as it sees less. */
  #tellBlocked({identity, crashCount}: SuspectRequest, nowMs: number): readonly CoreMessage[] {
    const key = requestKey(identity);
    const isHome = this.#isHome(key);
    if (isHome && !this.#blockLimiter.tryAcquire(nowMs)) {
      return [{type: 'count', name: 'crash.notTold', tags: {}}];
    }
    const untilMs = nowMs + this.#options.suspicionLifetimeMs;
    const fields = {...identity, crashes: crashCount, isHome};
    const hostIds = isHome ? this.#otherHostIds() : [];
    this.#suspects.delete(key);
    return [
      {type: 'log', level: 'warn', event: 'request.blocked', fields},
      {type: 'count', name: 'request.blocked', tags: {route: identity.routeId}},
      ...this.#block(identity, untilMs),
      ...this.#sendTo(hostIds, this.#requestBlocked(identity, untilMs, nowMs)),
    ];
  }

  #requestBlocked(identity: RequestIdentity, untilMs: number, nowMs: number): PeerMessage {
    return {type: 'requestBlocked', ...identity, forMs: untilMs - nowMs};
  }

  /** Refuses a request on this host from now on. */
  #block(message: RequestIdentity, untilMs: number): readonly CoreMessage[] {
    this.#blocked.add(message, untilMs);
    return [{type: 'poisonRequestBlocked', ...identityOf(message), untilMs}];
  }

  /** Forgets the evidence against a request that succeeded; a home tells every host that knows of it. */
  #clear(message: RequestIdentity, nowMs: number): readonly CoreMessage[] {
    const identity = identityOf(message);
    const key = requestKey(identity);
    this.#suspects.delete(key);
    const wasWatched = this.#watchedKeys.has(key, nowMs);
    this.#watchedKeys.delete(key);
    const wasBlocked = this.#blocked.delete(key);
    const hostIds = this.#isHome(key) && (wasWatched || wasBlocked) ? this.#otherHostIds() : [];
    return [
      ...(wasBlocked ? [{type: 'poisonRequestCleared', ...identity} as const] : []),
      ...this.#sendTo(hostIds, {type: 'requestCleared', ...identity}),
    ];
  }

  #isHome(key: string): boolean {
    return this.#homes.homesOf(key).includes(this.#options.selfId);
  }

  #otherHostIds(): readonly string[] {
    return this.#hostIds.filter((hostId) => hostId !== this.#options.selfId);
  }

  /** The evidence on a request. */
  #suspectOf(identity: RequestIdentity, key: string): SuspectRequest {
    let suspect = this.#suspects.get(key);
    if (suspect === undefined) {
      suspect = new SuspectRequest(identity);
      suspect.homeIds = this.#homes.homesOf(key);
      this.#suspects.set(key, suspect);
      this.#dropOldestSuspects();
    }
    return suspect;
  }

  #dropOldestSuspects(): void {
    for (const oldest of this.#suspects.keys()) {
      if (this.#suspects.size <= this.#options.maxSuspects) {
        return;
      }
      this.#suspects.delete(oldest);
    }
  }
}
