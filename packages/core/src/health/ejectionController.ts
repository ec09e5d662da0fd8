import type {Backend} from '@godwitspring/document';
import {wholePermits} from '../allowance/wholePermits.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {HealthReport, HealthVerdict} from '../messages/peerMessages.ts';
import type {TrackedBackend} from './inServiceTracker.ts';
import type {HealthOptions} from './healthOptions.ts';
import {ServerHealthRecord} from './serverHealthRecord.ts';

/** Trial requests after which a server leaves probation. */
const requiredTrials = 5;
/** Trial requests that may fail without a new ejection: four of five must succeed. */
const maxFailedTrials = 1;
const probeTimeoutMs = 500;
/** Fraction of shed requests above which a server can count as cold. */
const coldShedRate = 0.5;
/** A server counts as cold only if the median of the other servers' shed rates is below this. */
const typicalShedRate = 0.1;
/** Weight of one report in the moving average of the shed rate. */
const shedSmoothing = 0.1;
/** Number of other servers that is needed to detect a cold one by comparison. */
const minPeersForColdCheck = 5;

/** How one host may use one server. */
type ServerDecision = HealthVerdict['backends'][number]['servers'][number];

function median(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * Outlier ejection for one backend, run by the backend's home.
 *
 * Each ejection needs a permit. There are as many permits as servers in service beyond the floor, the
 * least number of servers that must stay in service, counted in total and for each data centre. A server
 * returns through trial requests, a few real requests counted over the whole fleet (four of five must
 * succeed, as in the paper on circuit breakers), and then a slow start in which few hosts may use it.
 */
export class EjectionController {
  readonly #options: HealthOptions;
  readonly #records = new Map<string, ServerHealthRecord>();
  /** Servers whose ejection was denied for lack of a permit, so that a denial is logged once. */
  readonly #deniedEjectionIds = new Set<string>();
  #backend: Backend | undefined;
  #lastWithheld = '';
  #createdAtMs: number;

  constructor(options: HealthOptions, nowMs: number) {
    this.#options = options;
    this.#createdAtMs = nowMs;
  }

  /** Applies the servers of a new version of the document. */
  updateServers({backend, inService, newSinceMs}: TrackedBackend, nowMs: number): void {
    this.#backend = backend;
    const currentIds = new Set<string>();
    for (const {id, dataCentre} of inService) {
      currentIds.add(id);
      if (this.#records.has(id)) {
        continue;
      }
      const record = new ServerHealthRecord(id, dataCentre, nowMs, this.#options.evidence);
      const sinceMs = newSinceMs.get(id);
      if (sinceMs !== undefined) {
        // Reason in the status: the server is new in service.
        record.setState('ramping', 'fresh', sinceMs);
      }
      this.#records.set(id, record);
    }
    for (const id of this.#records.keys()) {
      if (!currentIds.has(id)) {
        this.#records.delete(id);
      }
    }
  }

  /** Adds what one host observed since its last report. */
  addReport(
    hostId: string,
    {servers, ejectedIds}: HealthReport['backends'][number],
    nowMs: number,
  ): void {
    this.#adoptEjections(ejectedIds, nowMs);
    for (const {serverId, good, failed, lost, shed} of servers) {
      const record = this.#records.get(serverId);
      if (record === undefined) {
        continue;
      }
      if (record.state === 'probation') {
        record.succeededTrials += good;
        record.failedTrials += failed + lost;
        continue;
      }
      record.evidence.addReport(hostId, {good, failed, lost}, this.#baselineFailureRate(serverId));
      const count = good + failed + shed;
      if (count > 0) {
        record.shedRate += (shed / count - record.shedRate) * shedSmoothing;
      }
    }
  }

  /** A new home adopts the ejections of the previous home that hosts still follow. */
  #adoptEjections(ejectedIds: readonly string[], nowMs: number): void {
    const isNewHome = nowMs - this.#createdAtMs < 2 * this.#options.decisionLifetimeMs;
    if (!isNewHome) {
      return;
    }
    for (const serverId of ejectedIds) {
      const record = this.#records.get(serverId);
      if (record !== undefined && record.state === undefined) {
        record.ejections = 1;
        record.ejectedUntilMs = nowMs + this.#options.ejectionMs;
        // Reason in the status: an earlier home ejected the server.
        record.setState('ejected', 'held by an earlier home', nowMs);
      }
    }
  }

  /**
   * Updates the state of every server. `share` is the part of the ejection permits that this home holds,
   * 0 to 1. Returns the logs, counts and probes that follow.
   */
  updateStates(share: number, isOnlyHost: boolean, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    messages.push(...this.#releaseExcessEjections(share, nowMs));
    for (const record of this.#records.values()) {
      switch (record.state) {
        case undefined:
        case 'ramping':
          messages.push(...this.#evaluate(record, share, isOnlyHost, nowMs));
          messages.push(...this.#endSlowStart(record, nowMs));
          break;
        case 'ejected':
          messages.push(...this.#probeAfterEjection(record, nowMs));
          break;
        case 'probation':
          messages.push(...this.#evaluateTrials(record, nowMs));
          break;
      }
    }
    return messages;
  }

  /**
   * Decides how one host may use each server that is not in full service. The home assumes that the host
   * follows the decision somewhat longer than its lifetime, to allow for clock drift.
   */
  decisionsFor(hostId: string, share: number, nowMs: number): ServerDecision[] {
    const {decisionLifetimeMs, bounds} = this.#options;
    const untilMs = nowMs + decisionLifetimeMs * (1 + 2 * bounds.clockDrift);
    const servers: ServerDecision[] = [];
    for (const record of this.#records.values()) {
      const {serverId, state} = record;
      if (state === undefined) {
        continue;
      }
      if (record.isOutOfRotation) {
        record.outOfRotationUntilMs = Math.max(record.outOfRotationUntilMs, untilMs);
      }
      const maxHosts = wholePermits(share, this.#maxAllowedHosts(record, nowMs));
      const mayUse = state !== 'ejected' && record.admit(hostId, maxHosts, untilMs, nowMs);
      servers.push({serverId, state, limit: mayUse ? 1 : 0});
    }
    return servers;
  }

  /** Reports which servers are not in full service, if that changed since the last report. */
  reportWithheld(): readonly CoreMessage[] {
    const serverIds: string[] = [];
    for (const {serverId, state} of this.#records.values()) {
      if (state !== undefined) {
        serverIds.push(serverId);
      }
    }
    const joinedIds = serverIds.join(' ');
    if (joinedIds === this.#lastWithheld || this.#backend === undefined) {
      return [];
    }
    this.#lastWithheld = joinedIds;
    return [{type: 'serversWithheld', backendId: this.#backend.id, serverIds}];
  }

  /** Applies the result of a probe of an ejected server: a failure prolongs the ejection, a success starts trials. */
  onProbeResult(serverId: string, isHealthy: boolean, nowMs: number): void {
    const record = this.#records.get(serverId);
    if (record?.state !== 'ejected' || !record.isProbePending) {
      return;
    }
    if (isHealthy) {
      record.setState('probation', record.reason, nowMs);
      return;
    }
    record.isProbePending = false;
    record.ejectedUntilMs = nowMs + this.#options.ejectionMs;
  }

  /** Describes the servers' states and their reasons to operators. */
  explain(share: number, nowMs: number): Record<string, unknown> {
    const servers: Record<string, unknown> = {};
    for (const record of this.#records.values()) {
      const {serverId, state, reason, stateSinceMs, ejectedUntilMs, ejections, evidence} = record;
      const score = Math.round(evidence.score(false) * 10) / 10;
      if (state !== undefined || score > 0) {
        const forMs = Math.round(nowMs - stateSinceMs);
        const backInMs =
          state === 'ejected' ? Math.max(0, Math.round(ejectedUntilMs - nowMs)) : undefined;
        servers[serverId] = {
          state: state ?? 'in-service',
          reason,
          score,
          forMs,
          backInMs,
          ejections,
        };
      }
    }
    return {permits: this.#ejectionPermits(share), out: this.#permitsInUse(nowMs), servers};
  }

  /** Failure rate to expect of a healthy server: 1.5 times the median of the other servers in rotation. */
  #baselineFailureRate(serverId: string): number {
    const rates: number[] = [];
    for (const record of this.#records.values()) {
      if (record.serverId !== serverId && !record.isOutOfRotation) {
        rates.push(record.evidence.failureRate);
      }
    }
    return median(rates) * 1.5;
  }

  /** Number of servers that may be out of rotation under the held share. */
  #ejectionPermits(share: number): number {
    const floor = this.#backend?.floor.totalServers ?? this.#records.size;
    return wholePermits(share, this.#records.size - floor);
  }

  /** Number of servers that use a permit, in one data centre or in all. */
  #permitsInUse(nowMs: number, dataCentre?: string): number {
    let count = 0;
    for (const record of this.#records.values()) {
      const isCounted = dataCentre === undefined || record.dataCentre === dataCentre;
      count += isCounted && record.usesPermit(nowMs) ? 1 : 0;
    }
    return count;
  }

  /** True if a permit is free in total and in the server's data centre. */
  #mayEject(record: ServerHealthRecord, share: number, nowMs: number): boolean {
    if (this.#permitsInUse(nowMs) >= this.#ejectionPermits(share)) {
      return false;
    }
    const {dataCentre} = record;
    const minServers = this.#backend?.floor.serversByDataCentre[dataCentre];
    if (minServers === undefined) {
      return true;
    }
    const servers = [...this.#records.values()].filter((other) => other.dataCentre === dataCentre);
    return this.#permitsInUse(nowMs, dataCentre) < wholePermits(share, servers.length - minServers);
  }

  /** Returns servers to full service, those with the lowest score first, if the held permits became too few. */
  #releaseExcessEjections(share: number, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const outOfRotation = [...this.#records.values()].filter(
      ({isOutOfRotation}) => isOutOfRotation,
    );
    outOfRotation.sort((one, other) => one.evidence.score(false) - other.evidence.score(false));
    const excess = Math.max(0, outOfRotation.length - this.#ejectionPermits(share));
    for (const record of outOfRotation.slice(0, excess)) {
      record.setState(undefined, '', nowMs);
      record.evidence.reset();
      messages.push(...this.#logAndCount('health.permitLost', record, {}));
    }
    return messages;
  }

  /** Ejects a server whose evidence suffices, if a permit is free. */
  #evaluate(
    record: ServerHealthRecord,
    share: number,
    isOnlyHost: boolean,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (!record.evidence.reachesThreshold(isOnlyHost)) {
      this.#deniedEjectionIds.delete(record.serverId);
      return this.#detectCold(record, nowMs);
    }
    if (!this.#mayEject(record, share, nowMs)) {
      if (this.#deniedEjectionIds.has(record.serverId)) {
        return [];
      }
      this.#deniedEjectionIds.add(record.serverId);
      return this.#logAndCount('health.keptByFloor', record, {
        permits: this.#ejectionPermits(share),
      });
    }
    this.#deniedEjectionIds.delete(record.serverId);
    return this.#eject(record, 'failures of real requests', nowMs);
  }

  /** Ejects a server for a time that doubles with each ejection in a row. */
  #eject(record: ServerHealthRecord, reason: string, nowMs: number): readonly CoreMessage[] {
    const {ejectionMs, maxEjectionMs, ejectionMemoryMs} = this.#options;
    if (nowMs - record.stateSinceMs > ejectionMemoryMs) {
      record.ejections = 0;
    }
    record.ejections += 1;
    const holdForMs = Math.min(maxEjectionMs, ejectionMs * 2 ** (record.ejections - 1));
    record.ejectedUntilMs = nowMs + holdForMs;
    const score = record.evidence.score(false);
    record.setState('ejected', reason, nowMs);
    record.evidence.reset();
    return this.#logAndCount('health.ejected', record, {reason, score, holdForMs});
  }

  /** A server in full service that sheds most requests while its peers do not is cold: it restarts its slow start. */
  #detectCold(record: ServerHealthRecord, nowMs: number): readonly CoreMessage[] {
    const others = [...this.#records.values()].filter((other) => other !== record);
    const typicalRate = median(others.map(({shedRate}) => shedRate));
    const isCold = record.shedRate > coldShedRate && typicalRate < typicalShedRate;
    if (record.state !== undefined || !isCold || others.length < minPeersForColdCheck) {
      return [];
    }
    record.shedRate = 0;
    record.setState('ramping', 'sheds like a cold server', nowMs);
    return this.#logAndCount('health.cold', record, {});
  }

  /** Returns a server to full service after the warm-up time. */
  #endSlowStart(record: ServerHealthRecord, nowMs: number): readonly CoreMessage[] {
    const warmUpMs = this.#backend?.warmUpMs ?? 0;
    if (record.state !== 'ramping' || nowMs - record.stateSinceMs < warmUpMs) {
      return [];
    }
    record.setState(undefined, '', nowMs);
    return this.#logAndCount('health.inService', record, {});
  }

  /** Probes a server whose ejection time has passed. */
  #probeAfterEjection(record: ServerHealthRecord, nowMs: number): readonly CoreMessage[] {
    const backend = this.#backend;
    const server = backend?.servers.find(({id}) => id === record.serverId);
    if (
      nowMs < record.ejectedUntilMs ||
      record.isProbePending ||
      backend === undefined ||
      server === undefined
    ) {
      return [];
    }
    record.isProbePending = true;
    const {serverId} = record;
    const {origin} = server;
    return [
      {type: 'sendProbe', serverId, origin, path: backend.probePath, timeoutMs: probeTimeoutMs},
    ];
  }

  /** Ejects a server whose trial requests failed, or starts its slow start once they succeeded. */
  #evaluateTrials(record: ServerHealthRecord, nowMs: number): readonly CoreMessage[] {
    if (record.failedTrials > maxFailedTrials) {
      return this.#eject(record, 'trial requests failed', nowMs);
    }
    if (record.succeededTrials + record.failedTrials < requiredTrials) {
      return [];
    }
    record.setState('ramping', 'trials passed', nowMs);
    record.evidence.reset();
    return this.#logAndCount('health.trialsPassed', record, {});
  }

  /**
   * Number of hosts that may use a server at once: one during trials and the first half of the slow
   * start, as many as the server has slots in the second half.
   */
  #maxAllowedHosts({state, stateSinceMs}: ServerHealthRecord, nowMs: number): number {
    const backend = this.#backend;
    if (state !== 'ramping' || backend === undefined) {
      return 1;
    }
    const isPastHalf = nowMs - stateSinceMs >= backend.warmUpMs / 2;
    return isPastHalf ? backend.slotsPerServer : 1;
  }

  #logAndCount(
    event: string,
    {serverId}: ServerHealthRecord,
    fields: Record<string, unknown>,
  ): readonly CoreMessage[] {
    const backendId = this.#backend?.id ?? '';
    return [
      {type: 'log', level: 'info', event, fields: {serverId, backendId, ...fields}},
      {type: 'count', name: event, tags: {backend: backendId}},
    ];
  }
}
