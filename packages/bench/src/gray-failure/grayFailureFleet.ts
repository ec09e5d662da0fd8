import {SeededRandom, createGossipCore, DEFAULT_FLEET_BOUNDS} from '@godwitspring/core';
import type {
  FleetBounds,
  HashFunction,
  HostEffect,
  PeerMessage,
  ServerNotice,
  StartAttempt,
} from '@godwitspring/core';
import type {
  DiscoveredServer,
  FleetDocument,
  HedgingSettings,
  RegistryChange,
} from '@godwitspring/document';
import {EventQueue} from '../fleet/eventQueue.ts';
import {SimulatedHost} from '../fleet/simulatedHost.ts';
import {SimulatedNetwork} from '../fleet/simulatedNetwork.ts';
import {GrayFailureServer} from './grayFailureServer.ts';
import type {LongTail} from './grayFailureServer.ts';
import {SimulatedRegistry} from './simulatedRegistry.ts';

/** How one caller request ended. */
export interface RequestResult {
  readonly routeId: string;
  readonly customerId: string;
  readonly hostId: string;
  readonly arrivedAtMs: number;
  /** Digest that the request shares with its duplicates. */
  readonly digest: string;
  /** Number of its attempts that reached a server. */
  readonly arrivals: number;
  /** Time from arrival to response or refusal, in ms. */
  readonly durationMs: number;
  /** Status of the server's response; undefined for a refusal. */
  readonly status: number | undefined;
  /** Kind of the refusal; undefined for a response. */
  readonly refusal: string | undefined;
  /** What a refusal reports about the execution, such as `not-run`; undefined for a response. */
  readonly outcome: string | undefined;
  readonly retryAfterMs: number | undefined;
}

/** A route of the document and the cost of its requests. */
export interface SimulatedRoute {
  readonly id: string;
  readonly backendId: string;
  readonly isIdempotent: boolean;
  /** Mean service time, in ms. */
  readonly meanMs: number;
  /** Standard deviation of the logarithm of the service time, which is log-normal. */
  readonly logDeviation: number;
  /** True where a request is so cheap that a silent server still answers it. Default: false. */
  readonly isTrivial?: boolean;
}

/** A backend and the number of its servers. */
export interface SimulatedBackend {
  readonly id: string;
  readonly servers: number;
}

/** Options of a simulated fleet whose servers fail partially. */
export interface GrayFailureFleetOptions {
  readonly hash: HashFunction;
  /** Number of hosts. */
  readonly hosts: number;
  readonly dataCentres: readonly string[];
  /** Data centres over which the servers are spread in turn. Default: those of the hosts. */
  readonly serverDataCentres: readonly string[] | undefined;
  /** Called with each message between hosts. */
  readonly onPeerMessage:
    ((message: PeerMessage, from: SimulatedHost, to: SimulatedHost) => void) | undefined;
  readonly backends: readonly SimulatedBackend[];
  readonly routes: readonly SimulatedRoute[];
  readonly document: FleetDocument;
  readonly seed: number;
  readonly bounds: FleetBounds;
  /** One-way delay within a data centre, in ms. Default: 0.2. */
  readonly localDelayMs: number;
  /** One-way delay between data centres, in ms. Default: 1.4. */
  readonly remoteDelayMs: number;
  /** Share of the requests that fail although the server is healthy, 0 to 1. Default: 0.012. */
  readonly errorShare: number;
  /** Requests that take many times as long as the others on a server. Default: none. */
  readonly longTail?: LongTail | undefined;
  /** Limits on hedged attempts of the backends whose document has none. Default: none. */
  readonly hedging?: HedgingSettings | undefined;
  /** Requests that a server processes at once. Default: 2. */
  readonly slotsPerServer: number;
  /** Processing capacity of a host by its number, in cores. Default: 1 for every host. */
  readonly capacityCoresOf: (number: number) => number;
  /** Network paths that lose requests, as `hostId>serverId`: no response comes, and new connections time out. */
  readonly silentPaths: Set<string>;
}

