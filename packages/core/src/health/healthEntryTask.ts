import type {CoreTask} from '../host/coreTask.ts';
import {HomePlacement} from '../allowance/homePlacement.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {HealthReport, HealthVerdict, ServerState} from '../messages/peerMessages.ts';
import type {ServerLimits, ServerReleased} from '../messages/requestMessages.ts';
import {InServiceTracker} from './inServiceTracker.ts';
import type {TrackedBackend} from './inServiceTracker.ts';
import {backendHomeKey, resolveHealthOptions} from './healthOptions.ts';
import type {HealthOptions, RequiredHealthOptions} from './healthOptions.ts';
import {LatencyBaseline} from './latencyBaseline.ts';
import {FailingSourceFilter} from './failingSourceFilter.ts';

const timerId = 'health.report';
/** Interval between the reports of an idle host, in ms; well under the lifetime of a decision. */
const idleReportIntervalMs = 1_000;
/** Minimum load-balancing weight of a server whose requests fail on this host. */
const minServerWeight = 0.05;
/** Weight of one request in the moving average of a server's failure rate. */
const failureRateSmoothing = 0.2;
/** Failure rate from which a server's weight is reduced, 0 to 1. */
const reducedWeightFromRate = 0.2;
/** Reports that may await a decision at once; the oldest is dropped first. */
const maxPendingReports = 64;
/** Time beyond the warm-up for which a new server stays unused if its home sends no decision, in ms. */
const extraHomeWaitMs = 2_000;

/** Numbers of requests to one server since the last report, by outcome. */
interface OutcomeCounts {
  good: number;
  failed: number;
  lost: number;
  shed: number;
}

/** A home's decision on one server, until it expires on this host's clock. */
interface ActiveDecision {
  readonly state: ServerState;
  /** Requests that this host may run on the server at once. */
  readonly limit: number;
  readonly expiresAtMs: number;
}

type OutcomeCategory = keyof OutcomeCounts;

/**
 * Server health on an entry host: reports the outcomes of real requests to the backends' homes and
 * applies their decisions. The home of a backend is the host that decides on its servers for the whole
 * fleet.
 *
 * A decision that is not renewed expires. Then only the failure rate that this host itself observed
 * counts: it reduces the weight of a server but never excludes it.
 */
export class HealthEntryTask implements CoreTask {
  readonly accepts = [
    'documentInForce',
    'membershipChanged',
    'serverReleased',
    'peerMessageReceived',
    'timerFired',
    'statusWanted',
  ] as const;

