import type {Backend} from '@godwitspring/document';
import {wholePermits} from '../allowance/wholePermits.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {HealthReport, HealthVerdict} from '../messages/peerMessages.ts';
import type {WatchedBackend} from './backendWatch.ts';
import type {HealthOptions} from './healthOptions.ts';
import {ServerRecord} from './serverRecord.ts';

const trialCount = 5;
/** Trials that may fail without a new ejection: four of five must succeed. */
const maxBadTrials = 1;
const probeTimeoutMs = 500;
const coldShedRate = 0.5;
const usualShedRate = 0.1;
const shedSmoothing = 0.1;
const minColdReports = 5;

type VerdictServer = HealthVerdict['backends'][number]['servers'][number];

function median(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * Decides on the servers of one backend at its home.
 *
 * Ejection takes a permit out of "servers in service less floor", in total and by data centre. A server
 * comes back through trials, a few requests counted over the fleet ("four of five" as in the paper on
 * circuit breakers), and a ramp on which few hosts may use it.
 */
export class BackendDoctor {
  readonly #options: HealthOptions;
  readonly #records = new Map<string, ServerRecord>();
  readonly #unpermitted = new Set<string>();
  #backend: Backend | undefined;
  #withheldTold = '';
  #startedAtMs: number;

  constructor(options: HealthOptions, nowMs: number) {
    this.#options = options;
    this.#startedAtMs = nowMs;
  }

  /** Takes the servers of a new version of the document. */
  take({backend, inService, freshSinceMs}: WatchedBackend, nowMs: number): void {
    this.#backend = backend;
    const kept = new Set<string>();
    for (const {id, dataCentre} of inService) {
      kept.add(id);
      if (this.#records.has(id)) {
        continue;
      }
      const record = new ServerRecord(id, dataCentre, nowMs, this.#options.evidence);
      const sinceMs = freshSinceMs.get(id);
      if (sinceMs !== undefined) {
        record.change('ramping', 'fresh', sinceMs);
      }
      this.#records.set(id, record);
    }
    for (const id of this.#records.keys()) {
      if (!kept.has(id)) {
        this.#records.delete(id);
      }
    }
  }

  /** Takes what one host saw since its last report. */
  report(
    hostId: string,
    {servers, ejectedIds}: HealthReport['backends'][number],
    nowMs: number,
  ): void {
    this.#adopt(ejectedIds, nowMs);
    for (const {serverId, good, failed, lost, shed} of servers) {
      const record = this.#records.get(serverId);
      if (record === undefined) {
        continue;
      }
      if (record.state === 'probation') {
        record.trialsGood += good;
        record.trialsBad += failed + lost;
        continue;
      }
      record.evidence.add(hostId, {good, failed, lost}, this.#usualRate(serverId));
      const count = good + failed + shed;
      if (count > 0) {
        record.shedRate += (shed / count - record.shedRate) * shedSmoothing;
      }
    }
  }

  /** A new home takes ejections over that hosts still hold from the one before. */
  #adopt(ejectedIds: readonly string[], nowMs: number): void {
    const isNew = nowMs - this.#startedAtMs < 2 * this.#options.verdictLifeMs;
    if (!isNew) {
      return;
    }
    for (const serverId of ejectedIds) {
      const record = this.#records.get(serverId);
      if (record !== undefined && record.state === undefined) {
        record.ejections = 1;
        record.holdUntilMs = nowMs + this.#options.holdMs;
        record.change('ejected', 'held by an earlier home', nowMs);
      }
    }
  }

  /** Changes the states of servers as far as the share permits; gives logs, counts and probes. */
  decide(share: number, isAlone: boolean, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    messages.push(...this.#keepWithinPermits(share, nowMs));
    for (const record of this.#records.values()) {
      switch (record.state) {
        case undefined:
        case 'ramping':
          messages.push(...this.#judge(record, share, isAlone, nowMs));
          messages.push(...this.#endRamp(record, nowMs));
          break;
        case 'ejected':
          messages.push(...this.#endHold(record, nowMs));
          break;
        case 'probation':
          messages.push(...this.#judgeTrials(record, nowMs));
          break;
      }
    }
    return messages;
  }

  /** How one host may use the servers that are not in full service. */
  verdictFor(hostId: string, share: number, nowMs: number): VerdictServer[] {
    const {verdictLifeMs, bounds} = this.#options;
    const untilMs = nowMs + verdictLifeMs * (1 + 2 * bounds.clockDrift);
    const servers: VerdictServer[] = [];
    for (const record of this.#records.values()) {
      const {serverId, state} = record;
      if (state === undefined) {
        continue;
      }
      if (record.isOut) {
        record.outUntilMs = Math.max(record.outUntilMs, untilMs);
      }
      const maxHolders = wholePermits(share, this.#maxHolders(record, nowMs));
      const mayUse = state !== 'ejected' && record.admit(hostId, maxHolders, untilMs, nowMs);
      servers.push({serverId, state, limit: mayUse ? 1 : 0});
    }
    return servers;
  }

  /** Tells which servers are not in full service, when that has changed. */
  tellWithheld(): readonly CoreMessage[] {
    const serverIds: string[] = [];
    for (const {serverId, state} of this.#records.values()) {
      if (state !== undefined) {
        serverIds.push(serverId);
      }
    }
    const told = serverIds.join(' ');
    if (told === this.#withheldTold || this.#backend === undefined) {
      return [];
    }
    this.#withheldTold = told;
    return [{type: 'serversWithheld', backendId: this.#backend.id, serverIds}];
  }

  /** Takes the answer to a probe of an ejected server: bad keeps it out, good only allows trials. */
  probed(serverId: string, isHealthy: boolean, nowMs: number): void {
    const record = this.#records.get(serverId);
    if (record?.state !== 'ejected' || !record.isProbed) {
      return;
    }
    if (isHealthy) {
      record.change('probation', record.reason, nowMs);
      return;
    }
    record.isProbed = false;
    record.holdUntilMs = nowMs + this.#options.holdMs;
  }

  /** States and reasons for operators. */
  explain(share: number, nowMs: number): Record<string, unknown> {
    const servers: Record<string, unknown> = {};
    for (const record of this.#records.values()) {
      const {serverId, state, reason, sinceMs, holdUntilMs, ejections, evidence} = record;
      const score = Math.round(evidence.score(false) * 10) / 10;
      if (state !== undefined || score > 0) {
        const forMs = Math.round(nowMs - sinceMs);
        const backInMs =
          state === 'ejected' ? Math.max(0, Math.round(holdUntilMs - nowMs)) : undefined;
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
    return {permits: this.#permits(share), out: this.#outCount(nowMs), servers};
  }

  #usualRate(serverId: string): number {
    const rates: number[] = [];
    for (const record of this.#records.values()) {
      if (record.serverId !== serverId && !record.isOut) {
        rates.push(record.evidence.failureRate);
      }
    }
    return median(rates) * 1.5;
  }

  #permits(share: number): number {
    const floor = this.#backend?.floor.totalServers ?? this.#records.size;
    return wholePermits(share, this.#records.size - floor);
  }

  #outCount(nowMs: number, dataCentre?: string): number {
    let count = 0;
    for (const record of this.#records.values()) {
      const isThere = dataCentre === undefined || record.dataCentre === dataCentre;
      count += isThere && record.takesPermit(nowMs) ? 1 : 0;
    }
    return count;
  }

  #isPermitted(record: ServerRecord, share: number, nowMs: number): boolean {
    if (this.#outCount(nowMs) >= this.#permits(share)) {
      return false;
    }
    const {dataCentre} = record;
    const least = this.#backend?.floor.serversByDataCentre[dataCentre];
    if (least === undefined) {
      return true;
    }
    const present = [...this.#records.values()].filter((other) => other.dataCentre === dataCentre);
    return this.#outCount(nowMs, dataCentre) < wholePermits(share, present.length - least);
  }

  /** Takes servers back into service, the least suspect first, where permits were lost. */
  #keepWithinPermits(share: number, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const out = [...this.#records.values()].filter(({isOut}) => isOut);
    out.sort((one, other) => one.evidence.score(false) - other.evidence.score(false));
    const excess = Math.max(0, out.length - this.#permits(share));
    for (const record of out.slice(0, excess)) {
      record.change(undefined, '', nowMs);
      record.evidence.clear();
      messages.push(...this.#tell('health.permitLost', record, {}));
    }
    return messages;
  }

  #judge(
    record: ServerRecord,
    share: number,
    isAlone: boolean,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (!record.evidence.isEnough(isAlone)) {
      this.#unpermitted.delete(record.serverId);
      return this.#judgeCold(record, nowMs);
    }
    if (!this.#isPermitted(record, share, nowMs)) {
      if (this.#unpermitted.has(record.serverId)) {
        return [];
      }
      this.#unpermitted.add(record.serverId);
      return this.#tell('health.keptByFloor', record, {permits: this.#permits(share)});
    }
    this.#unpermitted.delete(record.serverId);
    return this.#eject(record, 'failures of real requests', nowMs);
  }

  #eject(record: ServerRecord, reason: string, nowMs: number): readonly CoreMessage[] {
    const {holdMs, maxHoldMs, forgetMs} = this.#options;
    if (nowMs - record.sinceMs > forgetMs) {
      record.ejections = 0;
    }
    record.ejections += 1;
    const holdForMs = Math.min(maxHoldMs, holdMs * 2 ** (record.ejections - 1));
    record.holdUntilMs = nowMs + holdForMs;
    const score = record.evidence.score(false);
    record.change('ejected', reason, nowMs);
    record.evidence.clear();
    return this.#tell('health.ejected', record, {reason, score, holdForMs});
  }

  /** A warm server that sheds most of its work while its peers do not has turned cold. */
  #judgeCold(record: ServerRecord, nowMs: number): readonly CoreMessage[] {
    const others = [...this.#records.values()].filter((other) => other !== record);
    const usual = median(others.map(({shedRate}) => shedRate));
    const isCold = record.shedRate > coldShedRate && usual < usualShedRate;
    if (record.state !== undefined || !isCold || others.length < minColdReports) {
      return [];
    }
    record.shedRate = 0;
    record.change('ramping', 'sheds like a cold server', nowMs);
    return this.#tell('health.cold', record, {});
  }

  #endRamp(record: ServerRecord, nowMs: number): readonly CoreMessage[] {
    const warmUpMs = this.#backend?.warmUpMs ?? 0;
    if (record.state !== 'ramping' || nowMs - record.sinceMs < warmUpMs) {
      return [];
    }
    record.change(undefined, '', nowMs);
    return this.#tell('health.inService', record, {});
  }

  #endHold(record: ServerRecord, nowMs: number): readonly CoreMessage[] {
    const backend = this.#backend;
    const server = backend?.servers.find(({id}) => id === record.serverId);
    if (
      nowMs < record.holdUntilMs ||
      record.isProbed ||
      backend === undefined ||
      server === undefined
    ) {
      return [];
    }
    record.isProbed = true;
    const {serverId} = record;
    const {origin} = server;
    return [
      {type: 'sendProbe', serverId, origin, path: backend.probePath, timeoutMs: probeTimeoutMs},
    ];
  }

  #judgeTrials(record: ServerRecord, nowMs: number): readonly CoreMessage[] {
    if (record.trialsBad > maxBadTrials) {
      return this.#eject(record, 'trial requests failed', nowMs);
    }
    if (record.trialsGood + record.trialsBad < trialCount) {
      return [];
    }
    record.change('ramping', 'trials passed', nowMs);
    record.evidence.clear();
    return this.#tell('health.trialsPassed', record, {});
  }

  /** Hosts that may use a server at once: one on trial, one and then two on the ramp. */
  #maxHolders({state, sinceMs}: ServerRecord, nowMs: number): number {
    const backend = this.#backend;
    if (state !== 'ramping' || backend === undefined) {
      return 1;
    }
    const isPastHalf = nowMs - sinceMs >= backend.warmUpMs / 2;
    return isPastHalf ? backend.slotsPerServer : 1;
  }

  #tell(
    event: string,
    {serverId}: ServerRecord,
    fields: Record<string, unknown>,
  ): readonly CoreMessage[] {
    const backendId = this.#backend?.id ?? '';
    return [
      {type: 'log', level: 'info', event, fields: {serverId, backendId, ...fields}},
      {type: 'count', name: event, tags: {backend: backendId}},
    ];
  }
}
