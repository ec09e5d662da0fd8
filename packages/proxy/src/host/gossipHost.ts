import {
  DEFAULT_INTAKE_OPTIONS,
  ResponseMemoryBudget,
  SeededRandom,
  callerMemoryBytes,
  createGossipCore,
} from '@godwitspring/core';
import type {FleetBounds, HashFunction, HostEffect, IntakeOptions} from '@godwitspring/core';
import type {CallerLimits, HedgingSettings} from '@godwitspring/document';
import {PeerTask} from '@godwitspring/peer';
import type {PeerReport} from '@godwitspring/peer';
import type {Logger} from 'pino';
import {AdminTask} from '../admin/adminTask.ts';
import {BackendTask} from '../backends/backendTask.ts';
import {dialTcp} from '../backends/serverConnectionPool.ts';
import type {Dial} from '../backends/serverConnectionPool.ts';
import {CallerTask} from '../callers/callerTask.ts';
import type {HttpDialect} from '../dialect/httpDialect.ts';
import {RateLimitedLog} from '../log/rateLimitedLog.ts';
import {MetricsTask} from '../metrics/metricsTask.ts';
import {ReadinessTask} from '../readiness/readinessTask.ts';
import type {RegistrySource} from '../registry/registrySource.ts';
import {RegistryWatchTask} from '../registry/registryWatchTask.ts';
import {AttemptRelayTask} from '../attempt-relay/attemptRelayTask.ts';
import {SuspensionDetector} from '../timer/suspensionDetector.ts';
import type {TimerService} from '../timer/timerService.ts';
import {HostIntake} from '../intake/hostIntake.ts';
import {CoreRunner} from './coreRunner.ts';
import {PeerDataCentres} from './peerDataCentres.ts';
import {listenAddress, splitAddress} from './splitAddress.ts';

/** Addresses at which a host listens, as `IP:port`. */
export interface GossipHostAddresses {
  readonly callers: string;
  /** Address for the other hosts of the fleet; it is also the id of this host. */
  readonly peers: string;
  /** Address for the readiness checks of a load balancer. */
  readonly readiness: string;
  /** Address for operators: status, counters and metrics. */
  readonly admin: string;
  /** Address at which attempts of hosts that are cut off from the servers arrive; the port is equal on all hosts. */
  readonly relay: string;
}

/** Settings and collaborators of a host that finds its peers by gossip. */
export interface GossipHostOptions {
  readonly addresses: GossipHostAddresses;
  readonly dataCentre: string;
  /** Peer addresses of some hosts of the fleet, used to find the others; they may be stale or down. */
  readonly seedIds: readonly string[];
  /** True where the whole fleet starts for the first time, before any caller sends a request. */
  readonly isFirstStart: boolean;
  readonly bounds: FleetBounds;
  /** Limits on hedged attempts of the backends whose document has none; equal on every host. Default: none. */
  readonly hedging?: HedgingSettings | undefined;
  /** Limits on what the process holds for its callers. Default: `DEFAULT_INTAKE_OPTIONS`. */
  readonly limits?: Partial<IntakeOptions>;
  /** Path of the readiness check of a load balancer. */
  readonly readinessPath: string;
  /** Time allowed from the request to stop to the end of the process, in ms. */
  readonly graceMs: number;
  /** Header names and form of refusals that callers and backend servers use. */
  readonly dialect: HttpDialect;
  /** Registry from which the host reads its configuration and the backend servers. */
  readonly source: RegistrySource;
  readonly timers: TimerService;
  /** Unix time of the start of the process, in ms. */
  readonly bornMs: number;
  /** Processing capacity of this host, in cores; homes of busy keys are chosen by it. */
  readonly capacityCores: number;
  /** Reads the wall clock, in ms. */
  readonly wallClockMs: () => number;
  /** Starts to open a socket to a server or a relaying host. Default: TCP. */
  readonly dial?: Dial;
  readonly log: Logger;
  readonly hash: HashFunction;
  /** Seed of all random choices of this host. */
  readonly seed: number;
}

