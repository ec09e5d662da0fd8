import {SeededRandom, createSelfFoundCore, DEFAULT_FLEET_BOUNDS} from '@godwitspring/core';
import type {FleetBounds, HashFunction, HostEffect, StartAttempt} from '@godwitspring/core';
import type {DiscoveredServer, FleetDocument, RegistryChange} from '@godwitspring/document';
import {EventQueue} from '../fleet/eventQueue.ts';
import {MemoryHost} from '../fleet/memoryHost.ts';
import {MemoryLink} from '../fleet/memoryLink.ts';
import {GrayServer} from './grayServer.ts';

/** How one request ended. */
export interface GrayOutcome {
  readonly routeId: string;
  readonly customerId: string;
  readonly hostId: string;
  readonly arrivedAtMs: number;
  readonly tookMs: number;
  /** Status of the server's answer; undefined for a refusal. */
  readonly status: number | undefined;
  readonly refusal: string | undefined;
  readonly outcome: string | undefined;
  readonly retryAfterMs: number | undefined;
}

export interface GrayRoute {
  readonly id: string;
  readonly backendId: string;
  readonly isIdempotent: boolean;
  readonly meanMs: number;
  readonly spread: number;
  /** True where a request needs next to no work, so that gray servers answer it. Default: false. */
  readonly isTrivial?: boolean;
}

export interface GrayBackend {
  readonly id: string;
  readonly servers: number;
}

export interface GrayFleetOptions {
  readonly hash: HashFunction;
  readonly hosts: number;
  readonly dataCentres: readonly string[];
  readonly backends: readonly GrayBackend[];
  readonly routes: readonly GrayRoute[];
  readonly document: FleetDocument;
  readonly seed: number;
  readonly bounds: FleetBounds;
  /** One-way delay within a data centre and between two, in ms. */
  readonly localDelayMs: number;
  readonly remoteDelayMs: number;
  /** Share of the requests that fail though the server is well, 0 to 1. */
  readonly errorShare: number;
  /** Connections of a host to a server that stay silent: `hostId>serverId`. */
  readonly silentPaths: Set<string>;
}

export const DEFAULT_GRAY_FLEET_OPTIONS = {
  hosts: 24,
  dataCentres: ['dc-1', 'dc-2', 'dc-3'],
  seed: 1,
  bounds: DEFAULT_FLEET_BOUNDS,
  localDelayMs: 0.2,
  remoteDelayMs: 1.4,
  errorShare: 0.012,
} as const;

type RequiredGrayFleetOptions = Pick<GrayFleetOptions, 'hash' | 'backends' | 'routes' | 'document'>;

interface OpenRequest {
  readonly route: GrayRoute;
  readonly customerId: string;
  readonly hostId: string;
  readonly arrivedAtMs: number;
  readonly cancels: Map<number, () => void>;
  readonly statuses: Map<number, number>;
}

const slotsPerServer = 2;
const maxWaiting = 8;
const callerBudgetMs = 2_500;
/** Wait of a host for a new connection, in ms. */
const connectTimeoutMs = 120;

/** A fleet whose hosts find each other, before servers that fail grayly, in one process and virtual time. */
export class GrayFleet {
  readonly queue = new EventQueue();
  readonly hosts = new Map<string, MemoryHost>();
  readonly servers = new Map<string, GrayServer>();
  readonly outcomes: GrayOutcome[] = [];
  readonly logs: {atMs: number; hostId: string; event: string; fields: Record<string, unknown>}[] =
    [];
  readonly link: MemoryLink;
  /** Times at which servers started to run requests, by server. */
  readonly startsMs = new Map<string, number[]>();
  readonly runsByRequest = new Map<string, number>();
  readonly #options: GrayFleetOptions;
  readonly #random: SeededRandom;
  readonly #readers = new Set<string>();
  readonly #open = new Map<string, OpenRequest>();
  readonly #published: RegistryChange[] = [];
  #revision = 1;
  #nextRequestId = 1;
  /** False while the registry answers nobody. */
  isRegistryUp = true;

  constructor(options: Partial<GrayFleetOptions> & RequiredGrayFleetOptions) {
    this.#options = {...DEFAULT_GRAY_FLEET_OPTIONS, silentPaths: new Set(), ...options};
    const {seed, document, hosts} = this.#options;
    this.#random = new SeededRandom(seed);
    this.link = new MemoryLink(new SeededRandom(seed + 1));
    this.#createServers();
    this.#published.push({kind: 'document', document});
    for (let number = 1; number <= hosts; number += 1) {
      this.startHost(number);
    }
  }

  get silentPaths(): Set<string> {
    return this.#options.silentPaths;
  }

  hostId(number: number): string {
    return `10.0.0.${number}:7000`;
  }

