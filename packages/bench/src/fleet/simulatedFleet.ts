import {createHash} from 'node:crypto';
import {HostCore, SeededRandom} from '@godwitspring/core';
import type {HashFunction, HostCoreOptions, HostEffect, PeerMessage} from '@godwitspring/core';
import type {FleetDocument} from '@godwitspring/document';
import {EventQueue} from './eventQueue.ts';
import {SimulatedHost} from './simulatedHost.ts';
import {SimulatedNetwork} from './simulatedNetwork.ts';
import {SimulatedPlatform} from './simulatedPlatform.ts';
import {SimulatedServer} from './simulatedServer.ts';
import type {ServerBehaviour} from './simulatedServer.ts';

/** How one caller request ended. */
export interface RequestOutcome {
  /** Name that the fleet gave the request. */
  readonly name: string;
  readonly hostId: string;
  readonly customerId: string;
  readonly arrivedAtMs: number;
  readonly endedAtMs: number;
  /** HTTP status of the response delivered to the caller; undefined for a refusal. */
  readonly status: number | undefined;
  /** Kind of the refusal; undefined where a response was delivered. */
  readonly refusal: string | undefined;
  /** What a refusal reports about the execution, such as `not-run`; undefined for a response. */
  readonly reportedOutcome: string | undefined;
}

/** One attempt that a host sent to a backend server. */
export interface SentAttempt {
  readonly name: string;
  readonly hostId: string;
  readonly customerId: string;
  readonly attempt: number;
  readonly serverId: string;
  readonly atMs: number;
}

/** Options of a simulated fleet. */
export interface SimulatedFleetOptions {
  readonly hostCount: number;
  readonly document: FleetDocument;
  readonly hash: HashFunction;
  readonly seed: number;
  /** One-way delay between hosts of one data centre, in ms. Default: 0.25. */
  readonly localDelayMs: number;
  /** One-way delay between data centres, in ms. Default: 1.5. */
  readonly remoteDelayMs: number;
  /** Largest relative deviation of a host clock's rate from true time. Default: 0.0002. */
  readonly maxClockDrift: number;
  /** Changes to the servers' default behaviour. */
  readonly server: Partial<ServerBehaviour>;
  /** Further options of the core of each host. */
  readonly core: (hostId: string) => Partial<HostCoreOptions>;
  /** Called for each effect of a core, before the simulation carries it out. */
  readonly onEffect: (hostId: string, effect: HostEffect) => void;
  /** Called for each peer message, before it may be lost or delayed. */
  readonly onMessage: (fromHostId: string, message: PeerMessage, toHostId: string) => void;
}

/** Defaults of the options that a test may leave out. */
export const DEFAULT_SIMULATED_FLEET_OPTIONS = {
  localDelayMs: 0.25,
  remoteDelayMs: 1.5,
  maxClockDrift: 0.0002,
  server: {},
  core: () => ({}),
  onMessage: () => undefined,
  onEffect: () => undefined,
} as const;

type RequiredOptions = Pick<SimulatedFleetOptions, 'hostCount' | 'document' | 'hash' | 'seed'>;

/** A request that has no outcome yet. */
interface PendingRequest {
  readonly name: string;
  /** Name under which servers count executions; duplicates with one idempotency key share it. */
  readonly runName: string;
  readonly customerId: string;
  readonly arrivedAtMs: number;
  readonly path: string;
}

/** Path of poison requests: each server that receives one crashes. */
export const poisonPath = '/consultas/poison';
/** Time for which a server stays down after a poison request, in ms. */
const poisonedServerDownMs = 3_000;
/** Time after which a long poll without a change returns, in ms. */
const longPollMs = 1_500;
const defaultServerBehaviour: ServerBehaviour = {
  serviceMs: 10,
  failureShare: 0,
  isUp: true,
  saysHealthy: true,
  slots: 2,
  maxWaiting: 8,
};
/** Name of the platform as an end of a network link. */
const platformNodeId = 'platform';

/** SHA-256 digest of a text, in hex. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Simulates a fleet in one process under virtual time: the core of each host, the network between them,
 * the platform that publishes host lists and documents, and the backend servers.
 *
 * Runs with the same seed and options repeat exactly. Tests inject faults into the network, the platform and
 * the servers, and read what happened from `outcomes`, `attempts`, `counts` and `logs`.
 */
