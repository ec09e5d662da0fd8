import type {DiscoveredServer} from '@godwitspring/document';
import {HomeFinder} from '../fleet/homeFinder.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost, RegisteredServersChanged} from '../messages/hostMessages.ts';
import type {PeerMessage, PlaceAnswer, PlaceAskMessage} from '../messages/peerMessages.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import type {ServerNotice} from '../messages/serverNotice.ts';
import type {ServerNoticed, ServerReleased, ServerWanted} from '../messages/requestMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {HomeScopes, placementHomeKey} from './homeScope.ts';
import {LocalServerSelector} from './localServerSelector.ts';
import {ServerNumbers} from './serverNumbers.ts';
import {ServerNotices} from './serverNotices.ts';
import {ServerRateLimits} from './serverRateLimits.ts';

/** Options of the task that requests servers for this host. */
export interface PlacementEntryTaskOptions {
  readonly selfId: string;
  /** Data centre of this host, whose homes are queried for backends that are divided. Default: unknown. */
  readonly dataCentre: string;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  /** First number of the queries; chosen differently by each process on a host. */
  readonly firstNonce: number;
  /**
   * Time without a reply after which a query goes to the next home, in ms. Default: 120, twenty round trips
   * between data centres.
   */
  readonly homeTimeoutMs: number;
  /**
   * Interval at which a waiting query is sent again, so that a home that lost it is noticed, in ms. Default:
   * 400.
   */
  readonly resendIntervalMs: number;
}

export const DEFAULT_PLACEMENT_ENTRY_OPTIONS = {
  dataCentre: '',
  homeTimeoutMs: 120,
  resendIntervalMs: 400,
} as const;

type RequiredPlacementEntryOptions = Pick<
  PlacementEntryTaskOptions,
  'selfId' | 'hash' | 'random' | 'firstNonce'
>;

/** A query that was sent to a home and is not resolved yet. */
interface PendingQuery {
  readonly askId: number;
  readonly wanted: ServerWanted;
  readonly homeId: string;
  /** Data centre of the home; undefined where the backend is not divided. */
  readonly scope: string | undefined;
  /** Whether the home of this host's data centre forwarded the query: to this home, or back to itself. */
  readonly isForwarded: boolean;
  readonly deadlineAtMs: number;
  isWaiting: boolean;
  /** Whether the home queued it at any time. */
  hasWaited: boolean;
  sentAtMs: number;
}

/** An attempt that was granted a server and has not ended yet. */
interface GrantedAttempt {
  readonly askId: number;
  readonly requestId: number;
  readonly backendId: string;
  readonly routeId: string;
  readonly serverId: string;
  /** Data centre of the server. */
  readonly dataCentre: string;
  readonly startedAtMs: number;
  /** Home that counts the attempt; undefined where this host chose the server locally. */
  homeId: string | undefined;
  /** Data centre for which that home counts it; undefined for the home of an undivided backend. */
  homeScope: string | undefined;
  /** Former homes that counted the attempt and may still do so. */
  readonly formerHomeIds: string[];
  /** What the server stated about itself; undefined before its response. */
  notice: ServerNotice | undefined;
}

/** Servers in service of a home. */
interface HomeServers {
  readonly ids: ReadonlySet<string>;
  readonly numbers: ServerNumbers;
  /** When this host learned of this list, in ms. */
  readonly sinceMs: number;
  /** Those with an idle connection, by number; undefined until it is computed. */
  connectedBits: Uint8Array<ArrayBuffer> | undefined;
}

/** How the newest attempt of this host on a server ended. */
interface LastOutcome {
  readonly backendId: string;
  readonly dataCentre: string;
  readonly outcome: AttemptOutcome;
  readonly startedAtMs: number;
  readonly ranForMs: number;
}

const timerId = 'placement.asks';
/** Interval at which pending queries are checked, in ms. */
const sweepMs = 40;
/**
 * Time for which nothing is forwarded to a data centre whose home did not reply, in ms: the time after which a
 * summary from there counts as absent.
 */
const silentScopeMs = 1_000;
/**
 * Time after a change of a list of servers in which servers are given by id, in ms: longer than the list takes to
 * reach the other hosts.
 */
const listSpreadMs = 1_000;
/** Age up to which outcomes of attempts are reported to a new home, in ms. */
const recentOutcomeMs = 3_000;

