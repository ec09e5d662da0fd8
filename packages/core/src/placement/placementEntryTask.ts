import type {DiscoveredServer} from '@godwitspring/document';
import {HomeFinder} from '../fleet/homeFinder.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost, ServersKnown} from '../messages/hostMessages.ts';
import type {PeerMessage, PlaceAnswer, PlaceAsk} from '../messages/peerMessages.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import type {ServerReleased, ServerWanted} from '../messages/requestMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import type {RandomSource} from '../time/randomSource.ts';
import {LoneChoice} from './loneChoice.ts';

export interface PlacementEntryTaskOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  /** First number of asks; differs between processes at the same host. */
  readonly firstNonce: number;
  /** Longest wait for the word of a home, in ms. Default: 120, twenty round trips between data centres. */
  readonly answerTimeoutMs: number;
  /** Interval at which a waiting ask is repeated, so that a home that forgot it is noticed, in ms. Default: 400. */
  readonly reaskMs: number;
}

export const DEFAULT_PLACEMENT_ENTRY_OPTIONS = {answerTimeoutMs: 120, reaskMs: 400} as const;

type RequiredPlacementEntryOptions = Pick<
  PlacementEntryTaskOptions,
  'selfId' | 'hash' | 'random' | 'firstNonce'
>;

interface Ask {
  readonly askId: number;
  readonly wanted: ServerWanted;
  readonly homeId: string;
  readonly leftUntilMs: number;
  isWaiting: boolean;
  askedAtMs: number;
}

interface Grant {
  readonly askId: number;
  readonly requestId: number;
  readonly backendId: string;
  readonly routeId: string;
  readonly serverId: string;
  readonly startedAtMs: number;
  /** Home that counts the attempt; undefined where this host chose alone. */
  homeId: string | undefined;
  /** Homes that counted it before and may go on doing so. */
  readonly formerHomeIds: string[];
}

interface LastEnd {
  readonly backendId: string;
  readonly outcome: WorkOutcome;
  readonly startedAtMs: number;
  readonly ranForMs: number;
}

const timerId = 'placement.asks';
const sweepMs = 40;
/** Ends of attempts that are told to a new home, in ms. */
const recentMs = 3_000;
const homePrefix = 'backend@';