/** Defaults of the options that a test may leave out. */
export const DEFAULT_GRAY_FAILURE_FLEET_OPTIONS = {
  hosts: 24,
  dataCentres: ['dc-1', 'dc-2', 'dc-3'],
  seed: 1,
  bounds: DEFAULT_FLEET_BOUNDS,
  localDelayMs: 0.2,
  remoteDelayMs: 1.4,
  errorShare: 0.012,
  slotsPerServer: 2,
  capacityCoresOf: () => 1,
  serverDataCentres: undefined,
  onPeerMessage: undefined,
} as const;

type RequiredOptions = Pick<GrayFailureFleetOptions, 'hash' | 'backends' | 'routes' | 'document'>;

/** A notice of a server that reached a host. */
export interface HeardNotice {
  readonly hostId: string;
  readonly serverId: string;
  readonly notice: ServerNotice;
  readonly atMs: number;
}

/** One request of a caller. */
export interface CallerRequest {
  /** Digest that it shares with its duplicates. Default: one of its own. */
  readonly digest: string;
  /** Host that receives it. Default: a random one that is up. */
  readonly hostId: string;
  /** How it makes each server that runs it crash. Default: it crashes none. */
  readonly crash: 'loud' | 'silent' | undefined;
  readonly idempotencyKey: string | undefined;
}

/** A request that has no result yet. */
interface PendingRequest {
  readonly route: SimulatedRoute;
  readonly digest: string;
  readonly crash: CallerRequest['crash'];
  readonly customerId: string;
  readonly hostId: string;
  readonly arrivedAtMs: number;
  /** Functions that cancel its attempts, by attempt number. */
  readonly cancels: Map<number, () => void>;
  /** Statuses of the servers' responses, by attempt number. */
  readonly statuses: Map<number, number>;
}

const maxWaiting = 8;
/** Time that the caller allows for a request, in ms. */
const callerBudgetMs = 2_500;
/** Time after which a host gives up a new connection, in ms. */
const connectTimeoutMs = 120;
/** Time that a request which crashes servers runs before the crash, in ms. */
const crashAfterMs = 60;
/** Time from the crash of a server until the registry removes its entry, in ms. */
const registryLeaseMs = 3_500;
/** Time from the crash of a server until another one takes its place, in ms. */
const replacementMs = 4_000;

/**
 * Simulates a fleet under virtual time whose hosts discover each other by gossip, in front of servers with
 * gray failures: partial failures that health checks do not detect. Servers and the document come from a
 * registry.
 */
export class GrayFailureFleet {
  readonly queue = new EventQueue();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly servers = new Map<string, GrayFailureServer>();
  readonly outcomes: RequestResult[] = [];
  readonly logs: {atMs: number; hostId: string; event: string; fields: Record<string, unknown>}[] =
    [];
  readonly network: SimulatedNetwork;
  /** Network paths on which no connection works, as `hostId>serverId`: it is refused, and a kept one is reset. */
  readonly refusedPaths = new Set<string>();
  /** Network paths on which connections open, and are reset under each request, as `hostId>serverId`. */
  readonly resetPaths = new Set<string>();
  /** Number of messages between hosts by type. */
  readonly peerMessageCounts = new Map<string, number>();
  /** The registry from which the hosts get the document and the servers. */
  readonly registry: SimulatedRegistry;
  /** Times at which attempts reached each server, in ms, by server. */
  readonly attemptTimesMs = new Map<string, number[]>();
  /** Hosts whose attempts reached each server, in the order of `attemptTimesMs`. */
  readonly attemptHostIds = new Map<string, string[]>();
  /** Notices of servers that hosts received, in order. */
  readonly noticesHeard: HeardNotice[] = [];
  /** Crashes of servers under requests, in order, with the digest of the request. */
  readonly crashes: {readonly digest: string; readonly serverId: string; readonly atMs: number}[] =
    [];
  /** Attempts that reached a server, in order, with the digest of the request. */
  readonly arrivals: {readonly digest: string; readonly serverId: string; readonly atMs: number}[] =
    [];
  /** Attempts that a server started to run, in order. */
  readonly runs: {
    readonly digest: string;
    readonly routeId: string;
    readonly serverId: string;
    readonly atMs: number;
  }[] = [];
  /** Requests that hosts received, in order. */
  readonly received: {readonly backendId: string; readonly atMs: number}[] = [];
  /** Number of attempts that reached a server, by host and request. */
  readonly attemptsByRequest = new Map<string, number>();
  readonly #options: GrayFailureFleetOptions;
  readonly #random: SeededRandom;
  readonly #pendingRequests = new Map<string, PendingRequest>();
  #nextRequestId = 1;