export class SimulatedFleet {
  readonly queue = new EventQueue();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly servers = new Map<string, SimulatedServer>();
  readonly network: SimulatedNetwork;
  /** Requests that ended, in the order of their end. */
  readonly outcomes: RequestOutcome[] = [];
  /** Attempts in the order in which hosts sent them. */
  readonly attempts: SentAttempt[] = [];
  /** Sums of all counters over the fleet, by `name` and by `name{tag=value}`. */
  readonly counts = new Map<string, number>();
  /** Log entries of all hosts. */
  readonly logs: {
    hostId: string;
    event: string;
    atMs: number;
    fields: Record<string, unknown>;
  }[] = [];
  readonly platform = new SimulatedPlatform();
  readonly #options: SimulatedFleetOptions;
  readonly #random: SeededRandom;
  readonly #pendingRequests = new Map<string, PendingRequest>();
  #nextRequestId = 1;
  #startedHostCount = 0;

  constructor(options: Partial<SimulatedFleetOptions> & RequiredOptions) {
    this.#options = {...DEFAULT_SIMULATED_FLEET_OPTIONS, ...options};
    this.#random = new SeededRandom(options.seed);
    this.network = new SimulatedNetwork(new SeededRandom(options.seed + 1));
    for (const backend of options.document.backends) {
      for (const {id} of backend.servers) {
        const behaviour = {
          ...defaultServerBehaviour,
          slots: backend.slotsPerServer,
          ...this.#options.server,
        };
        this.servers.set(
          id,
          new SimulatedServer(behaviour, (afterMs, run) => this.after(afterMs, run)),
        );
      }
    }
    this.publish(options.document);
    const names = Array.from({length: options.hostCount}, (_, index) => `host-${index + 1}`);
    this.#publishHostList(names);
    for (const name of names) {
      this.startHost(name);
    }
  }

  /** Runs a callback after a delay in virtual time. */
  after(afterMs: number, run: () => void): void {
    this.queue.schedule(this.queue.nowMs + afterMs, run);
  }

  /** Advances virtual time. */
  run(forMs: number): void {
    this.queue.runUntil(this.queue.nowMs + forMs);
  }

  /** Publishes a document on the platform. */
  publish(document: FleetDocument): void {
    this.platform.publish(document, sha256);
  }

  /** Freezes what the platform serves, including its clock, or lets it serve the present state again. */
  setPlatformStale(isStale: boolean): void {
    this.platform.setStale(isStale, this.queue.nowMs);
  }

  /** Data centre of a host: hosts are spread over the data centres in turn, by their number. */
  dataCentreOf(hostId: string): string {
    const {dataCentres} = this.#options.document;
    const index = Number(hostId.slice(hostId.lastIndexOf('-') + 1)) - 1;
    return dataCentres[index % dataCentres.length]?.id ?? '';
  }

  /** Starts a proxy process with empty state at a host. */
  startHost(id: string): SimulatedHost {
    const {hash, seed, maxClockDrift, core} = this.#options;
    this.#startedHostCount += 1;
    const driftSteps = this.#random.nextInt(2_001) - 1_000;
    const host = new SimulatedHost({
      id,
      dataCentre: this.dataCentreOf(id),
      core: new HostCore({
        selfId: id,
        dataCentre: this.dataCentreOf(id),
        hash,
        random: new SeededRandom(seed * 1_000 + this.#startedHostCount),
        ...core(id),
      }),
      queue: this.queue,
      clockOffsetMs: this.#random.nextInt(1_000_000),
      clockRate: 1 + (driftSteps / 1_000) * maxClockDrift,
      dispatch: (sender, effect) => {
        this.#dispatch(sender, effect);
      },
    });
    this.hosts.set(id, host);
    this.after(this.#random.nextInt(50), () => {
      this.#pollPlatform(host, -1, -1);
    });
    return host;
  }

  /** Ends the process at a host abruptly, without a shutdown. */
  crashHost(id: string): void {
    this.hosts.get(id)?.crash();
  }

  /** Publishes a host list in which the platform shows these hosts as live. */
  publishLiveHosts(ids: readonly string[]): void {
    this.#publishHostList(ids);
  }