/** Asks the homes of backends for servers on behalf of the requests of this host. */
export class PlacementEntryTask implements CoreTask {
  readonly accepts = [
    'serverWanted',
    'serverReleased',
    'requestWithdrawn',
    'serversKnown',
    'serverConnections',
    'rosterChanged',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: PlacementEntryTaskOptions;
  readonly #finder: HomeFinder;
  readonly #lone: LoneChoice;
  readonly #asks = new Map<number, Ask>();
  readonly #askByRequest = new Map<number, number>();
  readonly #grants = new Map<string, Grant>();
  readonly #lastEnds = new Map<string, LastEnd>();
  #servers: readonly DiscoveredServer[] = [];
  /** Origins of the servers in service, as far as this host knows. */
  #originById = new Map<string, string>();
  #connectedIds: readonly string[] = [];
  #nextAskId: number;
  #isTimerSet = false;

  constructor(options: Partial<PlacementEntryTaskOptions> & RequiredPlacementEntryOptions) {
    this.#options = {...DEFAULT_PLACEMENT_ENTRY_OPTIONS, ...options};
    this.#finder = new HomeFinder(options.hash);
    this.#lone = new LoneChoice(options.random);
    this.#nextAskId = options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'serverWanted':
        return this.#onWanted(message, nowMs);
      case 'serverReleased':
        return this.#onReleased(message, nowMs);
      case 'requestWithdrawn':
        return this.#withdraw(message.requestId);
      case 'serversKnown':
        return this.#onServers(message);
      case 'serverConnections':
        this.#connectedIds = message.idleServerIds;
        return [];
      case 'rosterChanged':
        this.#finder.place(message.live);
        return [...this.#moveAsks(message.live, nowMs), ...this.#moveGrants(nowMs)];
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      default:
        return [];
    }
  }

  #onServers({servers, outOfService}: ServersKnown): readonly CoreMessage[] {
    this.#servers = servers.filter(
      ({state, dataCentre}) => state === 'in-service' && !outOfService.includes(dataCentre),
    );
    this.#originById = new Map(this.#servers.map(({id, origin}) => [id, origin]));
    return [];
  }

  #onWanted(wanted: ServerWanted, nowMs: number): readonly CoreMessage[] {
    const homeId = this.#finder.homeOf(homePrefix + wanted.backendId, nowMs);
    return homeId === undefined
      ? this.#chooseAlone(wanted, nowMs)
      : this.#ask(wanted, homeId, nowMs);
  }

  #ask(wanted: ServerWanted, homeId: string, nowMs: number): readonly CoreMessage[] {
    const askId = this.#nextAskId;
    this.#nextAskId += 1;
    const ask: Ask = {
      askId,
      wanted,
      homeId,
      leftUntilMs: wanted.deadlineAtMs,
      isWaiting: false,
      askedAtMs: nowMs,
    };
    this.#asks.set(askId, ask);
    this.#askByRequest.set(wanted.requestId, askId);
    return [this.#sendAsk(ask, nowMs), ...this.#armTimer(nowMs)];
  }

  #sendAsk({askId, wanted, homeId, leftUntilMs}: Ask, nowMs: number): CoreMessage {
    const message: PlaceAsk = {
      type: 'placeAsk',
      askId,
      backendId: wanted.backendId,
      routeId: wanted.routeId ?? '',
      customerId: wanted.customerId ?? '',
      isRepeatable: wanted.isRepeatable,
      isRepeat: wanted.isRepeat ?? false,
      priority: wanted.priority ?? 0,
      avoidedIds: wanted.excludedServerIds,
      connectedIds: [...this.#connectedIds],
      leftMs: Math.max(0, leftUntilMs - nowMs),
      requestDigest: wanted.requestDigest ?? '',
      requestName: wanted.requestName ?? '',
      bodyBytes: wanted.bodyBytes ?? 0,
    };
    return {type: 'sendToPeer', toHostId: homeId, message};
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type !== 'placeAnswer') {
      return [];
    }
    this.#finder.noteHeard(fromHostId);
    const ask = this.#asks.get(message.askId);
    if (ask?.homeId !== fromHostId) {
      return message.state === 'granted' ? this.#giveBack(fromHostId, message) : [];
    }
    switch (message.state) {
      case 'waiting':
        ask.isWaiting = true;
        return [];
      case 'refused': {
        this.#forget(ask);
        const {requestId} = ask.wanted;
        const {kind = 'overloaded', retryAfterMs} = message;
        return [{type: 'serverRefused', requestId, kind, retryAfterMs}];
      }
      case 'granted':
        return this.#onGranted(ask, message, nowMs);
    }
  }

  #onGranted(ask: Ask, answer: PlaceAnswer, nowMs: number): readonly CoreMessage[] {
    this.#forget(ask);
    const {serverId = '', secondAfterMs, needsNewConnection} = answer;
    const origin = this.#originById.get(serverId);
    if (origin === undefined) {
      // One of the two has newer word of the server; ask again without it.
      const {wanted} = ask;
      const excludedServerIds = [...wanted.excludedServerIds, serverId];
      return [
        ...this.#giveBack(ask.homeId, answer),
        ...this.#onWanted({...wanted, excludedServerIds}, nowMs),
      ];
    }
    const {requestId, backendId, routeId = ''} = ask.wanted;
    this.#addGrant({
      askId: ask.askId,
      requestId,
      backendId,
      routeId,
      serverId,
      startedAtMs: nowMs,
      homeId: ask.homeId,
      formerHomeIds: [],
    });
    return [
      {type: 'serverGranted', requestId, serverId, origin, secondAfterMs, needsNewConnection},
    ];
  }

  #chooseAlone(wanted: ServerWanted, nowMs: number): readonly CoreMessage[] {
    const {requestId, backendId, routeId = '', excludedServerIds} = wanted;
    const runningByServer = new Map<string, number>();
    for (const {serverId} of this.#grants.values()) {
      runningByServer.set(serverId, (runningByServer.get(serverId) ?? 0) + 1);
    }
    const servers = this.#servers.filter((server) => server.backendId === backendId);
    const mayTry = wanted.isRepeat !== true;
    const server = mayTry
      ? this.#lone.choose(servers, runningByServer, excludedServerIds, nowMs)
      : undefined;
    const {requestName} = wanted;
    const fields = {requestName, backendId, serverId: server?.id, servers: servers.length};
    const log: CoreMessage = {type: 'log', level: 'warn', event: 'place.alone', fields};
    if (server === undefined) {
      return [log, {type: 'serverRefused', requestId, kind: 'no-server', retryAfterMs: undefined}];
    }
    const {id: serverId, origin} = server;
    const askId = this.#nextAskId;
    this.#nextAskId += 1;
    this.#addGrant({
      askId,
      requestId,
      backendId,
      routeId,
      serverId,
      startedAtMs: nowMs,
      homeId: undefined,
      formerHomeIds: [],
    });
    const count: CoreMessage = {type: 'count', name: 'place.alone', tags: {backend: backendId}};
    return [log, count, {type: 'serverGranted', requestId, serverId, origin}];
  }

  #addGrant(grant: Grant): void {
    this.#grants.set(`${grant.requestId}/${grant.serverId}`, grant);
  }

  #giveBack(homeId: string, {askId}: PlaceAnswer): readonly CoreMessage[] {
    const message: PeerMessage = {type: 'placeEnded', askId, outcome: 'cancelled', ranForMs: 0};
    return [{type: 'sendToPeer', toHostId: homeId, message}];
  }

  #onReleased(released: ServerReleased, nowMs: number): readonly CoreMessage[] {
    const {requestId, serverId, backendId, outcome, ranForMs = released.latencyMs} = released;
    const key = `${requestId}/${serverId}`;
    const grant = this.#grants.get(key);
    if (grant === undefined) {
      return [];
    }
    this.#grants.delete(key);
    this.#lone.noteEnd(serverId, outcome, nowMs);
    if (outcome !== 'cancelled') {
      this.#lastEnds.delete(serverId);
      this.#lastEnds.set(serverId, {backendId, outcome, startedAtMs: grant.startedAtMs, ranForMs});
    }
    const {homeId, formerHomeIds, askId} = grant;
    const message: PeerMessage = {type: 'placeEnded', askId, outcome, ranForMs};
    const homeIds = homeId === undefined ? [] : [homeId, ...formerHomeIds];
    return homeIds.map((toHostId) => ({type: 'sendToPeer', toHostId, message}));
  }

  #withdraw(requestId: number): readonly CoreMessage[] {
    const askId = this.#askByRequest.get(requestId);
    const ask = askId === undefined ? undefined : this.#asks.get(askId);
    if (ask === undefined) {
      return [];
    }
    this.#forget(ask);
    const message: PeerMessage = {type: 'placeWithdrawn', askId: ask.askId};
    return [{type: 'sendToPeer', toHostId: ask.homeId, message}];
  }

  #forget({askId, wanted}: Ask): void {
    this.#asks.delete(askId);
    this.#askByRequest.delete(wanted.requestId);
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTimerSet || this.#asks.size === 0) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    const messages: CoreMessage[] = [];
    for (const ask of [...this.#asks.values()]) {
      messages.push(...this.#check(ask, nowMs));
    }
    return [...messages, ...this.#armTimer(nowMs)];
  }

  /** Repeats an ask that waits; takes an ask without any word to the next home. */
  #check(ask: Ask, nowMs: number): readonly CoreMessage[] {
    const {answerTimeoutMs, reaskMs} = this.#options;
    const silentMs = nowMs - ask.askedAtMs;
    if (ask.isWaiting && silentMs >= reaskMs) {
      ask.isWaiting = false;
      ask.askedAtMs = nowMs;
      return [this.#sendAsk(ask, nowMs)];
    }
    if (ask.isWaiting || silentMs < answerTimeoutMs) {
      return [];
    }
    this.#forget(ask);
    this.#finder.noteSilent(ask.homeId, nowMs);
    const {requestName, backendId} = ask.wanted;
    const fields = {requestName, backendId, homeId: ask.homeId, silentMs: Math.round(silentMs)};
    const withdrawn: PeerMessage = {type: 'placeWithdrawn', askId: ask.askId};
    return [
      {type: 'log', level: 'warn', event: 'place.homeSilent', fields},
      {type: 'count', name: 'place.homeSilent', tags: {}},
      {type: 'sendToPeer', toHostId: ask.homeId, message: withdrawn},
      ...this.#moveGrants(nowMs),
      ...this.#onWanted(ask.wanted, nowMs),
    ];
  }

  /** Asks anew what was asked of a host that is gone. */
  #moveAsks(live: readonly LiveHost[], nowMs: number): readonly CoreMessage[] {
    const liveIds = new Set(live.map(({hostId}) => hostId));
    const messages: CoreMessage[] = [];
    for (const ask of [...this.#asks.values()]) {
      if (!liveIds.has(ask.homeId)) {
        this.#forget(ask);
        messages.push(...this.#onWanted(ask.wanted, nowMs));
      }
    }
    return messages;
  }

  /** Tells homes that are new to a backend what this host runs there and saw lately. */
  #moveGrants(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const backendIds = new Set<string>();
    for (const grant of this.#grants.values()) {
      const homeId = this.#finder.homeOf(homePrefix + grant.backendId, nowMs);
      if (grant.homeId !== undefined && homeId !== undefined && homeId !== grant.homeId) {
        backendIds.add(grant.backendId);
      }
    }
    for (const backendId of backendIds) {
      messages.push(...this.#hello(backendId, nowMs));
    }
    return messages;
  }

  #hello(backendId: string, nowMs: number): readonly CoreMessage[] {
    const homeId = this.#finder.homeOf(homePrefix + backendId, nowMs);
    if (homeId === undefined) {
      return [];
    }
    const running = [];
    for (const grant of this.#grants.values()) {
      if (grant.backendId === backendId) {
        if (grant.homeId !== undefined && grant.homeId !== homeId) {
          grant.formerHomeIds.push(grant.homeId);
        }
        grant.homeId = homeId;
        const {askId, serverId, routeId, startedAtMs} = grant;
        running.push({askId, serverId, routeId, ageMs: nowMs - startedAtMs});
      }
    }
    const recent = [];
    for (const [serverId, {outcome, startedAtMs, ranForMs, ...end}] of this.#lastEnds) {
      const startedAgoMs = nowMs - startedAtMs;
      if (end.backendId === backendId && startedAgoMs < recentMs) {
        recent.push({serverId, outcome, startedAgoMs, ranForMs});
      }
    }
    const message: PeerMessage = {type: 'placeHello', backendId, running, recent};
    return [{type: 'sendToPeer', toHostId: homeId, message}];
  }
}
