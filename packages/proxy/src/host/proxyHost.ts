import {
  DEFAULT_INTAKE_OPTIONS,
  DEFAULT_LEASE_BOUNDS,
  HostCore,
  SeededRandom,
  callerMemoryBytes,
} from '@godwitspring/core';
import type {HashFunction, HostEffect, LeaseBounds} from '@godwitspring/core';
import type {HostSettings} from '@godwitspring/document';
import {PeerTask} from '@godwitspring/peer';
import type {PeerReport} from '@godwitspring/peer';
import type {Logger} from 'pino';
import {AdminTask} from '../admin/adminTask.ts';
import {BackendTask} from '../backends/backendTask.ts';
import {CallerTask} from '../callers/callerTask.ts';
import type {MetricsSink} from '../metrics/metricsSink.ts';
import {MetricsTask} from '../metrics/metricsTask.ts';
import {StatsdSink} from '../metrics/statsdSink.ts';
import {DefaultDialect} from '../dialect/defaultDialect.ts';
import {HttpPlatform} from '../platform/httpPlatform.ts';
import {PlatformTask} from '../platform/platformTask.ts';
import {SystemTimerService} from '../timer/systemTimerService.ts';
import {HostIntake} from '../intake/hostIntake.ts';
import {CoreRunner} from './coreRunner.ts';
import {listenAddress, splitAddress} from './splitAddress.ts';

/** Settings and collaborators of a host that reads its fleet from the platform. */
export interface ProxyHostOptions {
  readonly settings: HostSettings;
  readonly log: Logger;
  readonly hash: HashFunction;
  /** Time bounds on which the fleet-wide limits rest; they must be equal on every host. */
  readonly bounds?: LeaseBounds;
  /** Seed of all random choices of this host. */
  readonly seed: number;
}

/**
 * Time for which a connection to a server rests after a response, in ms: a second copy of the response shows
 * within it, where the server does not echo request ids.
 */
const connectionRestMs = 20;
/** Wait after the last request in which this host's shares of fleet-wide limits can return to the peers, in ms. */
const allowanceReturnMs = 600;
/** Shortest wait of a shutdown step, in ms. */
const minWaitMs = 10;
/** Time in which the refusals at the end of the grace time are sent, in ms. */
const lastRefusalsMs = 100;

/**
 * A proxy host that reads the host list and its configuration from the platform. Wires the core to the tasks
 * that own the sockets and timers.
 */
export class ProxyHost {
  readonly #options: ProxyHostOptions;
  readonly #timers = new SystemTimerService();
  readonly #metrics: MetricsTask;
  readonly #runner: CoreRunner;
  readonly #intake: HostIntake;
  readonly #callers: CallerTask;
  readonly #backends: BackendTask;
  readonly #peers: PeerTask;
  readonly #platform: HttpPlatform;
  readonly #platformTask: PlatformTask;
  readonly #admin: AdminTask;
  #isStopping = false;