/** Responses up to this size are read completely before any of it is sent to the caller, in bytes. */
const bufferedResponseBytes = 262_144;
/**
 * Request bodies up to this size are buffered, in bytes, so that the request can be sent to another server
 * when one did not accept it.
 */
const maxReplayableBytes = 524_288;
/** Longest wait for a connection to a server, in ms: some forty round trips between data centres. */
const connectTimeoutMs = 120;
/** Time after which an idle connection to a server is closed, in ms; servers close theirs after 10 s. */
const idleMs = 8_000;
/**
 * Share of the grace time during which new requests are still accepted: a load balancer takes 2 s to notice
 * that the host is no longer ready.
 */
const acceptShareOfGrace = 0.5;
/**
 * Share of the grace time after which only requests are accepted whose whole time budget lies before its end. It is
 * smaller than the share above, as the signal may be handled late.
 */
const lenientShareOfGrace = 0.45;
/** Part of the grace time that is reserved for refusals, closing sockets and ending the process, in ms. */
const closeMarginMs = 500;
/** Time in which the refusals at the end of the grace time are sent, in ms. */
const lastRefusalsMs = 100;
/** Limits on callers until the first configuration document is in force, as is typical for web servers. */
const initialCallerLimits = {maxHeadBytes: 65_536, headTimeoutMs: 10_000, idleTimeoutMs: 15_000};
/** Wait before a broken connection to a peer is opened again, in ms: a process is up within a second of its start. */
const reconnectMs = 100;
/**
 * Largest message between hosts, in bytes. Such a message holds a whole document, which is larger than the published
 * text, as it names each key by a digest.
 */
const maxPeerMessageBytes = 33_554_432;
/** Longest pause of a caller within a request body, in ms. */
const bodyIdleTimeoutMs = 5_000;

/**
 * A proxy host of a fleet whose hosts find each other by gossip, starting from seed addresses, and read their
 * configuration from a registry. Wires the core to the tasks that own the sockets and timers.
 */
export class GossipHost {
  readonly #options: GossipHostOptions;
  readonly #metrics: MetricsTask;
  readonly #log: RateLimitedLog;
  readonly #runner: CoreRunner;
  readonly #intake: HostIntake;
  readonly #callers: CallerTask;
  readonly #backends: BackendTask;
  readonly #peers: PeerTask;
  readonly #registry: RegistryWatchTask;
  readonly #readiness: ReadinessTask;
  readonly #admin: AdminTask;
  readonly #relay: AttemptRelayTask;
  readonly #suspensionDetector: SuspensionDetector;
  readonly #peerDataCentres: PeerDataCentres;