  startHost(number: number): void {
    const {hash, dataCentres, bounds, seed} = this.#options;
    const id = this.hostId(number);
    const dataCentre = dataCentres[number % dataCentres.length] ?? '';
    const core = createSelfFoundCore({
      selfId: id,
      dataCentre,
      bornMs: 1_000_000 + this.queue.nowMs,
      seedIds: [this.hostId(1), this.hostId(2), this.hostId(3)],
      isFirstStart: this.queue.nowMs === 0,
      bounds,
      random: new SeededRandom(seed * 1_000 + number + Math.floor(this.queue.nowMs)),
      hash,
    });
    const host = new MemoryHost({
      id,
      dataCentre,
      core,
      queue: this.queue,
      clockOffsetMs: 100_000 + number * 17,
      clockRate: 1,
      dispatch: (from, effect) => {
        this.#dispatch(from, effect);
      },
    });
    this.hosts.set(id, host);
    host.tell({type: 'timerFired', timerId: 'start'});
  }

  crashHost(id: string): void {
    this.hosts.get(id)?.crash();
    this.#readers.delete(id);
    for (const [key, {hostId, cancels}] of this.#open) {
      if (hostId === id) {
        this.#open.delete(key);
        for (const cancel of cancels.values()) {
          cancel();
        }
      }
    }
  }

  after(afterMs: number, run: () => void): void {
    this.queue.add(this.queue.nowMs + afterMs, run);
  }

  /** Publishes changes to all hosts that read the registry. */
  publish(changes: readonly RegistryChange[]): void {
    this.#revision += 1;
    this.#published.push(...changes);
    for (const hostId of this.#readers) {
      this.#tellRead(hostId, false, changes);
    }
  }

  entryOf(server: GrayServer, state: DiscoveredServer['state'] = 'in-service'): DiscoveredServer {
    return {
      id: server.id,
      backendId: server.backendId,
      origin: `http://${server.id}`,
      dataCentre: server.dataCentre,
      slots: server.slots,
      state,
      coldForMs: 0,
      revision: this.#revision,
    };
  }

