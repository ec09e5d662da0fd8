import type {Backend, FleetDocument} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {FleetSlots} from '../slots/fleetSlots.ts';
import type {ServerLimits, ServerReleased, ServerWanted} from '../messages/requestMessages.ts';
import {DocumentIndex} from './documentIndex.ts';
import {FairQueue} from './fairQueue.ts';
import type {FairQueueOptions, WaitingRequest} from './fairQueue.ts';
import type {ServerCandidate, ServerChoice} from './serverChoice.ts';

export interface ServerPoolTaskOptions {
  readonly choice: ServerChoice;
  /** Slots divided over the fleet. Default: none, each host uses the slots of a server as if alone. */
  readonly slots: FleetSlots | undefined;
  /** Longest wait for a free slot, in ms. Default: 1,000. */
  readonly maxWaitMs: number;
  readonly queue: Partial<FairQueueOptions>;
}

export const DEFAULT_SERVER_POOL_OPTIONS = {slots: undefined, maxWaitMs: 1_000, queue: {}} as const;

const timerId = 'serverPool.expire';
const expiryIntervalMs = 25;
const openRouteCustomer = '';
/** Slots asked for at once. */
const maxAsksAtOnce = 16;
/** Weight below which slots of a server are not asked for, unless half of the servers are doubted. */
const doubtedWeight = 0.5;

interface PoolServer {
  readonly serverId: string;
  readonly origin: string;
  readonly dataCentre: string;
  isInService: boolean;
}

type ServerLimit = ServerLimits['servers'][number];

interface Pool {
  backend: Backend;
  servers: PoolServer[];
  readonly queue: FairQueue;
  readonly limits: Map<string, ServerLimit>;
}