  readonly #options: HealthOptions;
  readonly #placement: HomePlacement;
  readonly #inServiceTracker = new InServiceTracker();
  /** Outcomes since the last report, by backend and server. */
  readonly #outcomeCounts = new Map<string, Map<string, OutcomeCounts>>();
  readonly #decisions = new Map<string, ActiveDecision>();
  /** Moving average of the failure rate on this host, by server. */
  readonly #failureRates = new Map<string, number>();
  /** Latency baselines by route. */
  readonly #latencyBaselines = new Map<string, LatencyBaseline>();
  readonly #sourceFilter = new FailingSourceFilter();
  /** Reports without a decision yet: query id to the moment of sending, in ms. */
  readonly #pendingReports = new Map<number, number>();
  /** Limits that were last sent to the server pool, serialized, by backend. */
  readonly #lastLimits = new Map<string, string>();
  #nextQueryId: number;
  #isTimerArmed = false;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: Partial<HealthOptions> & RequiredHealthOptions) {
    this.#options = resolveHealthOptions(options);
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#nextQueryId = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'documentInForce':
        this.#inServiceTracker.update(message.document, nowMs);
        return [...this.#armTimer(nowMs), ...this.#publishLimits(nowMs)];
      case 'membershipChanged':
        this.#placement.setReachableHosts(message.reachableHostIds);
        return [];
      case 'serverReleased':
        this.#recordOutcome(message);
        return [];
      case 'peerMessageReceived':
        return message.message.type === 'healthVerdict'
          ? this.#onDecisions(message.message, nowMs)
          : [];
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const [serverId, {state, limit, expiresAtMs}] of this.#decisions) {
      if (nowMs < expiresAtMs) {
        value[serverId] = {state, limit, forMs: Math.round(expiresAtMs - nowMs)};
      }
    }
    return {type: 'statusReported', askId, section: 'serverVerdicts', value};
  }

  #recordOutcome(released: ServerReleased): void {
    const category = this.#categoryOf(released);
    if (category === undefined) {
      return;
    }
    const {backendId, serverId, routeId, customerId = ''} = released;
    const isBad = category === 'failed' || category === 'lost';
    const isCounted = this.#sourceFilter.record(
      `${routeId}|${customerId}`,
      serverId,
      category === 'failed',
    );
    if (!isCounted) {
      return;
    }
    const countsByServer = this.#outcomeCounts.get(backendId) ?? new Map<string, OutcomeCounts>();
    const counts = countsByServer.get(serverId) ?? {good: 0, failed: 0, lost: 0, shed: 0};
    counts[category] += 1;
    countsByServer.set(serverId, counts);
    this.#outcomeCounts.set(backendId, countsByServer);
    const rate = this.#failureRates.get(serverId) ?? 0;
    this.#failureRates.set(serverId, rate + ((isBad ? 1 : 0) - rate) * failureRateSmoothing);
  }

  /** Category in which an outcome is reported; undefined for one that says nothing about the server. */
  #categoryOf({
    outcome,
    routeId,
    latencyMs,
    isRequestAtFault,
  }: ServerReleased): OutcomeCategory | undefined {
    if (isRequestAtFault === true) {
      return undefined;
    }
    switch (outcome) {
      case 'ok':
        return this.#isSlow(routeId, latencyMs) ? 'failed' : 'good';
      case 'error':
        return 'failed';
      case 'timeout':
      case 'lost':
      case 'unreachable':
        return 'lost';
      case 'shed':
        return 'shed';
      case 'cancelled':
        return undefined;
    }
  }

  #isSlow(routeId: string, latencyMs: number): boolean {
    const baseline = this.#latencyBaselines.get(routeId) ?? new LatencyBaseline();
    this.#latencyBaselines.set(routeId, baseline);
    return baseline.record(latencyMs);
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTimerArmed) {
      return [];
    }
    this.#isTimerArmed = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + this.#options.reportIntervalMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerArmed = false;
    for (const [serverId, {expiresAtMs}] of this.#decisions) {
      if (nowMs >= expiresAtMs) {
        this.#decisions.delete(serverId);
      }
    }
    return [...this.#report(nowMs), ...this.#publishLimits(nowMs), ...this.#armTimer(nowMs)];
  }

  /** Sends each home one report on its backends; an idle host reports less often. */
  #report(nowMs: number): readonly CoreMessage[] {
    const isIdle = this.#outcomeCounts.size === 0;
    if (isIdle && nowMs - this.#reportedAtMs < idleReportIntervalMs) {
      return [];
    }
    this.#reportedAtMs = nowMs;
    const byHome = new Map<string, HealthReport['backends']>();
    for (const {backend} of this.#inServiceTracker.backends.values()) {
      const homeId = this.#placement.homeOf(this.#placement.bucketOf(backendHomeKey(backend.id)));
      if (homeId !== undefined) {
        const backends = byHome.get(homeId) ?? [];
        backends.push(this.#buildBackendReport(backend.id));
        byHome.set(homeId, backends);
      }
    }
    const messages: CoreMessage[] = [];
    for (const [homeId, backends] of byHome) {
      const askId = this.#nextQueryId;
      this.#nextQueryId += 1;
      this.#pendingReports.set(askId, nowMs);
      const message: HealthReport = {type: 'healthReport', askId, backends};
      messages.push({type: 'sendToPeer', toHostId: homeId, message});
    }
    this.#dropOldReports();
    return messages;
  }

  #buildBackendReport(backendId: string): HealthReport['backends'][number] {
    const servers: HealthReport['backends'][number]['servers'] = [];
    for (const [serverId, counts] of this.#outcomeCounts.get(backendId) ?? []) {
      servers.push({serverId, ...counts});
    }
    this.#outcomeCounts.delete(backendId);
    const ejectedIds: string[] = [];
    for (const {id} of this.#inServiceTracker.backends.get(backendId)?.inService ?? []) {
      if (this.#decisions.get(id)?.state === 'ejected') {
        ejectedIds.push(id);
      }
    }
    return {backendId, ejectedIds, servers};
  }

  #dropOldReports(): void {
    for (const askId of this.#pendingReports.keys()) {
      if (this.#pendingReports.size <= maxPendingReports) {
        return;
      }
      this.#pendingReports.delete(askId);
    }
  }

  /** Applies a home's decision, which counts from the moment of the report that it answers. */
  #onDecisions({askId, lifeMs, backends}: HealthVerdict, nowMs: number): readonly CoreMessage[] {
    const reportedAtMs = this.#pendingReports.get(askId);
    this.#pendingReports.delete(askId);
    if (reportedAtMs === undefined || nowMs >= reportedAtMs + lifeMs) {
      return [];
    }
    const expiresAtMs = reportedAtMs + lifeMs;
    for (const {backendId, servers} of backends) {
      for (const {id} of this.#inServiceTracker.backends.get(backendId)?.inService ?? []) {
        this.#decisions.delete(id);
      }
      for (const {serverId, state, limit} of servers) {
        this.#decisions.set(serverId, {state, limit, expiresAtMs});
      }
    }
    return this.#publishLimits(nowMs);
  }

  /** Sends the server pool the limits of the backends for which they changed. */
  #publishLimits(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const [backendId, tracked] of this.#inServiceTracker.backends) {
      const servers = this.#limitsFor(tracked, nowMs);
      const serialized = JSON.stringify(servers);
      if (serialized !== this.#lastLimits.get(backendId)) {
        this.#lastLimits.set(backendId, serialized);
        messages.push({type: 'serverLimits', backendId, servers});
      }
    }
    return messages;
  }

  #limitsFor(tracked: TrackedBackend, nowMs: number): ServerLimits['servers'] {
    const servers: ServerLimits['servers'] = [];
    for (const {id: serverId} of tracked.inService) {
      const weight = this.#weightOf(serverId);
      const decision = this.#decisions.get(serverId);
      if (decision !== undefined) {
        const {state, limit} = decision;
        servers.push({serverId, limit, weight, isTrial: state === 'probation'});
        continue;
      }
      if (this.#isAwaitingHome(tracked, serverId, nowMs)) {
        servers.push({serverId, limit: 0, weight, isTrial: false});
        continue;
      }
      if (weight < 1) {
        servers.push({serverId, weight, isTrial: false});
      }
    }
    return servers;
  }

  /** A new server gets no requests until its home decides how this host may use it, or its wait is over. */
  #isAwaitingHome({backend, newSinceMs}: TrackedBackend, serverId: string, nowMs: number): boolean {
    const sinceMs = newSinceMs.get(serverId);
    return sinceMs !== undefined && nowMs - sinceMs < backend.warmUpMs + extraHomeWaitMs;
  }

  /** Load-balancing weight by the failure rate on this host, in steps of 0.05 so that small changes are not sent. */
  #weightOf(serverId: string): number {
    const rate = this.#failureRates.get(serverId) ?? 0;
    if (rate < reducedWeightFromRate) {
      return 1;
    }
    return Math.max(minServerWeight, Math.round((1 - rate) ** 2 * 20) / 20);
  }
}