  constructor(options: GossipHostOptions) {
    this.#options = options;
    const {addresses, dialect, timers, log, source} = options;
    const selfId = addresses.peers;
    const {port: relayPort} = splitAddress(addresses.relay);
    this.#log = new RateLimitedLog({log, timers});
    this.#metrics = new MetricsTask();
    this.#peerDataCentres = new PeerDataCentres(options.dataCentre);
    const postToCore: CoreRunner['post'] = (event) => {
      this.#runner.post(event);
    };
    const count: MetricsTask['count'] = (name, tags) => {
      this.#metrics.count(name, tags);
    };
    const {dataCentre, bornMs, capacityCores, seedIds, isFirstStart, bounds, hedging, hash, seed} =
      options;
    const random = new SeededRandom(seed);
    this.#runner = new CoreRunner({
      core: createGossipCore({
        selfId,
        dataCentre,
        bornMs,
        capacityCores,
        seedIds,
        isFirstStart,
        bounds,
        hedging,
        random,
        hash,
      }),
      timers,
      dispatch: (effect) => {
        this.#dispatch(effect);
      },
    });
    const limits = {...DEFAULT_INTAKE_OPTIONS, ...options.limits};
    const responseMemory = new ResponseMemoryBudget();
    this.#intake = new HostIntake({
      limits,
      timers,
      count: (name, tags, by) => {
        this.#metrics.count(name, tags, by);
      },
      warn: (event, fields) => {
        this.#log.write('warn', event, fields);
      },
    });
    this.#backends = new BackendTask({
      dialect,
      timers,
      postToCore,
      count,
      warn: (event, fields) => {
        this.#log.write('warn', event, fields);
      },
      bufferedResponseBytes,
      responseMemory,
      connectTimeoutMs,
      idleMs,
      dial: options.dial ?? dialTcp,
      relayOriginOf: (hostId) => `http://${splitAddress(hostId).host}:${relayPort}`,
      answer: (requestId, answer) => {
        this.#callers.post({type: 'answerArrived', requestId, answer});
      },
    });
    this.#callers = new CallerTask({
      intake: this.#intake,
      ...initialCallerLimits,
      bodyIdleTimeoutMs,
      maxReplayableBytes,
      dialect,
      selfId,
      ...listenAddress(addresses.callers),
      timers,
      postToCore,
      count,
      postToBackends: (command) => {
        this.#backends.post(command);
      },
    });
    this.#peers = new PeerTask({
      maxIncompleteBytes: callerMemoryBytes(limits),
      guard: (server) => {
        this.#intake.attach(server, 'peers');
      },
      selfId,
      ...listenAddress(addresses.peers),
      reconnectMs,
      maxMessageBytes: maxPeerMessageBytes,
      areHostIdsAddresses: true,
      report: (report) => {
        this.#onPeerReport(report);
      },
    });
    this.#relay = new AttemptRelayTask({
      responseMemory,
      intake: this.#intake,
      ...listenAddress(addresses.relay),
      connectTimeoutMs,
      idleMs,
      dialect,
      timers,
      postToCore,
      count,
    });
    this.#registry = new RegistryWatchTask({source, timers, postToCore, count});
    this.#readiness = new ReadinessTask({
      intake: this.#intake,
      ...listenAddress(addresses.readiness),
      path: options.readinessPath,
      isReady: () => this.#runner.status().requests?.isReady === true,
    });
    this.#suspensionDetector = new SuspensionDetector({
      timers,
      wallClockMs: options.wallClockMs,
      postToCore,
    });
    this.#admin = new AdminTask({
      intake: this.#intake,
      ...listenAddress(addresses.admin),
      counters: () => this.#metrics.counters.snapshot(),
      metrics: this.#metrics.prometheus,
      status: () => this.#runner.status(),
      document: () => this.#runner.documentInForce(),
    });
  }

  /** Applies the settings that may change while the host runs: the seed addresses. */
  reload(seedIds: readonly string[]): void {
    this.#runner.post({type: 'seedsChanged', seedIds: [...seedIds]});
    this.#log.write('info', 'host.reloaded', {seedIds});
  }

  /** Logs and counts an error that no part of the host handled; the host continues to serve its other requests. */
  recordUnexpectedError(error: unknown): void {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.#metrics.count('host.unexpected');
    this.#log.write('error', 'host.unexpected', {reason});
  }

  /** Opens the ports and starts the core; fails where an address is in use. */
  async start(): Promise<void> {
    await this.#admin.start();
    await this.#peers.start();
    await this.#relay.start();
    await this.#callers.start();
    await this.#readiness.start();
    this.#suspensionDetector.start();
    this.#runner.post({type: 'timerFired', timerId: 'start'});
    const {addresses, dataCentre, seedIds, bornMs} = this.#options;
    this.#log.write('info', 'host.started', {addresses, dataCentre, seedIds, bornMs});
  }

  /**
   * Shuts down within the grace time: reports to the load balancer and the peers that the host stops, still
   * serves requests that arrive for a while and can be answered before the end, then waits for the running
   * ones. Requests that are not done shortly before the end of the grace time are refused.
   */
  async stop(): Promise<void> {
    const {graceMs, timers} = this.#options;
    const inProgress = this.#callers.inProgress;
    this.#log.write('info', 'host.stopping', {inProgress, graceMs});
    const startMs = timers.nowMs();
    const endAtMs = startMs + graceMs - closeMarginMs;
    const lenientUntilMs = startMs + graceMs * lenientShareOfGrace;
    this.#runner.post({type: 'shutdownAnnounced', endsAtMs: endAtMs, lenientUntilMs});
    this.#callers.closeConnectionsAfterResponses();
    this.#relay.refuseAttempts();
    await this.#waitUntil(startMs + graceMs * acceptShareOfGrace);
    const drained = Promise.all([this.#callers.drain(), this.#relay.drain()]).then(() => 'drained');
    const ended = this.#waitUntil(endAtMs + lastRefusalsMs).then(() => 'cut');
    const result = await Promise.race([drained, ended]);
    this.#log.write('info', 'host.stopped', {result, inProgress: this.#callers.inProgress});
    await this.#close();
  }

  async #close(): Promise<void> {
    this.#suspensionDetector.stop();
    this.#intake.stop();
    this.#callers.stop();
    this.#readiness.stop();
    this.#admin.stop();
    await this.#relay.stop();
    await this.#peers.stop();
    await this.#options.source.stop();
    await this.#backends.stop();
    await this.#metrics.stop();
  }

  async #waitUntil(momentMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#options.timers.at(momentMs, resolve);
    });
  }

  #dispatch(effect: HostEffect): void {
    switch (effect.type) {
      case 'headScreened':
      case 'startAttempt':
      case 'deliverAnswer':
      case 'discardAnswer':
      case 'refuseRequest':
      case 'replayAnswer':
        this.#callers.post(effect);
        return;
      case 'cancelAttempt':
      case 'sendProbe':
      case 'dialServer':
        this.#backends.post(effect);
        return;
      case 'relayTargets':
        this.#relay.setTargets(effect);
        return;
      case 'watchRegistry':
        this.#registry.setEnabled(effect.isWanted, {
          epoch: effect.afterEpoch,
          revision: effect.afterRevision,
        });
        return;
      case 'sendToPeer':
        this.#metrics.count('peer.sent', {type: effect.message.type});
        this.#peers.send(effect.toHostId, effect.message);
        return;
      case 'linkPeers':
        this.#peers.setHosts(effect.list.hosts);
        return;
      case 'limitCallers':
        this.#limitCallers(effect.limits);
        return;
      case 'count':
        this.#metrics.count(effect.name, effect.tags, effect.by);
        return;
      case 'observe':
        this.#metrics.observe(effect.name, effect.tags, effect.valueMs);
        return;
      case 'log':
        this.#log.write(effect.level, effect.event, effect.fields);
        return;
      default:
        return;
    }
  }

  #limitCallers(limits: CallerLimits): void {
    this.#callers.setLimits(limits);
  }

  /** Counts bytes by direction, type of message, and whether the other host is in the same data centre. */
  #countBytes({direction, count, hostId, messageType}: Extract<PeerReport, {type: 'bytes'}>): void {
    const scope = this.#peerDataCentres.scopeOf(hostId);
    this.#metrics.count('peer.bytes', {direction, type: messageType ?? 'unreadable', scope}, count);
  }

  #onPeerReport(report: PeerReport): void {
    switch (report.type) {
      case 'bytes':
        this.#countBytes(report);
        return;
      case 'refused': {
        const {fromHostId, reason} = report;
        this.#metrics.count('peer.refused', {reason});
        this.#log.write('warn', 'peer.refused', {fromHostId, reason});
        return;
      }
      case 'absent':
        this.#metrics.count('peer.absent');
        this.#runner.post({type: 'peerAbsent', hostId: report.hostId});
        return;
      case 'received': {
        const {fromHostId, message} = report;
        if (message.type === 'rosterNews') {
          this.#peerDataCentres.record(message);
        }
        this.#runner.post({type: 'peerMessageReceived', fromHostId, message});
        return;
      }
    }
  }
}