/** Gives each request a backend server with a free slot, customers in turn when slots are short. */
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
  readonly #pools = new Map<string, Pool>();
  readonly #backendByWaitingRequest = new Map<number, string>();
  readonly #runningByServer = new Map<string, number>();
  readonly #grantByRequest = new Map<number, {serverId: string; backendId: string}>();
  #isTimerSet = false;

  constructor({
    choice,
    ...options
  }: Partial<ServerPoolTaskOptions> & Pick<ServerPoolTaskOptions, 'choice'>) {
    this.#options = {...DEFAULT_SERVER_POOL_OPTIONS, ...options, choice};
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'serverWanted':
        return this.#onWanted(message, nowMs);
      case 'serverReleased':
        return this.#onReleased(message, nowMs);
      case 'requestWithdrawn':
        return this.#onWithdrawn(message.requestId, nowMs);
      case 'serverLimits':
        return this.#onLimits(message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'membershipChanged':
        this.#options.slots?.place(message.reachableHostIds);
        return [];
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
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
      const known = this.#pools.get(backend.id);
      const queue = known?.queue ?? new FairQueue(this.#options.queue);
      const limits = known?.limits ?? new Map<string, ServerLimit>();
      this.#pools.set(backend.id, {backend, servers, queue, limits});
    }
    return [];
  }

  #onLimits({backendId, servers}: ServerLimits, nowMs: number): readonly CoreMessage[] {
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

  #onWanted(message: ServerWanted, nowMs: number): readonly CoreMessage[] {
    const {requestId, backendId, deadlineAtMs} = message;
    const pool = this.#pools.get(backendId);
    if (pool?.servers.some(({isInService}) => isInService) !== true) {
      return [{type: 'serverRefused', requestId, kind: 'no-server'}];
    }
    const request: WaitingRequest = {
      requestId,
      customerId: message.customerId ?? openRouteCustomer,
      isRepeatable: message.isRepeatable,
      excludedServerIds: message.excludedServerIds,
      expiresAtMs: Math.min(deadlineAtMs, nowMs + this.#options.maxWaitMs),
    };
    const granted = pool.queue.size === 0 ? this.#grant(pool, request, nowMs) : undefined;
    return granted === undefined ? this.#enqueue(pool, request, nowMs) : [granted];
  }

  #enqueue(pool: Pool, request: WaitingRequest, nowMs: number): readonly CoreMessage[] {
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
    messages.push(...this.#serveWaiting(pool, nowMs), ...this.#wantSlots(pool, nowMs));
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
    return [{type: 'timerWanted', timerId, atMs: nowMs + expiryIntervalMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    const messages: CoreMessage[] = [...(this.#options.slots?.sweep(nowMs) ?? [])];
    for (const pool of this.#pools.values()) {
      for (const {requestId} of pool.queue.takeExpired(nowMs)) {
        this.#backendByWaitingRequest.delete(requestId);
        messages.push({type: 'serverRefused', requestId, kind: 'overloaded'});
      }
      if (pool.queue.size > 0) {
        messages.push(...this.#serveWaiting(pool, nowMs), ...this.#wantSlots(pool, nowMs));
      }
    }
    messages.push(...this.#armTimer(nowMs));
    return messages;
  }

  #onReleased({requestId}: ServerReleased, nowMs: number): readonly CoreMessage[] {
    return this.#freeSlot(requestId, nowMs);
  }

  #freeSlot(requestId: number, nowMs: number): readonly CoreMessage[] {
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
    const freed = this.#options.slots?.free(requestId, nowMs) ?? [];
    const pool = this.#pools.get(backendId);
    const served = pool === undefined ? [] : this.#serveWaiting(pool, nowMs);
    return [...freed, ...served, ...this.#armTimer(nowMs)];
  }

  #onWithdrawn(requestId: number, nowMs: number): readonly CoreMessage[] {
    const backendId = this.#backendByWaitingRequest.get(requestId);
    if (backendId === undefined) {
      return this.#freeSlot(requestId, nowMs);
    }
    this.#backendByWaitingRequest.delete(requestId);
    this.#pools.get(backendId)?.queue.remove(requestId);
    return [];
  }

  #serveWaiting(pool: Pool, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (;;) {
      let granted: CoreMessage | undefined;
      const request = pool.queue.take((waiting) => {
        granted = this.#grant(pool, waiting, nowMs);
        return granted !== undefined;
      });
      if (request === undefined || granted === undefined) {
        return messages;
      }
      this.#backendByWaitingRequest.delete(request.requestId);
      messages.push(granted);
    }
  }

  #grant(pool: Pool, waiting: WaitingRequest, nowMs: number): CoreMessage | undefined {
    const {requestId, isRepeatable, excludedServerIds} = waiting;
    const candidates = this.#candidates(pool).filter(({isTrial}) => isRepeatable || !isTrial);
    const open = this.#preferUntried(pool, candidates, excludedServerIds);
    const server = open.find(({isTrial}) => isTrial) ?? this.#choose(pool, requestId, open, nowMs);
    if (server === undefined) {
      return undefined;
    }
    const {serverId, origin} = server;
    this.#runningByServer.set(serverId, server.runningAttempts + 1);
    this.#grantByRequest.set(requestId, {serverId, backendId: pool.backend.id});
    return {type: 'serverGranted', requestId, serverId, origin};
  }

  /** A ramped server that this host may use, else the server of a slot of the fleet. */
  #choose(
    {backend, limits}: Pool,
    requestId: number,
    open: readonly ServerCandidate[],
    nowMs: number,
  ): ServerCandidate | undefined {
    const {slots, choice} = this.#options;
    if (slots === undefined || slots.isSilent(backend.id, nowMs)) {
      return choice.choose(open);
    }
    const ramped = open.find(({serverId}) => limits.get(serverId)?.limit !== undefined);
    if (ramped !== undefined) {
      return ramped;
    }
    const usable = new Map(open.map((candidate) => [candidate.serverId, candidate]));
    const serverId = slots.take(requestId, backend.id, (id) => usable.has(id));
    return serverId === undefined ? undefined : usable.get(serverId);
  }

  /** Asks for a slot for each request that waits. */
  #wantSlots(pool: Pool, nowMs: number): readonly CoreMessage[] {
    const {slots} = this.#options;
    const waiting = Math.min(pool.queue.size, maxAsksAtOnce);
    if (slots === undefined || waiting === 0) {
      return [];
    }
    const avoided = this.#avoidedIds(pool, pool.queue.first?.excludedServerIds ?? []);
    const doubted = [...pool.limits.values()].filter(({weight}) => weight < doubtedWeight);
    if (doubted.length * 2 < pool.servers.length) {
      for (const {serverId} of doubted) {
        avoided.add(serverId);
      }
    }
    return slots.want(pool.backend.id, waiting, [...avoided], nowMs);
  }

  /** Servers that the next request in turn would not take a slot of. */
  #avoidedIds(pool: Pool, excludedServerIds: readonly string[]): Set<string> {
    if (excludedServerIds.length === 0) {
      return new Set();
    }
    const all = pool.servers.filter(({isInService}) => isInService);
    const open = this.#preferUntried(pool, this.#candidates(pool), excludedServerIds);
    const openIds = new Set(open.map(({serverId}) => serverId));
    return new Set(all.map(({serverId}) => serverId).filter((id) => !openIds.has(id)));
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    const {slots} = this.#options;
    if (slots === undefined) {
      return [];
    }
    switch (message.type) {
      case 'slotAnswer': {
        const hasSlot = slots.onAnswer(fromHostId, message, nowMs);
        const pool = this.#pools.get(message.backendId);
        const served = hasSlot && pool !== undefined ? this.#serveWaiting(pool, nowMs) : [];
        return [...served, ...this.#armTimer(nowMs)];
      }
      case 'slotRecall':
        return slots.onRecall(message.slotIds);
      default:
        return [];
    }
  }

  /** Leaves out tried servers and, while others are left, the data centres that they stand in. */
  #preferUntried(
    {servers}: Pool,
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

  #candidates({backend, servers, limits}: Pool): ServerCandidate[] {
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