  /** Sends one request to a random host that is up, or to the one given. */
  request(routeId: string, customerId: string, keyDigest: string, hostId = this.#anyHost()): void {
    const route = this.#options.routes.find(({id}) => id === routeId);
    const host = this.hosts.get(hostId);
    if (route === undefined || host === undefined) {
      return;
    }
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    this.#open.set(this.#key(hostId, requestId), {
      route,
      customerId,
      hostId,
      arrivedAtMs: this.queue.nowMs,
      cancels: new Map(),
      statuses: new Map(),
    });
    host.tell({
      type: 'requestArrived',
      requestId,
      host: 'h',
      path: `/${routeId}/${requestId}`,
      method: 'GET',
      keyDigest,
      isReplayable: true,
      budgetMs: callerBudgetMs,
      requestName: `${requestId}`,
      requestDigest: `${requestId}`,
    });
  }

  #anyHost(): string {
    const up = [...this.hosts.values()].filter(({isUp}) => isUp);
    return up[this.#random.below(up.length)]?.id ?? '';
  }

  #key(hostId: string, requestId: number): string {
    return `${hostId}/${requestId}`;
  }

  #createServers(): void {
    const {backends, dataCentres, seed, errorShare} = this.#options;
    for (const backend of backends) {
      for (let number = 0; number < backend.servers; number += 1) {
        const server = new GrayServer({
          id: `${backend.id}-${number}`,
          dataCentre: dataCentres[number % dataCentres.length] ?? '',
          backendId: backend.id,
          slots: slotsPerServer,
          maxWaiting,
          random: new SeededRandom(seed * 77 + number),
          errorShare,
          later: (afterMs, run) => {
            this.after(afterMs, run);
          },
        });
        this.servers.set(server.id, server);
        this.#published.push({kind: 'server', server: this.entryOf(server)});
      }
    }
  }

  #dispatch(host: MemoryHost, effect: HostEffect): void {
    switch (effect.type) {
      case 'sendToPeer':
        this.#carry(host, effect);
        return;
      case 'watchRegistry':
        this.#watch(host.id, effect.isWanted);
        return;
      case 'startAttempt':
        this.#startAttempt(host, effect);
        return;
      case 'cancelAttempt':
        this.#open.get(this.#key(host.id, effect.requestId))?.cancels.get(effect.attempt)?.();
        return;
      case 'deliverAnswer':
        this.#deliver(host, effect.requestId, effect.attempt);
        return;
      case 'refuseRequest':
        this.#end(host.id, effect.requestId, {
          refusal: effect.kind,
          outcome: effect.outcome,
          retryAfterMs: effect.retryAfterMs,
        });
        return;
      case 'log':
        this.logs.push({
          atMs: this.queue.nowMs,
          hostId: host.id,
          event: effect.event,
          fields: effect.fields,
        });
        return;
      default:
        return;
    }
  }

  #carry(from: MemoryHost, {toHostId, message}: Extract<HostEffect, {type: 'sendToPeer'}>): void {
    const to = this.hosts.get(toHostId);
    if (to === undefined) {
      return;
    }
    for (const delayMs of this.link.arrivals(from.id, toHostId, this.#delay(from, to.dataCentre))) {
      this.after(delayMs, () => {
        to.tell({type: 'peerMessageReceived', fromHostId: from.id, message});
      });
    }
  }

  #delay(from: MemoryHost, dataCentre: string): number {
    const {localDelayMs, remoteDelayMs} = this.#options;
    return from.dataCentre === dataCentre ? localDelayMs : remoteDelayMs;
  }

  #watch(hostId: string, isWanted: boolean): void {
    if (!isWanted) {
      this.#readers.delete(hostId);
      return;
    }
    this.#readers.add(hostId);
    this.#tellRead(hostId, true, this.#published);
    this.#confirm(hostId);
  }

  #confirm(hostId: string): void {
    this.after(1_500, () => {
      if (this.#readers.has(hostId)) {
        this.#tellRead(hostId, false, []);
        this.#confirm(hostId);
      }
    });
  }

  #tellRead(hostId: string, isWhole: boolean, changes: readonly RegistryChange[]): void {
    const host = this.hosts.get(hostId);
    if (host === undefined) {
      return;
    }
    this.after(4, () => {
      if (!this.isRegistryUp) {
        host.tell({type: 'registryUnreadable', reason: 'down'});
        return;
      }
      host.tell({
        type: 'registryRead',
        isWhole,
        revision: this.#revision,
        changes: [...changes],
        asOfMs: host.nowMs() - 4,
      });
    });
  }

  #startAttempt(host: MemoryHost, attempt: StartAttempt): void {
    const open = this.#open.get(this.#key(host.id, attempt.requestId));
    const server = this.servers.get(attempt.serverId);
    if (open === undefined || server === undefined) {
      return;
    }
    const {requestId, attempt: number} = attempt;
    const delayMs = this.#delay(host, server.dataCentre);
    let isCancelled = false;
    let drop = (): void => undefined;
    open.cancels.set(number, () => {
      isCancelled = true;
      this.after(delayMs, () => {
        drop();
      });
    });
    if (this.#options.silentPaths.has(`${host.id}>${server.id}`)) {
      if (attempt.needsNewConnection) {
        this.after(connectTimeoutMs, () => {
          const failure = 'connect';
          host.tell({
            type: 'attemptFailed',
            requestId,
            attempt: number,
            failure,
            mayHaveRun: false,
          });
        });
      }
      return;
    }
    this.after(delayMs, () => {
      if (isCancelled) {
        return;
      }
      const starts = this.startsMs.get(server.id) ?? [];
      starts.push(this.queue.nowMs);
      this.startsMs.set(server.id, starts);
      const runKey = this.#key(host.id, requestId);
      this.runsByRequest.set(runKey, (this.runsByRequest.get(runKey) ?? 0) + 1);
      drop = server.take({
        meanMs: open.route.meanMs,
        spread: open.route.spread,
        timeoutMs: attempt.timeoutMs,
        isTrivial: open.route.isTrivial ?? false,
        answer: ({status, saidNotRun}) => {
          open.statuses.set(number, status);
          this.after(delayMs, () => {
            host.tell({type: 'attemptAnswered', requestId, attempt: number, status, saidNotRun});
          });
        },
      });
    });
  }

  #deliver(host: MemoryHost, requestId: number, attempt: number): void {
    const status = this.#open.get(this.#key(host.id, requestId))?.statuses.get(attempt);
    this.#end(host.id, requestId, {status});
    this.after(0, () => {
      host.tell({type: 'attemptFinished', requestId, attempt});
    });
  }

  #end(
    hostId: string,
    requestId: number,
    end: Partial<Pick<GrayOutcome, 'status' | 'refusal' | 'outcome' | 'retryAfterMs'>>,
  ): void {
    const key = this.#key(hostId, requestId);
    const open = this.#open.get(key);
    if (open === undefined) {
      return;
    }
    this.#open.delete(key);
    const {route, customerId, arrivedAtMs} = open;
    this.outcomes.push({
      routeId: route.id,
      customerId,
      hostId,
      arrivedAtMs,
      tookMs: this.queue.nowMs - arrivedAtMs,
      status: end.status,
      refusal: end.refusal,
      outcome: end.outcome,
      retryAfterMs: end.retryAfterMs,
    });
  }
}