/**
 * Queries the homes of backends for servers on behalf of the requests that this host received. The home of a
 * backend is the host that owns it by rendezvous hashing and places the attempts of the whole fleet. Without
 * a reachable home this host chooses servers locally.
 */
export class PlacementEntryTask implements CoreTask {
  readonly accepts = [
    'serverWanted',
    'serverReleased',
    'serverNoticed',
    'requestWithdrawn',
    'registeredServersChanged',
    'serverConnections',
    'rosterChanged',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: PlacementEntryTaskOptions;
  readonly #homeFinder: HomeFinder;
  readonly #scopes: HomeScopes;
  readonly #localSelector: LocalServerSelector;
  readonly #pendingQueries = new Map<number, PendingQuery>();
  readonly #queryIdByRequest = new Map<number, number>();
  readonly #grants = new Map<string, GrantedAttempt>();
  readonly #notices = new ServerNotices();
  /** Limits of the servers that this host keeps to while it chooses locally. */
  readonly #localLimits = new ServerRateLimits();
  readonly #lastOutcomes = new Map<string, LastOutcome>();
  #servers: readonly DiscoveredServer[] = [];
  /** Ids of the servers in service, by backend. */
  readonly #serverIdsByBackend = new Map<string, Set<string>>();
  /** Servers in service, as far as this host knows. */
  #serverById = new Map<string, DiscoveredServer>();
  #connectedIds: ReadonlySet<string> = new Set();
  /** Hosts whose replies said that they understand short queries, while they are live. */
  readonly #shortQueryHostIds = new Map<string, number>();
  /** Servers by home key, computed with the first query to a home after a change. */
  readonly #serversByHome = new Map<string, HomeServers>();
  /** Hash of the list of servers by home key, and when this host learned of it, in ms. */
  readonly #listsSince = new Map<string, {listHash: number; sinceMs: number}>();
  #serversChangedAtMs = 0;
  #bornMsByHost = new Map<string, number>();
  /** Data centres whose homes did not reply to a forwarded query, until when none is sent there, in ms. */
  readonly #silentScopesUntilMs = new Map<string, number>();
  #nextQueryId: number;
  /** Number of hosts that may use a server at the same time. */
  #knownHosts = 1;
  #isTimerSet = false;

  constructor(options: Partial<PlacementEntryTaskOptions> & RequiredPlacementEntryOptions) {
    this.#options = {...DEFAULT_PLACEMENT_ENTRY_OPTIONS, ...options};
    this.#homeFinder = new HomeFinder(options.hash, {isByCapacity: true});
    this.#scopes = new HomeScopes(options.hash);
    this.#localSelector = new LocalServerSelector(options.random);
    this.#nextQueryId = options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'serverWanted':
        return this.#onServerWanted(message, nowMs);
      case 'serverReleased':
        return this.#onReleased(message, nowMs);
      case 'serverNoticed':
        return this.#onNoticed(message, nowMs);
      case 'requestWithdrawn':
        return this.#withdraw(message.requestId);
      case 'registeredServersChanged':
        return this.#onServers(message, nowMs);
      case 'serverConnections':
        this.#connectedIds = new Set(message.idleServerIds);
        for (const servers of this.#serversByHome.values()) {
          servers.connectedBits = undefined;
        }
        return [];
      case 'rosterChanged':
        this.#homeFinder.setLiveHosts(message.live);
        this.#forgetReplacedHosts(message.live);
        this.#knownHosts = Math.max(1, message.knownCount);
        return [
          ...this.#resendOrphanedQueries(message.live, nowMs),
          ...this.#reportToNewHomes(nowMs),
        ];
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      default:
        return [];
    }
  }