  /** Sends a request to a host and returns the name under which its outcome is recorded. */
  request(
    hostId: string,
    customerId: string,
    {
      path = '/consultas/1',
      method = 'GET',
      budgetMs,
      idempotencyKey,
      key = `example-key-${customerId}`,
    }: {
      path?: string;
      method?: string;
      budgetMs?: number;
      idempotencyKey?: string;
      key?: string;
    } = {},
  ): string {
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const name = `r${requestId}`;
    const arrivedAtMs = this.queue.nowMs;
    const runName = idempotencyKey === undefined ? name : `${customerId}/${idempotencyKey}`;
    this.#pendingRequests.set(`${hostId}/${requestId}`, {
      name,
      runName,
      customerId,
      arrivedAtMs,
      path,
    });
    this.hosts.get(hostId)?.deliver({
      type: 'requestArrived',
      requestId,
      host: 'any',
      path,
      method,
      keyDigest: sha256(key),
      isReplayable: true,
      budgetMs,
      idempotencyKey,
      requestDigest: sha256(`${method} ${path}`).slice(0, 32),
    });
    return name;
  }

  #publishHostList(ids: readonly string[]): void {
    const hosts = ids.map((id) => ({
      id,
      dataCentre: this.dataCentreOf(id),
      peerAddress: '127.0.0.1:1',
      state: 'live' as const,
    }));
    this.platform.publishHosts(hosts, this.queue.nowMs);
  }

  /**
   * Simulates the long polls of a host against the platform. A change is seen within 100 ms;
   * without a change the host receives the unchanged state every `longPollMs`. While the platform is down
   * or cut off, the host tries again every second.
   */
  #pollPlatform(
    host: SimulatedHost,
    listVersion: number,
    manifestVersion: number,
    waitedMs = longPollMs,
  ): void {
    const pollMs = 100;
    if (!host.isUp) {
      return;
    }
    const isDisconnected =
      this.network.isCut(platformNodeId, host.id) || this.network.isCut(host.id, platformNodeId);
    if (this.platform.isDown || isDisconnected) {
      this.after(pollMs * 10, () => {
        this.#pollPlatform(host, listVersion, manifestVersion);
      });
      return;
    }
    const {lists, manifest, asOfMs} = this.platform.view(this.queue.nowMs);
    const newLists =
      listVersion < 0 ? lists.slice(-1) : lists.filter(({version}) => version > listVersion);
    const hasChanges = newLists.length > 0 || manifest?.version !== manifestVersion;
    const requestedAtMs = host.nowMs() - (hasChanges ? 0 : waitedMs);
    const isDue = hasChanges || waitedMs >= longPollMs;
    if (isDue) {
      const last = lists.at(-1);
      for (const list of newLists.length > 0 || last === undefined ? newLists : [last]) {
        host.deliver({type: 'hostListRead', list: {...list, asOfMs}, requestedAtMs});
      }
      if (manifest !== undefined) {
        host.deliver(
          manifest.version === manifestVersion
            ? {type: 'manifestUnchanged', version: manifestVersion, requestedAtMs}
            : {type: 'manifestRead', manifest, requestedAtMs},
        );
      }
    }
    this.after(pollMs, () => {
      const version = Math.max(listVersion, lists.at(-1)?.version ?? -1);
      this.#pollPlatform(
        host,
        version,
        manifest?.version ?? -1,
        isDue ? pollMs : waitedMs + pollMs,
      );
    });
  }

  #dispatch(host: SimulatedHost, effect: HostEffect): void {
    this.#options.onEffect(host.id, effect);
    switch (effect.type) {
      case 'sendToPeer':
        this.#sendToPeer(host, effect.toHostId, effect.message);
        return;
      case 'readPart':
        this.#readPart(host, effect.sha256, effect.fromHostId);
        return;
      case 'startAttempt':
        this.#startAttempt(host, effect);
        return;
      case 'deliverAnswer':
        this.#deliverResponse(host, effect.requestId, effect.attempt);
        return;
      case 'refuseRequest':
        this.#recordOutcome(host, effect.requestId, undefined, effect.kind, effect.outcome);
        return;
      case 'replayAnswer':
        this.#recordOutcome(host, effect.requestId, effect.answer.status, undefined, undefined);
        return;
      case 'sendProbe':
        this.#probe(host, effect.serverId);
        return;
      case 'count':
        this.#addToCounters(effect);
        return;
      case 'log':
        this.logs.push({
          hostId: host.id,
          event: effect.event,
          atMs: this.queue.nowMs,
          fields: effect.fields,
        });
        return;
      default:
        return;
    }
  }

  #addToCounters({name, tags, by}: Extract<HostEffect, {type: 'count'}>): void {
    const keys = [name, ...Object.entries(tags).map(([tag, value]) => `${name}{${tag}=${value}}`)];
    for (const key of keys) {
      this.counts.set(key, (this.counts.get(key) ?? 0) + (by ?? 1));
    }
  }

  #delayMs(from: string, to: string): number {
    const {localDelayMs, remoteDelayMs} = this.#options;
    return this.dataCentreOf(from) === this.dataCentreOf(to) ? localDelayMs : remoteDelayMs;
  }

  #sendToPeer(host: SimulatedHost, toHostId: string, message: PeerMessage): void {
    this.#options.onMessage(host.id, message, toHostId);
    for (const delayMs of this.network.deliveryDelaysMs(
      host.id,
      toHostId,
      this.#delayMs(host.id, toHostId),
    )) {
      this.after(delayMs, () => {
        this.#deliverToPeer(host.id, toHostId, message);
      });
    }
  }

  #deliverToPeer(fromHostId: string, toHostId: string, message: PeerMessage): void {
    const host = this.hosts.get(toHostId);
    if (message.type === 'partAnswer') {
      const {sha256: digest, text} = message;
      host?.deliver(
        text === undefined
          ? {type: 'partUnavailable', sha256: digest}
          : {type: 'partRead', sha256: digest, text},
      );
      return;
    }
    host?.deliver({type: 'peerMessageReceived', fromHostId, message});
  }

  #readPart(host: SimulatedHost, digest: string, fromHostId: string | undefined): void {
    if (fromHostId !== undefined) {
      this.#sendToPeer(host, fromHostId, {type: 'partAsk', sha256: digest});
      return;
    }
    const text = this.platform.partText(digest);
    const isReadable = !this.platform.isDown && !this.network.isCut(platformNodeId, host.id);
    this.after(2, () => {
      host.deliver(
        text === undefined || !isReadable
          ? {type: 'partUnavailable', sha256: digest}
          : {type: 'partRead', sha256: digest, text},
      );
    });
  }

  #startAttempt(host: SimulatedHost, effect: Extract<HostEffect, {type: 'startAttempt'}>): void {
    const {requestId, attempt, serverId} = effect;
    const pending = this.#pendingRequests.get(`${host.id}/${requestId}`);
    const server = this.servers.get(serverId);
    if (pending === undefined || server === undefined) {
      return;
    }
    const {name, runName, customerId, path} = pending;
    this.attempts.push({
      name,
      hostId: host.id,
      customerId,
      attempt,
      serverId,
      atMs: this.queue.nowMs,
    });
    const delayMs = this.#options.localDelayMs;
    const isReachable = server.behaviour.isUp && !this.network.isCut(host.id, serverId);
    if (!isReachable) {
      this.after(delayMs, () => {
        host.deliver({
          type: 'attemptFailed',
          requestId,
          attempt,
          failure: 'connect',
          mayHaveRun: false,
        });
      });
      return;
    }
    this.after(delayMs, () => {
      server.handle(runName, ({status, reportsNotRun}) => {
        this.after(delayMs, () => {
          if (status === 0) {
            const failure = 'lost';
            host.deliver({type: 'attemptFailed', requestId, attempt, failure, mayHaveRun: true});
          } else if (!this.network.isCut(serverId, host.id)) {
            host.deliver({type: 'attemptAnswered', requestId, attempt, status, reportsNotRun});
            this.#statusByAttempt.set(`${host.id}/${requestId}/${attempt}`, status);
          }
        });
      });
      if (path === poisonPath) {
        server.crash(poisonedServerDownMs);
      }
    });
  }

  readonly #statusByAttempt = new Map<string, number>();

  #deliverResponse(host: SimulatedHost, requestId: number, attempt: number): void {
    this.after(0, () => {
      const status = this.#statusByAttempt.get(`${host.id}/${requestId}/${attempt}`);
      const answer = {status: status ?? 0, body: new Uint8Array(0)};
      host.deliver({type: 'attemptFinished', requestId, attempt, answer});
      this.#recordOutcome(host, requestId, status, undefined, undefined);
    });
  }

  #probe(host: SimulatedHost, serverId: string): void {
    const server = this.servers.get(serverId);
    const latencyMs = 25;
    this.after(latencyMs, () => {
      const isReachable = server?.behaviour.isUp === true && !this.network.isCut(host.id, serverId);
      host.deliver({
        type: 'probeAnswered',
        serverId,
        isHealthy: isReachable && server.behaviour.saysHealthy,
        latencyMs,
      });
    });
  }

  #recordOutcome(
    host: SimulatedHost,
    requestId: number,
    status: number | undefined,
    refusal: string | undefined,
    reportedOutcome: string | undefined,
  ): void {
    const key = `${host.id}/${requestId}`;
    const pending = this.#pendingRequests.get(key);
    if (pending === undefined) {
      return;
    }
    this.#pendingRequests.delete(key);
    const {name, customerId, arrivedAtMs} = pending;
    const endedAtMs = this.queue.nowMs;
    this.outcomes.push({
      name,
      hostId: host.id,
      customerId,
      arrivedAtMs,
      endedAtMs,
      status,
      refusal,
      reportedOutcome,
    });
  }
}
