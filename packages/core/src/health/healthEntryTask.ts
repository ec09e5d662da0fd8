import type {CoreTask} from '../host/coreTask.ts';
import {HomePlacement} from '../allowance/homePlacement.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {HealthReport, HealthVerdict, ServerState} from '../messages/peerMessages.ts';
import type {ServerLimits, ServerReleased} from '../messages/requestMessages.ts';
import {BackendWatch} from './backendWatch.ts';
import type {WatchedBackend} from './backendWatch.ts';
import {backendKey, healthOptions} from './healthOptions.ts';
import type {HealthOptions, RequiredHealthOptions} from './healthOptions.ts';
import {LatencyNorm} from './latencyNorm.ts';
import {SourceFilter} from './sourceFilter.ts';

const timerId = 'health.report';
/** Interval between reports of a host without work, in ms; well under the life of a verdict. */
const quietIntervalMs = 1_000;
/** Least weight of a server that this host doubts. */
const minWeight = 0.05;
const leanSmoothing = 0.2;
/** Failure rate below which a host does not lean away. */
const leanFromRate = 0.2;
const maxPendingReports = 64;
/** Time beyond the warm-up for which a fresh server waits for a home that does not answer, in ms. */
const unansweredWaitMs = 2_000;

interface Tally {
  good: number;
  failed: number;
  lost: number;
  shed: number;
}

interface HeldVerdict {
  readonly state: ServerState;
  readonly limit: number;
  readonly expiresAtMs: number;
}

type ReportKind = keyof Tally;