  constructor(options: Partial<GrayFailureFleetOptions> & RequiredOptions) {
    this.#options = {...DEFAULT_GRAY_FAILURE_FLEET_OPTIONS, silentPaths: new Set(), ...options};
    const {seed, document, hosts} = this.#options;
    this.#random = new SeededRandom(seed);
    this.network = new SimulatedNetwork(new SeededRandom(seed + 1));
    this.registry = new SimulatedRegistry({
      queue: this.queue,
      deliver: (hostId, event) => {
        this.hosts.get(hostId)?.deliver(event);
      },
      clockMsOf: (hostId) => this.hosts.get(hostId)?.nowMs() ?? 0,
    });
    this.registry.setInitial([...this.#createServers(), {kind: 'document', document}]);
    for (let number = 1; number <= hosts; number += 1) {
      this.startHost(number);
    }
  }

  /** Number of requests at live hosts that have no result yet. */
  get pendingCount(): number {
    return this.#pendingRequests.size;
  }

  /** Network paths that lose requests, as `hostId>serverId`; may be changed during a run. */
  get silentPaths(): Set<string> {
    return this.#options.silentPaths;
  }

  /** Id of a host, which is its peer address; hosts are numbered from 1. */
  hostId(number: number): string {
    return `10.0.0.${number}:7000`;
  }

  /** Starts a proxy process with empty state at a host. */
  startHost(number: number): void {
    const {hash, dataCentres, bounds, hedging, seed, capacityCoresOf} = this.#options;
    const id = this.hostId(number);
    const dataCentre = dataCentres[number % dataCentres.length] ?? '';
    const core = createGossipCore({
      selfId: id,
      dataCentre,
      bornMs: 1_000_000 + this.queue.nowMs,
      capacityCores: capacityCoresOf(number),
      seedIds: [this.hostId(1), this.hostId(2), this.hostId(3)],
      isFirstStart: this.queue.nowMs === 0,
      bounds,
      hedging,
      random: new SeededRandom(seed * 1_000 + number + Math.floor(this.queue.nowMs)),
      hash,
    });
    const host = new SimulatedHost({
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
    host.deliver({type: 'timerFired', timerId: 'start'});
  }

  /** Ends the process at a host abruptly; its open requests get no result, and its attempts are abandoned. */
  crashHost(id: string): void {
    this.hosts.get(id)?.crash();
    this.registry.forget(id);
    for (const [key, {hostId, cancels}] of this.#pendingRequests) {
      if (hostId === id) {
        this.#pendingRequests.delete(key);
        for (const cancel of cancels.values()) {
          cancel();
        }
      }
    }
  }

  /** Runs a callback after a delay in virtual time. */
  after(afterMs: number, run: () => void): void {
    this.queue.schedule(this.queue.nowMs + afterMs, run);
  }

  /** Publishes changes in the registry. */
  publish(changes: readonly RegistryChange[]): void {
    this.registry.publish(changes);
  }

  /** Registry entry of a server. */
  registryEntryOf(
    server: GrayFailureServer,
    state: DiscoveredServer['state'] = 'in-service',
  ): DiscoveredServer {
    return {
      id: server.id,
      backendId: server.backendId,
      origin: `http://${server.id}`,
      dataCentre: server.dataCentre,
      slots: server.slots,
      state,
      coldForMs: 0,
      revision: this.registry.revision,
    };
  }

  /** Ends a server and, once its lease has run out, removes its entry from the registry. */
  crashServer(serverId: string, isSilent = false): void {
    const server = this.servers.get(serverId);
    if (server?.isUp !== true) {
      return;
    }
    server.crash(isSilent);
    this.after(registryLeaseMs, () => {
      this.publish([{kind: 'serverGone', serverId, revision: this.registry.revision + 1}]);
    });
    this.after(replacementMs, () => {
      this.addServer(server.backendId);
    });
  }

  /** Sends one request to a host. */
  request(
    routeId: string,
    customerId: string,
    keyDigest: string,
    {hostId = this.#randomLiveHostId(), digest, crash, idempotencyKey}: Partial<CallerRequest> = {},
  ): void {
    const route = this.#options.routes.find(({id}) => id === routeId);
    const host = this.hosts.get(hostId);
    if (route === undefined || host === undefined) {
      return;
    }
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const requestDigest = digest ?? `${requestId}`;
    this.received.push({backendId: route.backendId, atMs: this.queue.nowMs});
    this.#pendingRequests.set(this.#requestKey(hostId, requestId), {
      route,
      digest: requestDigest,
      crash,
      customerId,
      hostId,
      arrivedAtMs: this.queue.nowMs,
      cancels: new Map(),
      statuses: new Map(),
    });
    host.deliver({
      type: 'requestArrived',
      requestId,
      host: 'h',
      path: `/${routeId}/${requestId}`,
      method: 'GET',
      keyDigest,
      isReplayable: true,
      budgetMs: callerBudgetMs,
      requestName: `${requestId}`,
      requestDigest,
      idempotencyKey,
    });
  }

  #randomLiveHostId(): string {
    const up = [...this.hosts.values()].filter(({isUp}) => isUp);
    return up[this.#random.nextInt(up.length)]?.id ?? '';
  }

  #requestKey(hostId: string, requestId: number): string {
    return `${hostId}/${requestId}`;
  }

  /** Adds a server of a backend while the fleet runs, and registers it. */
  addServer(backendId: string): GrayFailureServer {
    const number = [...this.servers.values()].filter(
      (server) => server.backendId === backendId,
    ).length;
    const server = this.#createServer(backendId, number);
    this.publish([
      {
        kind: 'server',
        server: {...this.registryEntryOf(server), revision: this.registry.revision + 1},
      },
    ]);
    return server;
  }

  #createServers(): RegistryChange[] {
    const changes: RegistryChange[] = [];
    for (const {id, servers} of this.#options.backends) {
      for (let number = 0; number < servers; number += 1) {
        const server = this.#createServer(id, number);
        changes.push({kind: 'server', server: this.registryEntryOf(server)});
      }
    }
    return changes;
  }

  #createServer(backendId: string, number: number): GrayFailureServer {
    const {
      dataCentres,
      serverDataCentres = dataCentres,
      seed,
      errorShare,
      longTail,
      slotsPerServer,
    } = this.#options;
    const server = new GrayFailureServer({
      id: `${backendId}-${number}`,
      dataCentre: serverDataCentres[number % serverDataCentres.length] ?? '',
      backendId,
      slots: slotsPerServer,
      maxWaiting,
      random: new SeededRandom(seed * 77 + number),
      errorShare,
      longTail,
      now: () => this.queue.nowMs,
      runAfter: (afterMs, run) => {
        this.after(afterMs, run);
      },
    });
    this.servers.set(server.id, server);
    return server;
  }

