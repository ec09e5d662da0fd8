import type {DiscoveredServer} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RegisteredServersChanged} from '../messages/hostMessages.ts';
import type {ServerNoticed} from '../messages/requestMessages.ts';
import {ServerNotices} from '../placement/serverNotices.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {AttemptRelaySelector} from './attemptRelaySelector.ts';
import {ServerReachability} from './serverReachability.ts';

/** Options of the task that watches whether this host reaches the backend servers. */
export interface ReachabilityTaskOptions {
  readonly selfId: string;
  readonly random: RandomSource;
  /** Interval at which a host that is cut off tries a connection to some server, in ms. Default: 500. */
  readonly dialIntervalMs: number;
}

export const DEFAULT_REACHABILITY_TASK_OPTIONS = {dialIntervalMs: 500} as const;

type RequiredReachabilityTaskOptions = Omit<
  ReachabilityTaskOptions,
  keyof typeof DEFAULT_REACHABILITY_TASK_OPTIONS
>;

const dialTimerId = 'reachability.dial';
const targetsTimerId = 'reachability.targets';

/**
 * Watches whether this host reaches the backend servers. While it is cut off from them, its attempts are relayed by
 * another host, which only forwards them: placement, limits and retries stay with this host and the homes.
 */
export class ReachabilityTask implements CoreTask {
  readonly accepts = [
    'serverDialed',
    'relayFailed',
    'serverNoticed',
    'registeredServersChanged',
    'rosterChanged',
    'timerFired',
  ] as const;

  readonly #options: ReachabilityTaskOptions;
  readonly #reachability = new ServerReachability();
  readonly #relays: AttemptRelaySelector;
  /** What the servers stated to this host; it binds attempts that this host relays too. */
  readonly #notices = new ServerNotices();
  #servers: readonly DiscoveredServer[] = [];
  #relayHostId: string | undefined;

  constructor(options: Partial<ReachabilityTaskOptions> & RequiredReachabilityTaskOptions) {
    this.#options = {...DEFAULT_REACHABILITY_TASK_OPTIONS, ...options};
    this.#relays = new AttemptRelaySelector(options.random);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'serverDialed':
        return this.#reachability.recordDial(message.serverId, message.isConnected, nowMs)
          ? this.#onChanged(nowMs)
          : [];
      case 'relayFailed':
        this.#relays.markFailed(message.hostId, nowMs);
        return this.#updateRelay(nowMs);
      case 'rosterChanged':
        this.#relays.setLiveHosts(message.live, this.#options.selfId);
        return this.#updateRelay(nowMs);
      case 'registeredServersChanged':
        return this.#onServers(message, nowMs);
      case 'serverNoticed':
        return this.#onNoticed(message, nowMs);
      case 'timerFired':
        return this.#onTimer(message.timerId, nowMs);
      default:
        return [];
    }
  }

  #onServers(
    {servers, outOfService}: RegisteredServersChanged,
    nowMs: number,
  ): readonly CoreMessage[] {
    this.#notices.setServers(servers, nowMs);
    this.#servers = servers.filter(
      ({state, dataCentre}) => state === 'in-service' && !outOfService.includes(dataCentre),
    );
    return [this.#createRelayTargets(nowMs)];
  }

  /** Relays nothing to a server that leaves or wants no requests of this host for a time. */
  #onNoticed({serverId, notice}: ServerNoticed, nowMs: number): readonly CoreMessage[] {
    const isNew = this.#notices.record(serverId, notice, nowMs);
    const usableAtMs = this.#notices.usableAtMs(serverId, nowMs);
    if (!isNew || usableAtMs <= nowMs) {
      return [];
    }
    const targets = this.#createRelayTargets(nowMs);
    return Number.isFinite(usableAtMs)
      ? [targets, {type: 'timerWanted', timerId: targetsTimerId, atMs: usableAtMs}]
      : [targets];
  }

  /** Servers to which this host relays for others; none while it is cut off itself. */
  #createRelayTargets(nowMs: number): CoreMessage {
    const servers = this.#reachability.isCutOff
      ? []
      : this.#servers.filter(({id}) => this.#notices.mayUse(id, nowMs));
    return {type: 'relayTargets', targets: servers.map(({id, origin}) => ({serverId: id, origin}))};
  }

  #onChanged(nowMs: number): readonly CoreMessage[] {
    const {isCutOff} = this.#reachability;
    const event = isCutOff ? 'servers.cutOff' : 'servers.reached';
    return [
      {type: 'log', level: 'warn', event, fields: {servers: this.#servers.length}},
      {type: 'count', name: event, tags: {}},
      this.#createRelayTargets(nowMs),
      ...this.#updateRelay(nowMs),
      ...(isCutOff ? this.#dialAndWait(nowMs) : []),
    ];
  }

  /** Announces the host that relays the attempts from now on, where that changed. */
  #updateRelay(nowMs: number): readonly CoreMessage[] {
    const relayHostId = this.#reachability.isCutOff ? this.#relays.select(nowMs) : undefined;
    if (relayHostId === this.#relayHostId) {
      return [];
    }
    this.#relayHostId = relayHostId;
    return [
      {type: 'relayChanged', relayHostId},
      {type: 'log', level: 'info', event: 'servers.relay', fields: {relayHostId}},
    ];
  }

  #onTimer(timerId: string, nowMs: number): readonly CoreMessage[] {
    if (timerId === targetsTimerId) {
      return [this.#createRelayTargets(nowMs)];
    }
    return timerId === dialTimerId && this.#reachability.isCutOff
      ? [...this.#updateRelay(nowMs), ...this.#dialAndWait(nowMs)]
      : [];
  }

  /** Tries a connection to a random server, and again after the interval. */
  #dialAndWait(nowMs: number): readonly CoreMessage[] {
    const {random, dialIntervalMs} = this.#options;
    const timer: CoreMessage = {
      type: 'timerWanted',
      timerId: dialTimerId,
      atMs: nowMs + dialIntervalMs,
    };
    const server = this.#servers[random.nextInt(Math.max(1, this.#servers.length))];
    return server === undefined
      ? [timer]
      : [{type: 'dialServer', serverId: server.id, origin: server.origin}, timer];
  }
}
