import type {DiscoveredServer, FleetDocument} from '@godwitspring/document';
import {HomeFinder} from '../fleet/homeFinder.ts';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {fleetShare} from '../fleet/fleetShare.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RosterChanged, RegisteredServersChanged} from '../messages/hostMessages.ts';
import {readPlaceAsk} from '../messages/peerMessages.ts';
import type {
  PeerMessage,
  PlaceAnswer,
  PlaceAsk,
  PlaceAskMessage,
  PlaceEnded,
  PlaceHello,
  PlaceSummary,
} from '../messages/peerMessages.ts';
import {BackendHome} from './backendHome.ts';
import {HomeScopes, placementHomeKey} from './homeScope.ts';
import {ServerNumbers} from './serverNumbers.ts';
import {SiblingSummaries} from './siblingSummaries.ts';
import type {EntryHost, PlacementDecision, QueueDecision} from './placementDecision.ts';

/** Options of the task that places attempts as the home of backends. */
export interface PlacementHomeTaskOptions {
  readonly selfId: string;
  readonly bounds: FleetBounds;
  readonly hash: HashFunction;
}

const timerId = 'placement.line';
const summaryTimerId = 'placement.summary';
/** Interval at which the homes of a divided backend send each other summaries, in ms. */
const summaryIntervalMs = 200;
/** Lists of servers by which a home understands server numbers; hosts have the same list within a second. */
const maxServerLists = 8;
/** Time after its last query for which a home sends summaries, in ms. */
const activeForMs = 2_000;
/** Interval at which the queues are checked, besides each end of an attempt, in ms. */
const sweepMs = 25;
/** Interval at which attempts whose end was never reported are looked for, in ms. */
const lostAttemptCheckMs = 500;
/** Time for which a reply is stored, so that a query that is sent again gets the same reply, in ms. */
const replyRetentionMs = 3_000;

/** A reply and the time at which it was sent. */
interface SentReply {
  readonly reply: PlaceAnswer;
  readonly atMs: number;
}

/** State of this host as the home of a backend, or of the backend's servers in a data centre. */
interface PlacementHome {
  readonly backendId: string;
  /** Data centre whose home it is; undefined for the home of an undivided backend. */
  readonly scope: string | undefined;
  readonly home: BackendHome;
  /** What the homes in other data centres reported; undefined for the home of an undivided backend. */
  readonly siblings: SiblingSummaries | undefined;
  /** Numbers of its servers in the newest lists, oldest first. */
  readonly serverNumbers: ServerNumbers[];
  readonly createdAtMs: number;
  lastQueryAtMs: number;
}

/** Name of a home in logs, in the status and in the maps of the task. */
function homeNameOf(backendId: string, scope: string | undefined): string {
  return scope === undefined ? backendId : `${backendId}@${scope}`;
}

/** A reply to a query, without the fields that depend on its state. */
function createReply(askId: number, state: PlaceAnswer['state']): PlaceAnswer {
  return {type: 'placeAnswer', askId, state, readsShortQueries: true};
}

/** Why a request was granted a server, waits or is refused, for the metrics. */
function admissionReason(placement: PlacementDecision, waitedMs: number): string {
  switch (placement.state) {
    case 'granted':
      return waitedMs > 0 ? 'waited' : 'at-once';
    case 'elsewhere':
      return 'other-data-centre';
    case 'waiting':
      return placement.reason ?? 'in-time';
    case 'refused':
      return placement.reason ?? placement.withheld ?? placement.kind;
  }
}

/** Counts a decision in the metrics. */
function countAdmission(
  priority: number,
  placement: PlacementDecision,
  waitedMs: number,
): CoreMessage {
  const reason = admissionReason(placement, waitedMs);
  const tags = {priority: String(priority), decision: placement.state, reason};
  return {type: 'count', name: 'place.admission', tags};
}

/**
 * Replies to placement queries as the home of backends: the host that owns a backend by rendezvous hashing
 * and decides for the whole fleet where the backend's attempts run. A divided backend has a home for each data
 * centre with many servers, which decides on the attempts at the servers there. The task replies to every host that queries it,
 * whether or not other hosts see it as the home.
 */
export class PlacementHomeTask implements CoreTask {
  readonly accepts = [
    'peerMessageReceived',
    'documentInForce',
    'registeredServersChanged',
    'rosterChanged',
    'timerFired',
    'statusWanted',
  ] as const;