  #dispatch(host: SimulatedHost, effect: HostEffect): void {
    switch (effect.type) {
      case 'sendToPeer':
        this.#sendToPeer(host, effect);
        return;
      case 'watchRegistry':
        this.registry.setWatched(host.id, effect.isWanted, effect.afterRevision);
        return;
      case 'startAttempt':
        this.#startAttempt(host, effect);
        return;
      case 'dialServer':
        this.#dial(host, effect.serverId);
        return;
      case 'cancelAttempt':
        this.#pendingRequests
          .get(this.#requestKey(host.id, effect.requestId))
          ?.cancels.get(effect.attempt)?.();
        return;
      case 'deliverAnswer':
        this.#deliverResponse(host, effect.requestId, effect.attempt);
        return;
      case 'refuseRequest':
        this.#recordResult(host.id, effect.requestId, {
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

  #sendToPeer(
    from: SimulatedHost,
    {toHostId, message}: Extract<HostEffect, {type: 'sendToPeer'}>,
  ): void {
    const to = this.hosts.get(toHostId);
    if (to === undefined) {
      return;
    }
    const count = this.peerMessageCounts.get(message.type) ?? 0;
    this.peerMessageCounts.set(message.type, count + 1);
    this.#options.onPeerMessage?.(message, from, to);
    for (const delayMs of this.network.deliveryDelaysMs(
      from.id,
      toHostId,
      this.#delayMs(from, to.dataCentre),
    )) {
      this.after(delayMs, () => {
        to.deliver({type: 'peerMessageReceived', fromHostId: from.id, message});
      });
    }
  }

  #delayMs(from: SimulatedHost, dataCentre: string): number {
    const {localDelayMs, remoteDelayMs} = this.#options;
    return from.dataCentre === dataCentre ? localDelayMs : remoteDelayMs;
  }

