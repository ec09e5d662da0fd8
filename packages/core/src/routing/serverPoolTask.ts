import type {Backend, FleetDocument} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {SlotLeases} from '../slots/slotLeases.ts';
import type {ServerLimits, ServerReleased, ServerWanted} from '../messages/requestMessages.ts';
import {DocumentIndex} from './documentIndex.ts';
import {FairQueue} from './fairQueue.ts';
import type {FairQueueOptions, WaitingRequest} from './fairQueue.ts';
import type {ServerCandidate, LoadBalancingPolicy} from './loadBalancingPolicy.ts';

/** Options of the server pool task. */
export interface ServerPoolTaskOptions {
  /** Policy that selects among the servers with a free slot. */
  readonly loadBalancingPolicy: LoadBalancingPolicy;
  /** Leases on slots that are shared by the fleet. Default: none, each host uses all slots of a server. */
  readonly slots: SlotLeases | undefined;
  /** Longest wait of a request for a free slot, in ms. Default: 1,000. */
  readonly maxWaitMs: number;
  /** Bounds of the queue of each backend. */
  readonly queue: Partial<FairQueueOptions>;
}

export const DEFAULT_SERVER_POOL_OPTIONS = {slots: undefined, maxWaitMs: 1_000, queue: {}} as const;

const timerId = 'serverPool.expire';
/** Interval of the check for expired requests, idle slots and slot queries without a reply, in ms. */
const sweepIntervalMs = 25;
/** Customer id that requests of routes without a key are queued under. */
const openRouteCustomerId = '';
/** Largest number of pending slot queries for one backend. */
const maxPendingSlotQueries = 16;
/**
 * Servers with a lower weight are suspect.
 *
 * No slots of suspect servers are requested, unless half of the servers of the backend or more are suspect.
 */
const suspectWeight = 0.5;

/** A server of a backend, from the configuration document. */
interface PoolServer {
  readonly serverId: string;
  readonly origin: string;
  readonly dataCentre: string;
  isInService: boolean;
}

type ServerLimit = ServerLimits['servers'][number];

/** Servers of one backend, their limits on this host, and the requests that wait for them. */
interface BackendPool {
  backend: Backend;
  servers: PoolServer[];
  readonly queue: FairQueue;
  readonly limits: Map<string, ServerLimit>;
}

/**
 * Assigns a backend server with a free slot to each request of this host.
 *
 * A slot is the right to run one request on a server. Where no slot is free, requests wait in a queue that
 * serves the customers in turn.
 */