  readonly #options: PlacementHomeTaskOptions;
  readonly #homes = new Map<string, PlacementHome>();
  /** Names of the homes of this host that count or queue a query, by `hostId/askId`. */
  readonly #homeNamesByKey = new Map<string, readonly string[]>();
  readonly #scopes: HomeScopes;
  readonly #homeFinder: HomeFinder;
  /** Hosts that are known to understand summaries, with the start of their process. */
  readonly #summaryHosts = new Map<string, number>();
  #bornMsByHost = new Map<string, number>();
  readonly #sentReplies = new Map<string, SentReply>();
  #dataCentreByHost = new Map<string, string>();
  #document: FleetDocument | undefined;
  #servers: RegisteredServersChanged | undefined;
  #fleetShare = 1;
  #knownHosts = 1;
  #isTimerSet = false;
  #isSummaryTimerSet = false;
  #nextLostCheckAtMs = 0;

  constructor(options: PlacementHomeTaskOptions) {
    this.#options = options;
    this.#scopes = new HomeScopes(options.hash);
    this.#homeFinder = new HomeFinder(options.hash, {isByCapacity: true});
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'registeredServersChanged':
        return this.#onServers(message, nowMs);
      case 'rosterChanged':
        return this.#onRoster(message, nowMs);
      case 'timerFired':
        return this.#onTimerFired(message.timerId, nowMs);
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const [homeName, {home, siblings}] of this.#homes) {
      value[homeName] = {
        waiting: home.admission.queue.size,
        running: home.runningCount,
        servers: home.serverCount,
        failedShare: home.failedShare,
        examinedCandidates: home.examinedCandidates,
        siblings: siblings?.status(nowMs),
      };
    }
    return {type: 'statusReported', askId, section: 'placement', value};
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#document = document;
    for (const {home} of this.#homes.values()) {
      home.setDocument(document);
      home.admission.setCustomers(document.customers);
    }
    return [];
  }

  #onServers(servers: RegisteredServersChanged, nowMs: number): readonly CoreMessage[] {
    this.#servers = servers;
    const messages = this.#scopes.setServers(servers) ? this.#logDivision(servers) : [];
    for (const home of this.#homes.values()) {
      this.#setServers(home, servers, nowMs);
    }
    return [...messages, ...this.#sweepQueues(nowMs)];
  }

  /** Gives a home the servers that it serves. */
  #setServers(
    {backendId, home, scope, siblings, serverNumbers}: PlacementHome,
    changed: RegisteredServersChanged,
    nowMs: number,
  ): void {
    const isServed = (server: DiscoveredServer): boolean => this.#scopes.serves(scope, server);
    const servers = scope === undefined ? changed.servers : changed.servers.filter(isServed);
    home.setServers({...changed, servers}, nowMs);
    const scopes = this.#scopes.scopesOf(backendId);
    const numbers = this.#numberServers(backendId, {...changed, servers});
    if (numbers.listHash !== serverNumbers.at(-1)?.listHash) {
      serverNumbers.push(numbers);
      serverNumbers.splice(0, serverNumbers.length - maxServerLists);
    }
    siblings?.retain(scopes);
  }

  /** Numbers the servers in service of a backend among those that a home serves. */
  #numberServers(
    backendId: string,
    {servers, outOfService}: RegisteredServersChanged,
  ): ServerNumbers {
    const own = servers.filter(
      (server) => server.backendId === backendId && !outOfService.includes(server.dataCentre),
    );
    return new ServerNumbers(own, this.#options.hash);
  }

  /** Logs how the backends of which this host is a home are divided. */
  #logDivision({servers}: RegisteredServersChanged): CoreMessage[] {
    const messages: CoreMessage[] = [];
    const backendIds = new Set([...this.#homes.values()].map(({backendId}) => backendId));
    for (const backendId of backendIds) {
      const scopes = this.#scopes.scopesOf(backendId);
      const count = servers.filter((server) => server.backendId === backendId).length;
      const fields = {backendId, scopes, servers: count};
      messages.push({type: 'log', level: 'info', event: 'place.scopes', fields});
    }
    return messages;
  }

  #onRoster(roster: RosterChanged, nowMs: number): readonly CoreMessage[] {
    this.#dataCentreByHost = new Map(
      roster.live.map(({hostId, dataCentre}) => [hostId, dataCentre]),
    );
    this.#homeFinder.setLiveHosts(roster.live);
    this.#bornMsByHost = new Map(roster.live.map(({hostId, bornMs}) => [hostId, bornMs]));
    for (const [hostId, bornMs] of this.#summaryHosts) {
      // A new process may run earlier code, which does not understand summaries.
      if (this.#bornMsByHost.get(hostId) !== bornMs) {
        this.#summaryHosts.delete(hostId);
      }
    }
    this.#fleetShare = fleetShare(roster, this.#options.bounds.rateOvershoot);
    this.#knownHosts = roster.knownCount;
    for (const {home} of this.#homes.values()) {
      home.setFleetShare(this.#fleetShare);
      home.setKnownHosts(this.#knownHosts);
    }
    this.#removeLostAttempts(nowMs);
    return this.#sweepQueues(nowMs);
  }

  #removeLostAttempts(nowMs: number): void {
    this.#nextLostCheckAtMs = nowMs + lostAttemptCheckMs;
    for (const {home} of this.#homes.values()) {
      const isAlive = (hostId: string): boolean => this.#dataCentreByHost.has(hostId);
      for (const key of home.removeLostAttempts(isAlive, nowMs)) {
        this.#homeNamesByKey.delete(key);
      }
    }
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'placeAsk':
        return this.#onQuery(fromHostId, message, nowMs);
      case 'placeEnded':
        return this.#onEnded(fromHostId, message, nowMs);
      case 'placeWithdrawn':
        return this.#onWithdrawn(`${fromHostId}/${message.askId}`, nowMs);
      case 'placeHello':
        return this.#onHello(fromHostId, message, nowMs);
      case 'placeSummary':
        return this.#onSummary(fromHostId, message, nowMs);
      default:
        return [];
    }
  }

  #onHello(fromHostId: string, hello: PlaceHello, nowMs: number): readonly CoreMessage[] {
    const {backendId, scope, running, isSummaryWanted = false} = hello;
    if (isSummaryWanted) {
      return this.#onSummaryWanted(fromHostId, hello, nowMs);
    }
    this.#home(backendId, scope, nowMs).home.adoptAttempts(fromHostId, hello, nowMs);
    for (const {askId} of running) {
      this.#addHomeName(`${fromHostId}/${askId}`, homeNameOf(backendId, scope));
    }
    return [];
  }

  #onQuery(hostId: string, message: PlaceAskMessage, nowMs: number): readonly CoreMessage[] {
    const key = `${hostId}/${message.askId}`;
    if (nowMs >= this.#nextLostCheckAtMs) {
      this.#removeLostAttempts(nowMs);
    }
    const placementHome = this.#home(message.backendId, message.scope, nowMs);
    placementHome.lastQueryAtMs = nowMs;
    const {home, serverNumbers} = placementHome;
    const {connectedBits, listHash} = message;
    const numbers = serverNumbers.findLast((known) => known.listHash === listHash);
    const connectedIds = connectedBits === undefined ? undefined : numbers?.decode(connectedBits);
    const query = readPlaceAsk(message, connectedIds ?? []);
    if (home.admission.queue.has(key)) {
      return [{type: 'sendToPeer', toHostId: hostId, message: createReply(query.askId, 'waiting')}];
    }
    const sentReply = this.#sentReplies.get(key);
    if (sentReply !== undefined && sentReply.reply.state !== 'waiting') {
      return [{type: 'sendToPeer', toHostId: hostId, message: sentReply.reply}];
    }
    this.#addHomeName(key, homeNameOf(query.backendId, query.scope));
    const placement = home.handleQuery(key, query, this.#entryHost(hostId), nowMs);
    return [
      ...this.#sendDecision(key, hostId, query, placement, 0, nowMs),
      ...this.#armTimer(nowMs),
      ...this.#armSummaryTimer(nowMs),
    ];
  }

  /** Sends a decision to the host that queried, stores it in case the query is sent again, and logs it. */
  #sendDecision(
    key: string,
    hostId: string,
    query: PlaceAsk,
    placement: PlacementDecision,
    waitedMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {askId, backendId, scope, requestName, requestDigest} = query;
    const {isRepeat, isRepeatable, priority, customerId} = query;
    const reply = createReply(askId, placement.state);
    const fields: Record<string, unknown> = {
      requestName,
      requestDigest,
      hostId,
      backendId,
      scope,
      isRepeat,
      isRepeatable,
      isForwarded: query.isForwarded,
      priority,
      customerId,
      ...placement,
      waitedMs,
    };
    if (placement.state === 'granted') {
      reply.serverId = placement.serverId;
      if (placement.secondAfterMs !== undefined) {
        reply.secondAfterMs = Math.round(placement.secondAfterMs);
      }
      if (placement.needsNewConnection) {
        reply.needsNewConnection = true;
      }
    }
    if (placement.state === 'elsewhere') {
      this.#homeNamesByKey.delete(key);
      reply.dataCentre = placement.dataCentre;
    }
    if (placement.state === 'refused') {
      this.#homeNamesByKey.delete(key);
      reply.kind = placement.kind;
      reply.retryAfterMs = Math.ceil(placement.retryAfterMs);
    }
    this.#sentReplies.set(key, {reply, atMs: nowMs});
    const {home, createdAtMs} = this.#home(backendId, scope, nowMs);
    fields.waiting = home.admission.queue.size;
    fields.servers = home.serverCount;
    if (isRepeat) {
      fields.retriesLeft = Math.round(home.retriesLeft * 10) / 10;
      fields.homeForMs = Math.round(nowMs - createdAtMs);
    }
    const messages: CoreMessage[] = [
      {type: 'sendToPeer', toHostId: hostId, message: reply},
      countAdmission(priority, placement, waitedMs),
      {type: 'log', level: 'info', event: `place.${placement.state}`, fields},
    ];
    const decision = query.isForwarded === true ? `forwarded-${placement.state}` : placement.state;
    if (isRepeat && placement.state !== 'waiting') {
      messages.push({type: 'count', name: 'place.retry', tags: {backend: backendId, decision}});
    }
    if (scope !== undefined) {
      const tags = {backend: backendId, dataCentre: scope, decision};
      messages.push({type: 'count', name: 'place.scope', tags});
    }
    if (placement.state === 'refused' && placement.withheld !== undefined) {
      const tags = {route: query.routeId, reason: placement.withheld};
      messages.push({type: 'count', name: 'hedge.withheld', tags});
    }
    return messages;
  }

  #onEnded(hostId: string, ended: PlaceEnded, nowMs: number): readonly CoreMessage[] {
    const key = `${hostId}/${ended.askId}`;
    const messages: CoreMessage[] = [];
    for (const home of this.#homesOfKey(key)) {
      if (home.finishAttempt(key, ended, nowMs)) {
        messages.push(...this.#serveQueue(home, nowMs));
      }
    }
    this.#homeNamesByKey.delete(key);
    return messages;
  }

  /** Drops a query that waits, or frees the server that was granted to it: the host did not get the reply. */
  #onWithdrawn(key: string, nowMs: number): readonly CoreMessage[] {
    const unused = {type: 'placeEnded', askId: 0, outcome: 'cancelled', ranForMs: 0} as const;
    const messages: CoreMessage[] = [];
    for (const home of this.#homesOfKey(key)) {
      if (home.admission.queue.has(key)) {
        home.admission.remove(key, nowMs);
      } else if (home.finishAttempt(key, unused, nowMs)) {
        messages.push(...this.#serveQueue(home, nowMs));
      }
    }
    this.#homeNamesByKey.delete(key);
    return messages;
  }

  /**
   * Homes of this host that know a query: more than one where the backend was divided or joined while its attempt
   * ran, as its host then reported the attempt to the new home.
   */
  #homesOfKey(key: string): BackendHome[] {
    const homes: BackendHome[] = [];
    for (const homeName of this.#homeNamesByKey.get(key) ?? []) {
      const home = this.#homes.get(homeName)?.home;
      if (home !== undefined) {
        homes.push(home);
      }
    }
    return homes;
  }

  #addHomeName(key: string, homeName: string): void {
    const homeNames = this.#homeNamesByKey.get(key) ?? [];
    if (!homeNames.includes(homeName)) {
      this.#homeNamesByKey.set(key, [...homeNames, homeName]);
    }
  }

  #sweepQueues(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const {home} of this.#homes.values()) {
      messages.push(...this.#serveQueue(home, nowMs, true));
    }
    return messages;
  }

  /** Sends what a home decides on the queries that wait there. */
  #serveQueue(home: BackendHome, nowMs: number, isSweep = false): readonly CoreMessage[] {
    if (home.admission.queue.size === 0) {
      return [];
    }
    return this.#sendDecisions(home.serveQueue(nowMs, {isSweep}), nowMs);
  }

  #sendDecisions(decisions: readonly QueueDecision[], nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const {key, entryHost, query, decision, waitedMs, ...details} of decisions) {
      const detailed = {...details, ...decision};
      messages.push(...this.#sendDecision(key, entryHost.hostId, query, detailed, waitedMs, nowMs));
    }
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    const isWaiting = [...this.#homes.values()].some(({home}) => home.admission.queue.size > 0);
    if (this.#isTimerSet || !isWaiting) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    return [...this.#sweepQueues(nowMs), ...this.#armTimer(nowMs)];
  }

  #onTimerFired(firedTimerId: string, nowMs: number): readonly CoreMessage[] {
    switch (firedTimerId) {
      case timerId:
        return this.#onTimer(nowMs);
      case summaryTimerId:
        this.#isSummaryTimerSet = false;
        return [...this.#sendSummaries(nowMs), ...this.#armSummaryTimer(nowMs)];
      default:
        return [];
    }
  }

  /** True where a home had queries lately and the backend is divided, so that it reports to its siblings. */
  #isReporting({backendId, scope, lastQueryAtMs}: PlacementHome, nowMs: number): boolean {
    return (
      scope !== undefined &&
      nowMs - lastQueryAtMs <= activeForMs &&
      this.#scopes.scopesOf(backendId).includes(scope)
    );
  }

  #armSummaryTimer(nowMs: number): readonly CoreMessage[] {
    const isWanted =
      !this.#isSummaryTimerSet &&
      [...this.#homes.values()].some((home) => this.#isReporting(home, nowMs));
    if (!isWanted) {
      return [];
    }
    this.#isSummaryTimerSet = true;
    return [{type: 'timerWanted', timerId: summaryTimerId, atMs: nowMs + summaryIntervalMs}];
  }

  #sendSummaries(nowMs: number): readonly CoreMessage[] {
    const {selfId} = this.#options;
    const messages: CoreMessage[] = [];
    for (const home of this.#homes.values()) {
      if (this.#isReporting(home, nowMs)) {
        const message = this.#takeSummary(home, nowMs);
        messages.push(...this.#logSiblings(home, nowMs));
        for (const toHostId of this.#siblingHostIds(home, nowMs)) {
          const isUnderstood = toHostId === selfId || this.#summaryHosts.has(toHostId);
          messages.push({
            type: 'sendToPeer',
            toHostId,
            message: isUnderstood ? message : this.#summaryQuery(home),
          });
        }
      }
    }
    return messages;
  }

  /** Queries a host for its summary in a message that hosts with earlier code read as a report of no attempts. */
  #summaryQuery({backendId, scope}: PlacementHome): PlaceHello {
    return {
      type: 'placeHello',
      backendId,
      scope,
      running: [],
      recent: [],
      isSummaryWanted: true,
    };
  }

  #onSummaryWanted(
    fromHostId: string,
    {backendId, scope: fromScope}: PlaceHello,
    nowMs: number,
  ): readonly CoreMessage[] {
    this.#markUnderstanding(fromHostId);
    const messages: CoreMessage[] = [];
    for (const scope of this.#ownScopes(backendId, nowMs)) {
      if (scope !== fromScope) {
        const home = this.#home(backendId, scope, nowMs);
        const message = {...this.#takeSummary(home, nowMs), isReply: true};
        messages.push({type: 'sendToPeer', toHostId: fromHostId, message});
      }
    }
    return messages;
  }

  #markUnderstanding(hostId: string): void {
    const bornMs = this.#bornMsByHost.get(hostId);
    if (bornMs !== undefined) {
      this.#summaryHosts.set(hostId, bornMs);
    }
  }

  /** Data centres for which this host is a home of a backend, or the first host by rank. */
  #ownScopes(backendId: string, nowMs: number): string[] {
    return this.#scopes.scopesOf(backendId).filter((scope) => {
      const homeKey = placementHomeKey(backendId, scope);
      return (
        this.#homes.has(homeNameOf(backendId, scope)) ||
        this.#homeFinder.homeOf(homeKey, nowMs, scope) === this.#options.selfId
      );
    });
  }

  /** Logs the data centres of which this home no longer gets summaries, or gets them again. */
  #logSiblings({backendId, scope, siblings}: PlacementHome, nowMs: number): CoreMessage[] {
    const changes = siblings?.takeChanges(nowMs) ?? [];
    return changes.map(({dataCentre, isAbsent}) => ({
      type: 'log',
      level: isAbsent ? 'warn' : 'info',
      event: isAbsent ? 'place.siblingSilent' : 'place.siblingHeard',
      fields: {backendId, scope, dataCentre},
    }));
  }

  #takeSummary({backendId, scope = '', home}: PlacementHome, nowMs: number): PlaceSummary {
    return {type: 'placeSummary', backendId, dataCentre: scope, ...home.takeSummary(nowMs)};
  }

  /**
   * Hosts that serve as home in the other data centres: the first by rank, and the one that sent the newest summary,
   * which is another one while the first is silent.
   */
  #siblingHostIds({backendId, scope, siblings}: PlacementHome, nowMs: number): Set<string> {
    const hostIds = new Set<string>();
    for (const other of this.#scopes.scopesOf(backendId)) {
      const homeKey = placementHomeKey(backendId, other);
      for (const hostId of [
        this.#homeFinder.homeOf(homeKey, nowMs, other),
        siblings?.senderOf(other, nowMs),
      ]) {
        if (other !== scope && hostId !== undefined) {
          hostIds.add(hostId);
        }
      }
    }
    return hostIds;
  }

  /**
   * Applies the summary of a sibling to each home of the backend at this host. A home without recent queries sends
   * its own in return, so that its free slots are known.
   */
  #onSummary(fromHostId: string, summary: PlaceSummary, nowMs: number): readonly CoreMessage[] {
    const {backendId, dataCentre, isReply = false, served} = summary;
    const messages: CoreMessage[] = [];
    this.#markUnderstanding(fromHostId);
    for (const scope of this.#ownScopes(backendId, nowMs)) {
      if (scope === dataCentre) {
        continue;
      }
      const sibling = this.#home(backendId, scope, nowMs);
      if (sibling.siblings?.record(fromHostId, summary, nowMs) !== true) {
        continue;
      }
      for (const [customerId, count] of served) {
        sibling.home.admission.queue.recordServed(customerId, nowMs, count);
      }
      messages.push(...this.#sendDecisions(sibling.home.forwardWaiting(nowMs), nowMs));
      if (!isReply && !this.#isReporting(sibling, nowMs)) {
        const message = {...this.#takeSummary(sibling, nowMs), isReply: true};
        messages.push({type: 'sendToPeer', toHostId: fromHostId, message});
      }
    }
    return messages;
  }

  #entryHost(hostId: string): EntryHost {
    return {hostId, dataCentre: this.#dataCentreByHost.get(hostId) ?? ''};
  }

  /** The state of a home, created with the first query for it. */
  #home(backendId: string, scope: string | undefined, nowMs: number): PlacementHome {
    this.#removeOldReplies(nowMs);
    const homeName = homeNameOf(backendId, scope);
    let placementHome = this.#homes.get(homeName);
    if (placementHome === undefined) {
      const {bounds} = this.#options;
      const siblings = scope === undefined ? undefined : new SiblingSummaries(scope);
      const home = new BackendHome({backendId, bounds, siblings});
      home.setFleetShare(this.#fleetShare);
      home.setKnownHosts(this.#knownHosts);
      if (this.#document !== undefined) {
        home.setDocument(this.#document);
        home.admission.setCustomers(this.#document.customers);
      }
      placementHome = {
        backendId,
        scope,
        home,
        siblings,
        serverNumbers: [],
        createdAtMs: nowMs,
        lastQueryAtMs: Number.NEGATIVE_INFINITY,
      };
      if (this.#servers !== undefined) {
        this.#setServers(placementHome, this.#servers, nowMs);
      }
      this.#homes.set(homeName, placementHome);
    }
    return placementHome;
  }

  #removeOldReplies(nowMs: number): void {
    for (const [key, {atMs}] of this.#sentReplies) {
      if (nowMs - atMs < replyRetentionMs) {
        return;
      }
      this.#sentReplies.delete(key);
    }
  }
}