/**
 * Entry side of the servers' health: reports what real requests showed and follows the verdicts of the
 * backends' homes. A verdict that is not renewed ends; what is left then is the host's own doubt, by
 * which it leans away from a server but never leaves it out.
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
  readonly #watch = new BackendWatch();
  readonly #tallies = new Map<string, Map<string, Tally>>();
  readonly #verdicts = new Map<string, HeldVerdict>();
  readonly #failureRates = new Map<string, number>();
  readonly #norms = new Map<string, LatencyNorm>();
  readonly #sources = new SourceFilter();
  readonly #pendingReports = new Map<number, number>();
  readonly #lastTold = new Map<string, string>();
  #nextAskId: number;
  #isTicking = false;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: Partial<HealthOptions> & RequiredHealthOptions) {
    this.#options = healthOptions(options);
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#nextAskId = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'documentInForce':
        this.#watch.take(message.document, nowMs);
        return [...this.#armTimer(nowMs), ...this.#tellLimits(nowMs)];
      case 'membershipChanged':
        this.#placement.place(message.reachableHostIds);
        return [];
      case 'serverReleased':
        this.#note(message);
        return [];
      case 'peerMessageReceived':
        return message.message.type === 'healthVerdict'
          ? this.#onVerdict(message.message, nowMs)
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
    for (const [serverId, {state, limit, expiresAtMs}] of this.#verdicts) {
      if (nowMs < expiresAtMs) {
        value[serverId] = {state, limit, forMs: Math.round(expiresAtMs - nowMs)};
      }
    }
    return {type: 'statusTold', askId, section: 'serverVerdicts', value};
  }

  #note(released: ServerReleased): void {
    const kind = this.#kindOf(released);
    if (kind === undefined) {
      return;
    }
    const {backendId, serverId, routeId, customerId = ''} = released;
    const isBad = kind === 'failed' || kind === 'lost';
    const counts = this.#sources.note(`${routeId}|${customerId}`, serverId, kind === 'failed');
    if (!counts) {
      return;
    }
    const tallies = this.#tallies.get(backendId) ?? new Map<string, Tally>();
    const tally = tallies.get(serverId) ?? {good: 0, failed: 0, lost: 0, shed: 0};
    tally[kind] += 1;
    tallies.set(serverId, tally);
    this.#tallies.set(backendId, tallies);
    const rate = this.#failureRates.get(serverId) ?? 0;
    this.#failureRates.set(serverId, rate + ((isBad ? 1 : 0) - rate) * leanSmoothing);
  }

  #kindOf({outcome, routeId, latencyMs}: ServerReleased): ReportKind | undefined {
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
    const norm = this.#norms.get(routeId) ?? new LatencyNorm();
    this.#norms.set(routeId, norm);
    return norm.isSlow(latencyMs);
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTicking) {
      return [];
    }
    this.#isTicking = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + this.#options.reportIntervalMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTicking = false;
    for (const [serverId, {expiresAtMs}] of this.#verdicts) {
      if (nowMs >= expiresAtMs) {
        this.#verdicts.delete(serverId);
      }
    }
    return [...this.#report(nowMs), ...this.#tellLimits(nowMs), ...this.#armTimer(nowMs)];
  }

  #report(nowMs: number): readonly CoreMessage[] {
    const isQuiet = this.#tallies.size === 0;
    if (isQuiet && nowMs - this.#reportedAtMs < quietIntervalMs) {
      return [];
    }
    this.#reportedAtMs = nowMs;
    const byHome = new Map<string, HealthReport['backends']>();
    for (const {backend} of this.#watch.backends.values()) {
      const homeId = this.#placement.homeOf(this.#placement.bucketOf(backendKey(backend.id)));
      if (homeId !== undefined) {
        const backends = byHome.get(homeId) ?? [];
        backends.push(this.#reportOn(backend.id));
        byHome.set(homeId, backends);
      }
    }
    const messages: CoreMessage[] = [];
    for (const [homeId, backends] of byHome) {
      const askId = this.#nextAskId;
      this.#nextAskId += 1;
      this.#pendingReports.set(askId, nowMs);
      const message: HealthReport = {type: 'healthReport', askId, backends};
      messages.push({type: 'sendToPeer', toHostId: homeId, message});
    }
    this.#forgetOldReports();
    return messages;
  }

  #reportOn(backendId: string): HealthReport['backends'][number] {
    const servers: HealthReport['backends'][number]['servers'] = [];
    for (const [serverId, tally] of this.#tallies.get(backendId) ?? []) {
      servers.push({serverId, ...tally});
    }
    this.#tallies.delete(backendId);
    const ejectedIds: string[] = [];
    for (const {id} of this.#watch.backends.get(backendId)?.inService ?? []) {
      if (this.#verdicts.get(id)?.state === 'ejected') {
        ejectedIds.push(id);
      }
    }
    return {backendId, ejectedIds, servers};
  }

  #forgetOldReports(): void {
    for (const askId of this.#pendingReports.keys()) {
      if (this.#pendingReports.size <= maxPendingReports) {
        return;
      }
      this.#pendingReports.delete(askId);
    }
  }

  #onVerdict({askId, lifeMs, backends}: HealthVerdict, nowMs: number): readonly CoreMessage[] {
    const askedAtMs = this.#pendingReports.get(askId);
    this.#pendingReports.delete(askId);
    if (askedAtMs === undefined || nowMs >= askedAtMs + lifeMs) {
      return [];
    }
    const expiresAtMs = askedAtMs + lifeMs;
    for (const {backendId, servers} of backends) {
      for (const {id} of this.#watch.backends.get(backendId)?.inService ?? []) {
        this.#verdicts.delete(id);
      }
      for (const {serverId, state, limit} of servers) {
        this.#verdicts.set(serverId, {state, limit, expiresAtMs});
      }
    }
    return this.#tellLimits(nowMs);
  }

  /** Tells the server pool what has changed. */
  #tellLimits(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const [backendId, watched] of this.#watch.backends) {
      const servers = this.#limitsOf(watched, nowMs);
      const told = JSON.stringify(servers);
      if (told !== this.#lastTold.get(backendId)) {
        this.#lastTold.set(backendId, told);
        messages.push({type: 'serverLimits', backendId, servers});
      }
    }
    return messages;
  }

  #limitsOf(watched: WatchedBackend, nowMs: number): ServerLimits['servers'] {
    const servers: ServerLimits['servers'] = [];
    for (const {id: serverId} of watched.inService) {
      const weight = this.#weightOf(serverId);
      const verdict = this.#verdicts.get(serverId);
      if (verdict !== undefined) {
        const {state, limit} = verdict;
        servers.push({serverId, limit, weight, isTrial: state === 'probation'});
        continue;
      }
      if (this.#isUnanswered(watched, serverId, nowMs)) {
        servers.push({serverId, limit: 0, weight, isTrial: false});
        continue;
      }
      if (weight < 1) {
        servers.push({serverId, weight, isTrial: false});
      }
    }
    return servers;
  }

  /** A fresh server waits until its home tells how much of it this host may use. */
  #isUnanswered({backend, freshSinceMs}: WatchedBackend, serverId: string, nowMs: number): boolean {
    const sinceMs = freshSinceMs.get(serverId);
    return sinceMs !== undefined && nowMs - sinceMs < backend.warmUpMs + unansweredWaitMs;
  }

  /** Weight by the host's own doubt, in steps so that small changes are not told. */
  #weightOf(serverId: string): number {
    const rate = this.#failureRates.get(serverId) ?? 0;
    if (rate < leanFromRate) {
      return 1;
    }
    return Math.max(minWeight, Math.round((1 - rate) ** 2 * 20) / 20);
  }
}