  /** A new process at a host may run earlier code, which does not understand short queries. */
  #forgetReplacedHosts(live: readonly LiveHost[]): void {
    this.#bornMsByHost = new Map(live.map(({hostId, bornMs}) => [hostId, bornMs]));
    for (const [hostId, bornMs] of this.#shortQueryHostIds) {
      if (this.#bornMsByHost.get(hostId) !== bornMs) {
        this.#shortQueryHostIds.delete(hostId);
      }
    }
  }

  #onServers(changed: RegisteredServersChanged, nowMs: number): readonly CoreMessage[] {
    const {servers, outOfService} = changed;
    this.#notices.setServers(servers, nowMs);
    this.#localLimits.retainServers(new Set(servers.map(({id}) => id)));
    this.#servers = servers.filter(
      ({state, dataCentre}) => state === 'in-service' && !outOfService.includes(dataCentre),
    );
    this.#serversByHome.clear();
    this.#serversChangedAtMs = nowMs;
    this.#serverById = new Map(this.#servers.map((server) => [server.id, server]));
    this.#serverIdsByBackend.clear();
    for (const {id, backendId} of this.#servers) {
      const serverIds = this.#serverIdsByBackend.get(backendId) ?? new Set();
      this.#serverIdsByBackend.set(backendId, serverIds.add(id));
    }
    return this.#scopes.setServers(changed) ? this.#reportToNewHomes(nowMs) : [];
  }

  #onServerWanted(wanted: ServerWanted, nowMs: number): readonly CoreMessage[] {
    const usableAtMs = this.#firstUsableAtMs(wanted.backendId, nowMs);
    if (usableAtMs > nowMs) {
      const {requestId} = wanted;
      const retryAfterMs = Number.isFinite(usableAtMs) ? usableAtMs - nowMs : undefined;
      return [{type: 'serverRefused', requestId, kind: 'no-server', retryAfterMs}];
    }
    const scope = this.#ownScope(wanted.backendId);
    const homeId = this.#homeOf(wanted.backendId, scope, nowMs);
    return homeId === undefined
      ? this.#chooseLocally(wanted, nowMs)
      : this.#queryHome(wanted, {homeId, scope, isForwarded: false}, nowMs);
  }

  /**
   * Queries the home of another data centre, to which the own home forwarded a query; where it cannot be reached, or
   * was silent lately, the own home is queried again.
   */
  #queryElsewhere(wanted: ServerWanted, scope: string, nowMs: number): readonly CoreMessage[] {
    const isSilent = (this.#silentScopesUntilMs.get(scope) ?? 0) > nowMs;
    const homeId = isSilent ? undefined : this.#homeOf(wanted.backendId, scope, nowMs);
    return homeId === undefined
      ? this.#queryOwnHomeAgain(wanted, nowMs)
      : this.#queryHome(wanted, {homeId, scope, isForwarded: true}, nowMs);
  }

  /** Queries the own home about a request that it forwarded and that found no server elsewhere. */
  #queryOwnHomeAgain(wanted: ServerWanted, nowMs: number): readonly CoreMessage[] {
    const scope = this.#ownScope(wanted.backendId);
    const homeId = this.#homeOf(wanted.backendId, scope, nowMs);
    return homeId === undefined
      ? this.#chooseLocally(wanted, nowMs)
      : this.#queryHome(wanted, {homeId, scope, isForwarded: true}, nowMs);
  }

  /** Data centre whose home this host queries; undefined where the backend is not divided. */
  #ownScope(backendId: string): string | undefined {
    return this.#scopes.scopeOf(backendId, this.#options.dataCentre);
  }

  /** True for a query at the home of another data centre. */
  #isElsewhere({isForwarded, scope, wanted}: PendingQuery): boolean {
    return isForwarded && scope !== undefined && scope !== this.#ownScope(wanted.backendId);
  }

  /** Host to query as the home of a backend, or of its servers in a data centre; undefined for none. */
  #homeOf(backendId: string, scope: string | undefined, nowMs: number): string | undefined {
    return this.#homeFinder.homeOf(placementHomeKey(backendId, scope), nowMs, scope);
  }

  /**
   * Moment from which the first server of a backend accepts requests of this host, in ms, by what the servers stated;
   * now where none is in service.
   */
  #firstUsableAtMs(backendId: string, nowMs: number): number {
    const serverIds = [...this.#serverIdsOf(backendId)];
    const momentsMs = serverIds.map((serverId) => this.#notices.usableAtMs(serverId, nowMs));
    return momentsMs.length === 0 ? nowMs : Math.min(...momentsMs);
  }

  #queryHome(
    wanted: ServerWanted,
    {homeId, scope, isForwarded}: Pick<PendingQuery, 'homeId' | 'scope' | 'isForwarded'>,
    nowMs: number,
  ): readonly CoreMessage[] {
    const askId = this.#nextQueryId;
    this.#nextQueryId += 1;
    const query: PendingQuery = {
      askId,
      wanted,
      homeId,
      scope,
      isForwarded,
      deadlineAtMs: wanted.deadlineAtMs,
      isWaiting: false,
      hasWaited: false,
      sentAtMs: nowMs,
    };
    this.#pendingQueries.set(askId, query);
    this.#queryIdByRequest.set(wanted.requestId, askId);
    return [this.#sendQuery(query, nowMs), ...this.#armTimer(nowMs)];
  }

  #sendQuery(query: PendingQuery, nowMs: number): CoreMessage {
    const {askId, wanted, homeId, scope, deadlineAtMs} = query;
    const {backendId, isRepeat = false, requestDigest = '', bodyBytes = 0} = wanted;
    const servers = this.#serversOf(backendId, scope);
    const notices = this.#notices.reports(servers.ids, nowMs);
    // A server that this host does not list any more may still be in the home's list.
    const mayBeServed = (serverId: string): boolean => {
      const server = this.#serverById.get(serverId);
      return server === undefined || this.#scopes.serves(scope, server);
    };
    const avoidedIds = new Set(wanted.excludedServerIds.filter(mayBeServed));
    for (const serverId of servers.ids) {
      if (!this.#notices.mayUse(serverId, nowMs)) {
        avoidedIds.add(serverId);
      }
    }
    const isShort = this.#shortQueryHostIds.has(homeId);
    const message: PlaceAskMessage = {
      type: 'placeAsk',
      askId,
      backendId,
      routeId: wanted.routeId ?? '',
      customerId: wanted.customerId ?? '',
      isRepeatable: wanted.isRepeatable,
      priority: wanted.priority ?? 0,
      leftMs: Math.max(0, Math.floor(deadlineAtMs - nowMs)),
      requestName: wanted.requestName ?? '',
      ...(scope === undefined ? {} : {scope}),
      ...(isShort && !isRepeat ? {} : {isRepeat}),
      ...(wanted.isCounted === true ? {isCounted: true} : {}),
      ...(wanted.isHedge === true ? {isHedge: true} : {}),
      ...(isShort && avoidedIds.size === 0 ? {} : {avoidedIds: [...avoidedIds]}),
      ...(isShort && requestDigest === '' ? {} : {requestDigest}),
      ...(isShort && bodyBytes === 0 ? {} : {bodyBytes}),
      ...(notices.length === 0 ? {} : {notices}),
      ...(query.isForwarded ? {isForwarded: true} : {}),
      ...this.#connections(servers, isShort, nowMs),
    };
    return {type: 'sendToPeer', toHostId: homeId, message};
  }

  /**
   * The servers of a home to which this host has an idle connection: by number where the home understands that and
   * has had time to learn of the list, else by id.
   */
  #connections(
    servers: HomeServers,
    isShort: boolean,
    nowMs: number,
  ): Pick<PlaceAskMessage, 'connectedIds' | 'connectedBits' | 'listHash'> {
    const {ids, numbers, sinceMs} = servers;
    if (isShort && nowMs - sinceMs >= listSpreadMs) {
      servers.connectedBits ??= numbers.encode(this.#connectedIds);
      const {connectedBits} = servers;
      return connectedBits.length === 0 ? {} : {connectedBits, listHash: numbers.listHash};
    }
    const connectedIds = [...this.#connectedIds].filter((id) => ids.has(id));
    return isShort && connectedIds.length === 0 ? {} : {connectedIds};
  }

  /** Servers in service of a home, as far as this host knows. */
  #serversOf(backendId: string, scope: string | undefined): HomeServers {
    const homeKey = placementHomeKey(backendId, scope);
    let homeServers = this.#serversByHome.get(homeKey);
    if (homeServers === undefined) {
      const servers = this.#servers.filter(
        (server) => server.backendId === backendId && this.#scopes.serves(scope, server),
      );
      const numbers = new ServerNumbers(servers, this.#options.hash);
      const {listHash} = numbers;
      const known = this.#listsSince.get(homeKey);
      const sinceMs = known?.listHash === listHash ? known.sinceMs : this.#serversChangedAtMs;
      this.#listsSince.set(homeKey, {listHash, sinceMs});
      const ids = new Set(servers.map(({id}) => id));
      homeServers = {ids, numbers, sinceMs, connectedBits: undefined};
      this.#serversByHome.set(homeKey, homeServers);
    }
    return homeServers;
  }

  /** Ids of the servers of a backend that are in service. */
  #serverIdsOf(backendId: string): ReadonlySet<string> {
    return this.#serverIdsByBackend.get(backendId) ?? new Set();
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type !== 'placeAnswer') {
      return [];
    }
    this.#homeFinder.markResponsive(fromHostId);
    const bornMs = this.#bornMsByHost.get(fromHostId);
    if (message.readsShortQueries === true && bornMs !== undefined) {
      this.#shortQueryHostIds.set(fromHostId, bornMs);
    }
    const query = this.#pendingQueries.get(message.askId);
    if (query?.homeId !== fromHostId) {
      return message.state === 'granted' ? this.#releaseServer(fromHostId, message) : [];
    }
    switch (message.state) {
      case 'waiting':
        query.isWaiting = true;
        query.hasWaited = true;
        return [];
      case 'refused': {
        this.#removeQuery(query);
        if (this.#isElsewhere(query) && !query.hasWaited) {
          return this.#queryOwnHomeAgain(query.wanted, nowMs);
        }
        const {requestId} = query.wanted;
        const {kind = 'overloaded', retryAfterMs} = message;
        return [{type: 'serverRefused', requestId, kind, retryAfterMs}];
      }
      case 'elsewhere':
        this.#removeQuery(query);
        return this.#queryElsewhere(query.wanted, message.dataCentre ?? '', nowMs);
      case 'granted':
        return this.#onGranted(query, message, nowMs);
    }
  }

  #onGranted(query: PendingQuery, reply: PlaceAnswer, nowMs: number): readonly CoreMessage[] {
    this.#removeQuery(query);
    const {serverId = '', secondAfterMs, needsNewConnection} = reply;
    const server = this.#serverById.get(serverId);
    if (server === undefined || !this.#notices.mayUse(serverId, nowMs)) {
      // The home does not know yet that the server is gone or wants no requests: query again without it.
      const {wanted} = query;
      const excludedServerIds = [...wanted.excludedServerIds, serverId];
      return [
        ...this.#releaseServer(query.homeId, reply),
        ...this.#onServerWanted({...wanted, excludedServerIds, isCounted: true}, nowMs),
      ];
    }
    const {requestId, backendId, routeId = ''} = query.wanted;
    this.#addGrant({
      askId: query.askId,
      requestId,
      backendId,
      routeId,
      serverId,
      dataCentre: server.dataCentre,
      startedAtMs: nowMs,
      homeId: query.homeId,
      homeScope: query.scope,
      formerHomeIds: [],
      notice: undefined,
    });
    return [
      {
        type: 'serverGranted',
        requestId,
        serverId,
        origin: server.origin,
        secondAfterMs,
        needsNewConnection,
      },
    ];
  }

  #chooseLocally(wanted: ServerWanted, nowMs: number): readonly CoreMessage[] {
    const {requestId, backendId, routeId = '', excludedServerIds} = wanted;
    const runningByServer = new Map<string, number>();
    for (const {serverId} of this.#grants.values()) {
      runningByServer.set(serverId, (runningByServer.get(serverId) ?? 0) + 1);
    }
    const servers = this.#servers.filter(
      (server) =>
        server.backendId === backendId &&
        this.#notices.mayUse(server.id, nowMs) &&
        this.#localLimits.mayStart(server.id, nowMs),
    );
    const isFirstAttempt = wanted.isRepeat !== true;
    const server = isFirstAttempt
      ? this.#localSelector.select(servers, runningByServer, excludedServerIds, nowMs)
      : undefined;
    const {requestName} = wanted;
    const fields = {requestName, backendId, serverId: server?.id, servers: servers.length};
    const log: CoreMessage = {type: 'log', level: 'warn', event: 'place.alone', fields};
    if (server === undefined) {
      return [log, {type: 'serverRefused', requestId, kind: 'no-server', retryAfterMs: undefined}];
    }
    const {id: serverId, origin, dataCentre} = server;
    const askId = this.#nextQueryId;
    this.#nextQueryId += 1;
    this.#addGrant({
      askId,
      requestId,
      backendId,
      routeId,
      serverId,
      dataCentre,
      startedAtMs: nowMs,
      homeId: undefined,
      homeScope: undefined,
      formerHomeIds: [],
      notice: undefined,
    });
    this.#localLimits.recordStart(serverId, 1 / this.#knownHosts, nowMs);
    const count: CoreMessage = {type: 'count', name: 'place.alone', tags: {backend: backendId}};
    return [log, count, {type: 'serverGranted', requestId, serverId, origin}];
  }

  #addGrant(grant: GrantedAttempt): void {
    this.#grants.set(`${grant.requestId}/${grant.serverId}`, grant);
  }

  /** Releases a server that was granted but is not used. */
  #releaseServer(homeId: string, {askId}: PlaceAnswer): readonly CoreMessage[] {
    const message: PeerMessage = {type: 'placeEnded', askId, outcome: 'cancelled', ranForMs: 0};
    return [{type: 'sendToPeer', toHostId: homeId, message}];
  }

  #onReleased(released: ServerReleased, nowMs: number): readonly CoreMessage[] {
    const {requestId, serverId, backendId, outcome, isInconclusive} = released;
    const {ranForMs = released.latencyMs} = released;
    const key = `${requestId}/${serverId}`;
    const grant = this.#grants.get(key);
    if (grant === undefined) {
      return [];
    }
    this.#grants.delete(key);
    this.#localSelector.recordOutcome(serverId, outcome, nowMs);
    if (outcome !== 'cancelled') {
      this.#lastOutcomes.delete(serverId);
      this.#lastOutcomes.set(serverId, {
        backendId,
        dataCentre: grant.dataCentre,
        outcome,
        startedAtMs: grant.startedAtMs,
        ranForMs,
      });
    }
    const {homeId, formerHomeIds, askId, notice} = grant;
    const message: PeerMessage = {type: 'placeEnded', askId, outcome, ranForMs, notice};
    if (isInconclusive === true) {
      message.isInconclusive = true;
    }
    const homeIds = homeId === undefined ? [] : [...new Set([homeId, ...formerHomeIds])];
    return homeIds.map((toHostId) => ({type: 'sendToPeer', toHostId, message}));
  }

  /** Records what a server states about itself, and logs it where that is new. */
  #onNoticed({requestId, serverId, notice}: ServerNoticed, nowMs: number): readonly CoreMessage[] {
    const grant = this.#grants.get(`${requestId ?? ''}/${serverId}`);
    if (grant !== undefined) {
      grant.notice = notice;
    }
    this.#recordLocalLimit(serverId, notice, nowMs);
    if (!this.#notices.record(serverId, notice, nowMs)) {
      return [];
    }
    return [
      {type: 'log', level: 'info', event: 'server.notice', fields: {serverId, ...notice}},
      {type: 'count', name: 'server.notice', tags: {}},
    ];
  }

  #recordLocalLimit(serverId: string, notice: ServerNotice, nowMs: number): void {
    const {limitPerSecond: perSecond} = notice;
    if (perSecond === undefined) {
      this.#localLimits.recordNoLimit(serverId, nowMs);
      return;
    }
    const limit = {perSecond, namedAtMs: nowMs, share: 1 / this.#knownHosts};
    this.#localLimits.recordLimit(serverId, limit, nowMs);
  }

  #withdraw(requestId: number): readonly CoreMessage[] {
    const askId = this.#queryIdByRequest.get(requestId);
    const query = askId === undefined ? undefined : this.#pendingQueries.get(askId);
    if (query === undefined) {
      return [];
    }
    this.#removeQuery(query);
    const message: PeerMessage = {type: 'placeWithdrawn', askId: query.askId};
    return [{type: 'sendToPeer', toHostId: query.homeId, message}];
  }

  #removeQuery({askId, wanted}: PendingQuery): void {
    this.#pendingQueries.delete(askId);
    this.#queryIdByRequest.delete(wanted.requestId);
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTimerSet || this.#pendingQueries.size === 0) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    const messages: CoreMessage[] = [];
    for (const query of [...this.#pendingQueries.values()]) {
      messages.push(...this.#checkQuery(query, nowMs));
    }
    return [...messages, ...this.#armTimer(nowMs)];
  }

  /** Sends a waiting query again; moves a query without any reply to the next home. */
  #checkQuery(query: PendingQuery, nowMs: number): readonly CoreMessage[] {
    const {homeTimeoutMs, resendIntervalMs} = this.#options;
    const silentMs = nowMs - query.sentAtMs;
    if (query.isWaiting && silentMs >= resendIntervalMs) {
      query.isWaiting = false;
      query.sentAtMs = nowMs;
      return [this.#sendQuery(query, nowMs)];
    }
    if (query.isWaiting || silentMs < homeTimeoutMs) {
      return [];
    }
    this.#removeQuery(query);
    this.#homeFinder.markSilent(query.homeId, nowMs);
    const {requestName, backendId} = query.wanted;
    const {homeId, scope} = query;
    const fields = {requestName, backendId, homeId, scope, silentMs: Math.round(silentMs)};
    const withdrawn: PeerMessage = {type: 'placeWithdrawn', askId: query.askId};
    return [
      {type: 'log', level: 'warn', event: 'place.homeSilent', fields},
      {type: 'count', name: 'place.homeSilent', tags: {}},
      {type: 'sendToPeer', toHostId: query.homeId, message: withdrawn},
      ...this.#reportToNewHomes(nowMs),
      ...this.#moveQuery(query, nowMs),
    ];
  }

  /** Sends a query whose home is silent or gone to another one. */
  #moveQuery(query: PendingQuery, nowMs: number): readonly CoreMessage[] {
    if (this.#isElsewhere(query) && query.scope !== undefined) {
      this.#silentScopesUntilMs.set(query.scope, nowMs + silentScopeMs);
    }
    const wanted = {...query.wanted, isCounted: true};
    return query.isForwarded
      ? this.#queryOwnHomeAgain(wanted, nowMs)
      : this.#onServerWanted(wanted, nowMs);
  }

  /** Sends queries again whose home is gone. */
  #resendOrphanedQueries(live: readonly LiveHost[], nowMs: number): readonly CoreMessage[] {
    const liveIds = new Set(live.map(({hostId}) => hostId));
    const messages: CoreMessage[] = [];
    for (const query of [...this.#pendingQueries.values()]) {
      if (!liveIds.has(query.homeId)) {
        this.#removeQuery(query);
        messages.push(...this.#moveQuery(query, nowMs));
      }
    }
    return messages;
  }

  /** Reports to the new homes of backends what this host runs there and which outcomes it saw recently. */
  #reportToNewHomes(nowMs: number): readonly CoreMessage[] {
    const newHomes = new Map<string, {backendId: string; scope: string | undefined}>();
    for (const {backendId, dataCentre, homeId, homeScope} of this.#grants.values()) {
      const scope = this.#scopes.scopeOf(backendId, dataCentre);
      const newHomeId = this.#homeOf(backendId, scope, nowMs);
      const isMoved = homeId !== newHomeId || homeScope !== scope;
      if (homeId !== undefined && newHomeId !== undefined && isMoved) {
        newHomes.set(placementHomeKey(backendId, scope), {backendId, scope});
      }
    }
    const messages: CoreMessage[] = [];
    for (const {backendId, scope} of newHomes.values()) {
      messages.push(...this.#sendHello(backendId, scope, nowMs));
    }
    return messages;
  }

  #sendHello(backendId: string, scope: string | undefined, nowMs: number): readonly CoreMessage[] {
    const homeId = this.#homeOf(backendId, scope, nowMs);
    if (homeId === undefined) {
      return [];
    }
    const isServed = (served: {backendId: string; dataCentre: string}): boolean =>
      served.backendId === backendId &&
      this.#scopes.scopeOf(backendId, served.dataCentre) === scope;
    const running = [];
    for (const grant of this.#grants.values()) {
      if (isServed(grant)) {
        if (grant.homeId !== undefined && grant.homeId !== homeId) {
          grant.formerHomeIds.push(grant.homeId);
        }
        grant.homeId = homeId;
        grant.homeScope = scope;
        const {askId, serverId, routeId, startedAtMs} = grant;
        running.push({askId, serverId, routeId, ageMs: nowMs - startedAtMs});
      }
    }
    const recent = [];
    for (const [serverId, lastOutcome] of this.#lastOutcomes) {
      const {outcome, startedAtMs, ranForMs} = lastOutcome;
      const startedAgoMs = nowMs - startedAtMs;
      if (isServed(lastOutcome) && startedAgoMs < recentOutcomeMs) {
        recent.push({serverId, outcome, startedAgoMs, ranForMs});
      }
    }
    const message: PeerMessage = {type: 'placeHello', backendId, scope, running, recent};
    return [{type: 'sendToPeer', toHostId: homeId, message}];
  }
}