export class ServerPoolTask implements CoreTask {
  readonly accepts = [
    'serverWanted',
    'serverReleased',
    'requestWithdrawn',
    'serverLimits',
    'documentInForce',
    'membershipChanged',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: ServerPoolTaskOptions;
  readonly #pools = new Map<string, BackendPool>();
  readonly #backendByWaitingRequest = new Map<number, string>();
  readonly #runningByServer = new Map<string, number>();
  readonly #grantByRequest = new Map<number, {serverId: string; backendId: string}>();
  #isTimerSet = false;

  constructor({
    loadBalancingPolicy,
    ...options
  }: Partial<ServerPoolTaskOptions> & Pick<ServerPoolTaskOptions, 'loadBalancingPolicy'>) {
    this.#options = {...DEFAULT_SERVER_POOL_OPTIONS, ...options, loadBalancingPolicy};
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'serverWanted':
        return this.#onServerWanted(message, nowMs);
      case 'serverReleased':
        return this.#onServerReleased(message, nowMs);
      case 'requestWithdrawn':
        return this.#onRequestWithdrawn(message.requestId, nowMs);
      case 'serverLimits':
        return this.#onServerLimits(message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'membershipChanged':
        this.#options.slots?.setReachableHosts(message.reachableHostIds);
        return [];
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    const index = new DocumentIndex(document);
    for (const backend of document.backends) {
      const inService = new Set(index.serversInService(backend).map(({id}) => id));
      const servers = backend.servers.map(({id, origin, dataCentre}) => ({
        serverId: id,
        origin,
        dataCentre,
        isInService: inService.has(id),
      }));
      const existing = this.#pools.get(backend.id);
      const queue = existing?.queue ?? new FairQueue(this.#options.queue);
      const limits = existing?.limits ?? new Map<string, ServerLimit>();
      this.#pools.set(backend.id, {backend, servers, queue, limits});
    }
    return [];
  }

  #onServerLimits({backendId, servers}: ServerLimits, nowMs: number): readonly CoreMessage[] {
    const pool = this.#pools.get(backendId);
    if (pool === undefined) {
      return [];
    }
    pool.limits.clear();
    for (const limit of servers) {
      pool.limits.set(limit.serverId, limit);
    }
    return this.#serveWaiting(pool, nowMs);
  }

  #onServerWanted(message: ServerWanted, nowMs: number): readonly CoreMessage[] {
    const {requestId, backendId, deadlineAtMs} = message;
    const pool = this.#pools.get(backendId);
    if (pool?.servers.some(({isInService}) => isInService) !== true) {
      return [{type: 'serverRefused', requestId, kind: 'no-server'}];
    }
    const request: WaitingRequest = {
      requestId,
      customerId: message.customerId ?? openRouteCustomerId,
      isRepeatable: message.isRepeatable,
      excludedServerIds: message.excludedServerIds,
      expiresAtMs: Math.min(deadlineAtMs, nowMs + this.#options.maxWaitMs),
    };
    const granted = pool.queue.size === 0 ? this.#tryGrant(pool, request, nowMs) : undefined;
    return granted === undefined ? this.#enqueue(pool, request, nowMs) : [granted];
  }

  #enqueue(pool: BackendPool, request: WaitingRequest, nowMs: number): readonly CoreMessage[] {
    this.#backendByWaitingRequest.set(request.requestId, pool.backend.id);
    const dropped = pool.queue.add(request);
    const messages: CoreMessage[] = [];
    if (dropped !== undefined) {
      this.#backendByWaitingRequest.delete(dropped.requestId);
      messages.push({
        type: 'serverRefused',
        requestId: dropped.requestId,
        kind: 'overloaded',
      });
    }
    messages.push(...this.#serveWaiting(pool, nowMs), ...this.#querySlots(pool, nowMs));
    messages.push(...this.#armTimer(nowMs));
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    const isIdle =
      this.#backendByWaitingRequest.size === 0 && this.#options.slots?.isIdle !== false;
    if (this.#isTimerSet || isIdle) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepIntervalMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    const messages: CoreMessage[] = [...(this.#options.slots?.sweep(nowMs) ?? [])];
    for (const pool of this.#pools.values()) {
      for (const {requestId} of pool.queue.removeExpired(nowMs)) {
        this.#backendByWaitingRequest.delete(requestId);
        messages.push({type: 'serverRefused', requestId, kind: 'overloaded'});
      }
      if (pool.queue.size > 0) {
        messages.push(...this.#serveWaiting(pool, nowMs), ...this.#querySlots(pool, nowMs));
      }
    }
    messages.push(...this.#armTimer(nowMs));
    return messages;
  }

  #onServerReleased({requestId}: ServerReleased, nowMs: number): readonly CoreMessage[] {
    return this.#releaseServer(requestId, nowMs);
  }

  /** Ends the use of a server by a request; the free slot goes to the next waiting request. */
  #releaseServer(requestId: number, nowMs: number): readonly CoreMessage[] {
    const grant = this.#grantByRequest.get(requestId);
    if (grant === undefined) {
      return [];
    }
    this.#grantByRequest.delete(requestId);
    const {serverId, backendId} = grant;
    const running = this.#runningByServer.get(serverId) ?? 0;
    if (running <= 1) {
      this.#runningByServer.delete(serverId);
    } else {
      this.#runningByServer.set(serverId, running - 1);
    }
    const freed = this.#options.slots?.endUse(requestId, nowMs) ?? [];
    const pool = this.#pools.get(backendId);
    const served = pool === undefined ? [] : this.#serveWaiting(pool, nowMs);
    return [...freed, ...served, ...this.#armTimer(nowMs)];
  }

  #onRequestWithdrawn(requestId: number, nowMs: number): readonly CoreMessage[] {
    const backendId = this.#backendByWaitingRequest.get(requestId);
    if (backendId === undefined) {
      return this.#releaseServer(requestId, nowMs);
    }
    this.#backendByWaitingRequest.delete(requestId);
    this.#pools.get(backendId)?.queue.remove(requestId);
    return [];
  }

  /** Grants servers to waiting requests for as long as slots are free. */
  #serveWaiting(pool: BackendPool, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (;;) {
      let granted: CoreMessage | undefined;
      const request = pool.queue.dequeue((waiting) => {
        granted = this.#tryGrant(pool, waiting, nowMs);
        return granted !== undefined;
      });
      if (request === undefined || granted === undefined) {
        return messages;
      }
      this.#backendByWaitingRequest.delete(request.requestId);
      messages.push(granted);
    }
  }

  /** Grants a server to a request; undefined where none has a free slot. Servers to be probed come first. */
  #tryGrant(pool: BackendPool, waiting: WaitingRequest, nowMs: number): CoreMessage | undefined {
    const {requestId, isRepeatable, excludedServerIds} = waiting;
    const candidates = this.#findCandidates(pool).filter(({isTrial}) => isRepeatable || !isTrial);
    const preferred = this.#preferUntried(pool, candidates, excludedServerIds);
    const server =
      preferred.find(({isTrial}) => isTrial) ??
      this.#selectServer(pool, requestId, preferred, nowMs);
    if (server === undefined) {
      return undefined;
    }
    const {serverId, origin} = server;
    this.#runningByServer.set(serverId, server.runningAttempts + 1);
    this.#grantByRequest.set(requestId, {serverId, backendId: pool.backend.id});
    return {type: 'serverGranted', requestId, serverId, origin};
  }