  #isPathOpen(hostId: string, serverId: string): boolean {
    const path = `${hostId}>${serverId}`;
    return !this.silentPaths.has(path) && !this.refusedPaths.has(path);
  }

  #isConnectionRefused(host: SimulatedHost, {id, isUp, isDark}: GrayFailureServer): boolean {
    return (!isUp && !isDark) || this.refusedPaths.has(`${host.id}>${id}`);
  }

  #dial(host: SimulatedHost, serverId: string): void {
    const isUp = this.servers.get(serverId)?.isUp === true;
    const isConnected = isUp && this.#isPathOpen(host.id, serverId);
    this.after(isConnected ? this.#options.remoteDelayMs : connectTimeoutMs, () => {
      host.deliver({type: 'serverDialed', serverId, isConnected});
    });
  }

  #startAttempt(host: SimulatedHost, attempt: StartAttempt): void {
    const pending = this.#pendingRequests.get(this.#requestKey(host.id, attempt.requestId));
    const server = this.servers.get(attempt.serverId);
    if (pending === undefined || server === undefined) {
      return;
    }
    const {requestId, attempt: number} = attempt;
    const delayMs = this.#delayMs(host, server.dataCentre);
    let isCancelled = false;
    let abandon = (): void => undefined;
    pending.cancels.set(number, () => {
      isCancelled = true;
      this.after(delayMs, () => {
        abandon();
      });
    });
    const {relayHostId} = attempt;
    const failBeforeSending = (failure: 'connect' | 'relay', afterMs: number): void => {
      this.after(afterMs, () => {
        if (failure === 'connect') {
          host.deliver({type: 'serverDialed', serverId: server.id, isConnected: false});
        }
        host.deliver({
          type: 'attemptFailed',
          requestId,
          attempt: number,
          failure,
          mayHaveRun: false,
        });
      });
    };
    if (relayHostId !== undefined) {
      const isRelayUp = this.hosts.get(relayHostId)?.isUp === true;
      if (!isRelayUp || !this.#isPathOpen(relayHostId, server.id)) {
        failBeforeSending('relay', connectTimeoutMs);
        return;
      }
    } else if (this.#isConnectionRefused(host, server)) {
      failBeforeSending('connect', delayMs);
      return;
    } else if (server.isDark || this.silentPaths.has(`${host.id}>${server.id}`)) {
      if (attempt.needsNewConnection) {
        failBeforeSending('connect', connectTimeoutMs);
      }
      return;
    } else if (attempt.needsNewConnection) {
      host.deliver({type: 'serverDialed', serverId: server.id, isConnected: true});
    }
    const breakOff = (): void => {
      this.after(delayMs, () => {
        const failure = 'lost';
        host.deliver({
          type: 'attemptFailed',
          requestId,
          attempt: number,
          failure,
          mayHaveRun: true,
        });
      });
    };
    this.after(delayMs, () => {
      if (isCancelled) {
        return;
      }
      if (!server.isUp) {
        if (!server.isDark) {
          breakOff();
        }
        return;
      }
      if (this.resetPaths.has(`${host.id}>${server.id}`)) {
        breakOff();
        return;
      }
      const startTimesMs = this.attemptTimesMs.get(server.id) ?? [];
      startTimesMs.push(this.queue.nowMs);
      this.attemptTimesMs.set(server.id, startTimesMs);
      const hostIds = this.attemptHostIds.get(server.id) ?? [];
      hostIds.push(host.id);
      this.attemptHostIds.set(server.id, hostIds);
      const runKey = this.#requestKey(host.id, requestId);
      this.attemptsByRequest.set(runKey, (this.attemptsByRequest.get(runKey) ?? 0) + 1);
      this.arrivals.push({
        digest: pending.digest,
        serverId: server.id,
        atMs: this.queue.nowMs,
      });
      const {digest: requestDigest, route} = pending;
      abandon = server.handle({
        onStart: () => {
          this.runs.push({
            digest: requestDigest,
            routeId: route.id,
            serverId: server.id,
            atMs: this.queue.nowMs,
          });
        },
        crashAfterMs: pending.crash === undefined ? undefined : crashAfterMs,
        onCrash: () => {
          this.#crashUnder(pending, server);
        },
        breakOff,
        meanMs: pending.route.meanMs,
        logDeviation: pending.route.logDeviation,
        timeoutMs: attempt.timeoutMs,
        isTrivial: pending.route.isTrivial ?? false,
        respond: ({status, reportsNotRun}) => {
          pending.statuses.set(number, status);
          const {id: serverId, refusalNotice} = server;
          const notice = {...server.notice, ...(reportsNotRun ? refusalNotice : {})};
          this.after(delayMs, () => {
            this.noticesHeard.push({hostId: host.id, serverId, notice, atMs: this.queue.nowMs});
            host.deliver({type: 'serverNoticed', requestId, serverId, notice});
            host.deliver({
              type: 'attemptAnswered',
              requestId,
              attempt: number,
              status,
              reportsNotRun,
            });
          });
        },
      });
    });
  }

  /** Crashes a server under a request that does so. */
  #crashUnder({crash, digest}: PendingRequest, server: GrayFailureServer): void {
    if (server.isUp) {
      this.crashes.push({digest, serverId: server.id, atMs: this.queue.nowMs});
      this.crashServer(server.id, crash === 'silent');
    }
  }

  #deliverResponse(host: SimulatedHost, requestId: number, attempt: number): void {
    const status = this.#pendingRequests
      .get(this.#requestKey(host.id, requestId))
      ?.statuses.get(attempt);
    this.#recordResult(host.id, requestId, {status});
    this.after(0, () => {
      host.deliver({type: 'attemptFinished', requestId, attempt});
    });
  }

  #recordResult(
    hostId: string,
    requestId: number,
    end: Partial<Pick<RequestResult, 'status' | 'refusal' | 'outcome' | 'retryAfterMs'>>,
  ): void {
    const key = this.#requestKey(hostId, requestId);
    const pending = this.#pendingRequests.get(key);
    if (pending === undefined) {
      return;
    }
    this.#pendingRequests.delete(key);
    const {route, customerId, arrivedAtMs, digest} = pending;
    this.outcomes.push({
      digest,
      arrivals: this.attemptsByRequest.get(key) ?? 0,
      routeId: route.id,
      customerId,
      hostId,
      arrivedAtMs,
      durationMs: this.queue.nowMs - arrivedAtMs,
      status: end.status,
      refusal: end.refusal,
      outcome: end.outcome,
      retryAfterMs: end.retryAfterMs,
    });
  }
}