  constructor(options: ProxyHostOptions) {
    this.#options = options;
    const {settings, hash, seed, bounds = DEFAULT_LEASE_BOUNDS} = options;
    const {id: selfId} = settings.host;
    const timers = this.#timers;
    const random = new SeededRandom(seed);
    const postToCore: CoreRunner['post'] = (event) => {
      this.#runner.post(event);
    };
    this.#metrics = new MetricsTask({sink: this.#createMetricsSink()});
    const count: MetricsTask['count'] = (name, tags) => {
      this.#metrics.count(name, tags);
    };
    const core = new HostCore({
      selfId,
      dataCentre: settings.host.dataCentre,
      random,
      hash,
      idempotencyReplica: settings.repeats,
      bounds,
    });
    this.#runner = new CoreRunner({
      core,
      timers,
      dispatch: (effect) => {
        this.#dispatch(effect);
      },
    });
    const dialect = new DefaultDialect(settings.callers);
    const limits = {...DEFAULT_INTAKE_OPTIONS, ...settings.limits};
    this.#intake = new HostIntake({
      limits,
      timers,
      count: (name, tags, by) => {
        this.#metrics.count(name, tags, by);
      },
      warn: (event, fields) => {
        options.log.warn({event, ...fields});
      },
    });
    this.#backends = new BackendTask({
      dialect,
      timers,
      postToCore,
      answer: (requestId, answer) => {
        this.#callers.post({type: 'answerArrived', requestId, answer});
      },
      count,
      restMs: connectionRestMs,
      warn: (event, fields) => {
        options.log.warn({event, ...fields});
      },
    });
    this.#callers = new CallerTask({
      intake: this.#intake,
      ...settings.callers,
      dialect,
      selfId,
      ...listenAddress(settings.listen.callers),
      timers,
      postToCore,
      postToBackends: (command) => {
        this.#backends.post(command);
      },
      count,
    });
    this.#peers = new PeerTask({
      maxIncompleteBytes: callerMemoryBytes(limits),
      guard: (server) => {
        this.#intake.attach(server, 'peers');
      },
      ...settings.peers,
      selfId,
      ...listenAddress(settings.listen.peers),
      report: (report) => {
        this.#onPeerReport(report);
      },
    });
    this.#platform = new HttpPlatform({origins: settings.platform.origins});
    this.#platformTask = new PlatformTask({
      ...settings.platform,
      platform: this.#platform,
      timers,
      random: new SeededRandom(seed + 1),
      postToCore,
      count,
    });
    this.#admin = new AdminTask({
      intake: this.#intake,
      ...listenAddress(settings.listen.admin),
      counters: () => this.#metrics.counters.snapshot(),
      metrics: this.#metrics.prometheus,
      status: () => this.#runner.status(),
      document: () => this.#runner.documentInForce(),
    });
  }

  /** Opens the ports and starts to watch the platform; fails where an address is in use. */
  async start(): Promise<void> {
    await this.#admin.start();
    await this.#peers.start();
    await this.#callers.start();
    this.#platformTask.start();
    const {settings, log} = this.#options;
    log.info({
      event: 'host.started',
      listen: settings.listen,
      dataCentre: settings.host.dataCentre,
    });
  }

  /**
   * Shuts down within the grace time: announces it to callers on their responses and still serves requests that
   * arrive for a while, then waits for the running ones. Idle connections close only after that while, so that
   * no request that crosses the shutdown on a kept connection is cut.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) {
      return;
    }
    this.#isStopping = true;
    const {settings, log} = this.#options;
    log.info({event: 'host.stopping', inProgress: this.#callers.inProgress});
    const {graceMs, announceMs} = settings.shutdown;
    const startMs = this.#timers.nowMs();
    const endsAtMs = startMs + graceMs;
    const deadline = this.#wait(graceMs + lastRefusalsMs).then(() => 'cut' as const);
    this.#runner.post({
      type: 'shutdownAnnounced',
      endsAtMs,
      lenientUntilMs: startMs + announceMs,
    });
    this.#callers.closeConnectionsAfterResponses();
    await this.#wait(Math.min(announceMs, graceMs));
    const drained = this.#callers.drain().then(() => 'drained' as const);
    this.#runner.post({type: 'shutdownWanted'});
    const result = await Promise.race([drained, deadline]);
    await this.#wait(allowanceReturnMs);
    log.info({event: 'host.stopped', result});
    await this.#close();
  }

  async #close(): Promise<void> {
    this.#platformTask.stop();
    this.#intake.stop();
    this.#callers.stop();
    this.#admin.stop();
    await this.#peers.stop();
    await this.#platform.stop();
    await this.#backends.stop();
    await this.#metrics.stop();
    this.#timers.stop();
  }

  async #wait(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#timers.at(this.#timers.nowMs() + Math.max(waitMs, minWaitMs), resolve);
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
        this.#backends.post(effect);
        return;
      case 'readPart':
        this.#readPart(effect.sha256, effect.fromHostId);
        return;
      case 'sendToPeer':
        this.#metrics.count('peer.sent', {type: effect.message.type});
        this.#peers.send(effect.toHostId, effect.message);
        return;
      case 'linkPeers':
        this.#peers.setHosts(effect.list.hosts);
        return;
      case 'count':
        this.#metrics.count(effect.name, effect.tags, effect.by);
        return;
      case 'observe':
        this.#metrics.observe(effect.name, effect.tags, effect.valueMs);
        return;
      case 'log':
        this.#options.log[effect.level]({event: effect.event, ...effect.fields});
        return;
      default:
        return;
    }
  }

  #readPart(sha256: string, fromHostId: string | undefined): void {
    if (fromHostId === undefined) {
      this.#platformTask.readPart(sha256);
      return;
    }
    this.#peers.send(fromHostId, {type: 'partAsk', sha256});
  }

  #onPeerReport(report: PeerReport): void {
    switch (report.type) {
      case 'bytes':
        this.#metrics.count('peer.bytes', {direction: report.direction}, report.count);
        return;
      case 'refused':
        this.#metrics.count('peer.refused', {reason: report.reason});
        this.#options.log.warn({
          event: 'peer.refused',
          fromHostId: report.fromHostId,
          reason: report.reason,
        });
        return;
      case 'absent':
        this.#metrics.count('peer.absent');
        return;
      case 'received':
        this.#onPeerMessage(report);
        return;
    }
  }

  /**
   * Passes a peer's message to the core. A configuration part from a peer is verified against its digest, as
   * one from the platform is.
   */
  #onPeerMessage({fromHostId, message}: Extract<PeerReport, {type: 'received'}>): void {
    if (message.type === 'partAnswer') {
      this.#platformTask.verifyPart(message.sha256, message.text);
      return;
    }
    this.#runner.post({type: 'peerMessageReceived', fromHostId, message});
  }

  /** The connection to the StatsD collector of the settings, if they name one. */
  #createMetricsSink(): MetricsSink | undefined {
    const {host, metrics} = this.#options.settings;
    if (metrics.statsd === undefined) {
      return undefined;
    }
    return new StatsdSink({
      selfId: host.id,
      ...splitAddress(metrics.statsd),
      intervalMs: metrics.intervalMs,
      onError: () => {
        this.#metrics.count('metrics.sendFailed');
      },
    });
  }
}