  /**
   * Selects a server: with fleet-wide slots one that has a limit for this host (as in slow start), else the
   * server of a leased slot. The load-balancing policy selects where slots are not used or their home is silent.
   */
  #selectServer(
    {backend, limits}: BackendPool,
    requestId: number,
    candidates: readonly ServerCandidate[],
    nowMs: number,
  ): ServerCandidate | undefined {
    const {slots, loadBalancingPolicy} = this.#options;
    if (slots === undefined || slots.isHomeSilent(backend.id, nowMs)) {
      return loadBalancingPolicy.select(candidates);
    }
    const limitedServer = candidates.find(
      ({serverId}) => limits.get(serverId)?.limit !== undefined,
    );
    if (limitedServer !== undefined) {
      return limitedServer;
    }
    const usable = new Map(candidates.map((candidate) => [candidate.serverId, candidate]));
    const serverId = slots.useIdleSlot(requestId, backend.id, (id) => usable.has(id));
    return serverId === undefined ? undefined : usable.get(serverId);
  }

  /** Queries the home of the backend for a slot for each waiting request. */
  #querySlots(pool: BackendPool, nowMs: number): readonly CoreMessage[] {
    const {slots} = this.#options;
    const waiting = Math.min(pool.queue.size, maxPendingSlotQueries);
    if (slots === undefined || waiting === 0) {
      return [];
    }
    const avoidedServerIds = this.#avoidedServerIds(
      pool,
      pool.queue.first?.excludedServerIds ?? [],
    );
    const suspects = [...pool.limits.values()].filter(({weight}) => weight < suspectWeight);
    if (suspects.length * 2 < pool.servers.length) {
      for (const {serverId} of suspects) {
        avoidedServerIds.add(serverId);
      }
    }
    return slots.querySlots(pool.backend.id, waiting, [...avoidedServerIds], nowMs);
  }

  /** Ids of the servers in service that a request would not use now; empty for one that was sent to no server yet. */
  #avoidedServerIds(pool: BackendPool, excludedServerIds: readonly string[]): Set<string> {
    if (excludedServerIds.length === 0) {
      return new Set();
    }
    const inService = pool.servers.filter(({isInService}) => isInService);
    const preferred = this.#preferUntried(pool, this.#findCandidates(pool), excludedServerIds);
    const preferredIds = new Set(preferred.map(({serverId}) => serverId));
    return new Set(inService.map(({serverId}) => serverId).filter((id) => !preferredIds.has(id)));
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    const {slots} = this.#options;
    if (slots === undefined) {
      return [];
    }
    switch (message.type) {
      case 'slotAnswer': {
        const hasSlot = slots.onSlotReply(fromHostId, message, nowMs);
        const pool = this.#pools.get(message.backendId);
        const served = hasSlot && pool !== undefined ? this.#serveWaiting(pool, nowMs) : [];
        return [...served, ...this.#armTimer(nowMs)];
      }
      case 'slotRecall':
        return slots.onSlotRecall(message.slotIds);
      default:
        return [];
    }
  }

  /** Prefers servers in data centres without a tried server, then other untried servers, then all candidates. */
  #preferUntried(
    {servers}: BackendPool,
    candidates: readonly ServerCandidate[],
    excludedServerIds: readonly string[],
  ): readonly ServerCandidate[] {
    if (excludedServerIds.length === 0) {
      return candidates;
    }
    const tried = servers.filter(({serverId}) => excludedServerIds.includes(serverId));
    const triedDataCentres = new Set(tried.map(({dataCentre}) => dataCentre));
    const untried = candidates.filter(({serverId}) => !excludedServerIds.includes(serverId));
    const elsewhere = untried.filter(({dataCentre}) => !triedDataCentres.has(dataCentre));
    for (const preferred of [elsewhere, untried]) {
      if (preferred.length > 0) {
        return preferred;
      }
    }
    return candidates;
  }

  /** Servers in service with a free slot, by the limits of this host. */
  #findCandidates({backend, servers, limits}: BackendPool): ServerCandidate[] {
    const candidates: ServerCandidate[] = [];
    for (const {serverId, origin, dataCentre, isInService} of servers) {
      const runningAttempts = this.#runningByServer.get(serverId) ?? 0;
      const {limit, weight = 1, isTrial = false} = limits.get(serverId) ?? {};
      if (isInService && runningAttempts < (limit ?? backend.slotsPerServer)) {
        candidates.push({serverId, origin, dataCentre, runningAttempts, weight, isTrial});
      }
    }
    return candidates;
  }
}
