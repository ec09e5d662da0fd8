import {SeededRandom, createSelfFoundCore} from '@godwitspring/core';
import type {FleetBounds, HashFunction, HostEffect} from '@godwitspring/core';
import type {CallerLimits} from '@godwitspring/document';
import {PeerTask} from '@godwitspring/peer';
import type {PeerReport} from '@godwitspring/peer';
import type {Logger} from 'pino';
import {AdminTask} from '../admin/adminTask.ts';
import {BackendTask} from '../backends/backendTask.ts';
import {CallerTask} from '../callers/callerTask.ts';
import type {HttpDialect} from '../dialect/httpDialect.ts';
import {BoundedLog} from '../log/boundedLog.ts';
import {MetricsTask} from '../metrics/metricsTask.ts';
import {ReadinessTask} from '../readiness/readinessTask.ts';
import type {RegistrySource} from '../registry/registrySource.ts';
import {RegistryWatchTask} from '../registry/registryWatchTask.ts';
import {ClockWatch} from '../timer/clockWatch.ts';
import type {TimerService} from '../timer/timerService.ts';
import {CoreRunner} from './coreRunner.ts';
import {listenAddress} from './splitAddress.ts';

/** Where a host listens, as `IP:port`. */
export interface FleetHostAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly readiness: string;
  readonly admin: string;
}

export interface FleetHostOptions {
  readonly addresses: FleetHostAddresses;
  readonly dataCentre: string;
  /** Addresses of the peer ports of some hosts of the fleet; they may be stale or down. */
  readonly seedIds: readonly string[];
  /** True where the whole fleet starts for the first time, before callers come. */
  readonly isFirstStart: boolean;
  readonly bounds: FleetBounds;
  /** Path at which a load balancer asks whether the host is ready. */
  readonly readinessPath: string;
  /** Time between the request to stop and the end of the process, in ms. */
  readonly graceMs: number;
  readonly dialect: HttpDialect;
  readonly source: RegistrySource;
  readonly timers: TimerService;
  /** Unix time of the start of the process, in ms. */
  readonly bornMs: number;
  /** Time of day, in ms. */
  readonly wallMs: () => number;
  readonly log: Logger;
  readonly hash: HashFunction;
  /** Seed of all random choices of this host. */
  readonly seed: number;
}

/** Answers up to this size are read whole before any of it goes to the caller, in bytes. */
const bufferedAnswerBytes = 262_144;
/** Request bodies up to this size are kept, so that a server that did not take them costs nothing, in bytes. */
const maxReplayableBytes = 524_288;
/** Longest wait for a connection to a server: some forty round trips between data centres, in ms. */
const connectTimeoutMs = 120;
/** Idle connections are closed well before servers do so after 10 s, in ms. */
const idleMs = 8_000;
/** Share of the grace time in which callers may still arrive: a load balancer takes 2 s to notice. */
const arrivalShare = 0.5;
/** Part of the grace time kept for the end of the process, in ms. */
const endMarginMs = 500;
/** Limits on callers before the first document, as usual for web servers. */
const firstLimits = {maxHeadBytes: 65_536, headTimeoutMs: 10_000, idleTimeoutMs: 15_000};
/** Wait before a broken link to a peer is opened again, in ms: a process that starts is there in a second. */
const reconnectMs = 100;
const bodyIdleTimeoutMs = 5_000;
const metricsIntervalMs = 10_000;

/** One host of a fleet whose hosts find each other: the core and the tasks round it. */
export class FleetHost {
  readonly #options: FleetHostOptions;
  readonly #metrics: MetricsTask;
  readonly #log: BoundedLog;
  readonly #runner: CoreRunner;
  readonly #callers: CallerTask;
  readonly #backends: BackendTask;
  readonly #peers: PeerTask;
  readonly #registry: RegistryWatchTask;
  readonly #readiness: ReadinessTask;
  readonly #admin: AdminTask;
  readonly #clockWatch: ClockWatch;

  constructor(options: FleetHostOptions) {
    this.#options = options;
    const {addresses, dialect, timers, log, source} = options;
    const selfId = addresses.peers;
    this.#log = new BoundedLog({log, timers});
    this.#metrics = new MetricsTask({selfId, statsd: undefined, intervalMs: metricsIntervalMs});
    const tell: CoreRunner['tell'] = (event) => {
      this.#runner.tell(event);
    };
    const count: MetricsTask['count'] = (name, tags) => {
      this.#metrics.count(name, tags);
    };
    const {dataCentre, bornMs, seedIds, isFirstStart, bounds, hash, seed} = options;
    const random = new SeededRandom(seed);
    this.#runner = new CoreRunner({
      core: createSelfFoundCore({
        selfId,
        dataCentre,
        bornMs,
        seedIds,
        isFirstStart,
        bounds,
        random,
        hash,
      }),
      timers,
      dispatch: (effect) => {
        this.#dispatch(effect);
      },
    });
    this.#backends = new BackendTask({
      dialect,
      timers,
      tell,
      count,
      bufferedAnswerBytes,
      connectTimeoutMs,
      idleMs,
      answer: (requestId, answer) => {
        this.#callers.post({type: 'answerArrived', requestId, answer});
      },
    });
    this.#callers = new CallerTask({
      ...firstLimits,
      bodyIdleTimeoutMs,
      maxReplayableBytes,
      dialect,
      selfId,
      ...listenAddress(addresses.callers),
      timers,
      tell,
      count,
      run: (command) => {
        this.#backends.post(command);
      },
    });
    this.#peers = new PeerTask({
      selfId,
      ...listenAddress(addresses.peers),
      reconnectMs,
      areIdsAddresses: true,
      report: (report) => {
        this.#onPeerReport(report);
      },
    });
    this.#registry = new RegistryWatchTask({source, timers, tell, count});
    this.#readiness = new ReadinessTask({
      ...listenAddress(addresses.readiness),
      path: options.readinessPath,
      isReady: () => this.#runner.status().requests?.isReady === true,
    });
    this.#clockWatch = new ClockWatch({timers, wallMs: options.wallMs, tell});
    this.#admin = new AdminTask({
      ...listenAddress(addresses.admin),
      counters: () => this.#metrics.counters.snapshot(),
      metrics: this.#metrics.text,
      status: () => this.#runner.status(),
    });
  }

  /** Takes over what may change in the settings of a host that runs. */
  reload(seedIds: readonly string[]): void {
    this.#runner.tell({type: 'seedsChanged', seedIds: [...seedIds]});
    this.#log.write('info', 'host.reloaded', {seedIds});
  }

  /** Takes a failure that no part of the host expected; the host goes on for its other requests. */
  noteUnexpected(error: unknown): void {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.#metrics.count('host.unexpected');
    this.#log.write('error', 'host.unexpected', {reason});
  }

  async start(): Promise<void> {
    await this.#admin.start();
    await this.#peers.start();
    await this.#callers.start();
    await this.#readiness.start();
    this.#clockWatch.start();
    this.#runner.tell({type: 'timerFired', timerId: 'start'});
    const {addresses, dataCentre, seedIds, bornMs} = this.#options;
    this.#log.write('info', 'host.started', {addresses, dataCentre, seedIds, bornMs});
  }

  /** Tells load balancer and peers, serves those who still come, and stops within the grace time. */
  async stop(): Promise<void> {
    const {graceMs, timers} = this.#options;
    const inProgress = this.#callers.inProgress;
    this.#log.write('info', 'host.stopping', {inProgress, graceMs});
    const endAtMs = timers.nowMs() + graceMs - endMarginMs;
    this.#runner.tell({type: 'leavingSoon'});
    this.#callers.closeAfterAnswers();
    await this.#until(timers.nowMs() + graceMs * arrivalShare);
    const drained = this.#callers.drain().then(() => 'drained');
    const result = await Promise.race([drained, this.#until(endAtMs).then(() => 'cut')]);
    this.#log.write('info', 'host.stopped', {result, inProgress: this.#callers.inProgress});
    await this.#close();
  }

  async #close(): Promise<void> {
    this.#clockWatch.stop();
    this.#callers.stop();
    this.#readiness.stop();
    this.#admin.stop();
    await this.#peers.stop();
    await this.#options.source.stop();
    await this.#backends.stop();
    await this.#metrics.stop();
  }

  async #until(momentMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#options.timers.at(momentMs, resolve);
    });
  }

  #dispatch(effect: HostEffect): void {
    switch (effect.type) {
      case 'startAttempt':
      case 'deliverAnswer':
      case 'discardAnswer':
      case 'refuseRequest':
      case 'replayAnswer':
        this.#callers.post(effect);
        return;
      case 'cancelAttempt':
      case 'sendProbe':
        this.#backends.post(effect);
        return;
      case 'watchRegistry':
        this.#registry.setWanted(effect.isWanted, effect.afterRevision);
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
    this.#callers.setTimeouts(limits);
  }

  #onPeerReport(report: PeerReport): void {
    switch (report.type) {
      case 'bytes':
        this.#metrics.count('peer.bytes', {direction: report.direction}, report.count);
        return;
      case 'refused': {
        const {fromHostId, reason} = report;
        this.#metrics.count('peer.refused', {reason});
        this.#log.write('warn', 'peer.refused', {fromHostId, reason});
        return;
      }
      case 'absent':
        this.#metrics.count('peer.absent');
        this.#runner.tell({type: 'peerAbsent', hostId: report.hostId});
        return;
      case 'received': {
        const {fromHostId, message} = report;
        this.#runner.tell({type: 'peerMessageReceived', fromHostId, message});
        return;
      }
    }
  }
}
