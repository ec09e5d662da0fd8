import type {HostList} from '@godwitspring/document';
import {HomePlacement} from '../allowance/homePlacement.ts';
import {LoanBook} from '../allowance/loanBook.ts';
import {LoanHolder} from '../allowance/loanHolder.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {MembershipChanged} from '../messages/hostMessages.ts';
import type {
  HealthReport,
  HealthVerdict,
  LoanAnswer,
  PeerMessage,
} from '../messages/peerMessages.ts';
import {BackendDoctor} from './backendDoctor.ts';
import {BackendWatch} from './backendWatch.ts';
import {backendKey, healthOptions} from './healthOptions.ts';
import type {HealthOptions, RequiredHealthOptions} from './healthOptions.ts';

const timerId = 'healthHome.tick';
const tickMs = 200;
const renewIntervalMs = 1_000;

interface Bucket {
  readonly loans: LoanBook;
  readonly doctors: Map<string, BackendDoctor>;
}

/**
 * Home of some backends: gathers what all hosts saw of their servers, and decides on ejection, trial
 * and ramp within the permission that the borrowed shares give.
 */
export class HealthHomeTask implements CoreTask {
  readonly accepts = [
    'documentInForce',
    'membershipChanged',
    'freshUntil',
    'peerMessageReceived',
    'probeAnswered',
    'timerFired',
    'shutdownWanted',
    'statusWanted',
  ] as const;

  readonly #options: HealthOptions;
  readonly #placement: HomePlacement;
  readonly #holder: LoanHolder;
  readonly #watch = new BackendWatch();
  readonly #buckets = new Map<number, Bucket>();
  #list: HostList | undefined;
  #reachableCount = 0;
  #ownShare = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #isLeaving = false;
  #isTicking = false;

  constructor(options: Partial<HealthOptions> & RequiredHealthOptions) {
    this.#options = healthOptions(options);
    const {hash, bucketCount, bounds, firstNonce, verdictLifeMs} = this.#options;
    this.#placement = new HomePlacement(hash, bucketCount);
    this.#holder = new LoanHolder({
      allowanceClass: 'ejections',
      bounds,
      firstNonce,
      maxGrantLifeMs: verdictLifeMs,
    });
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'documentInForce':
        this.#watch.take(message.document, nowMs);
        return this.#reviseBuckets(nowMs);
      case 'membershipChanged':
        return this.#onMembership(message, nowMs);
      case 'freshUntil':
        this.#freshUntilMs = message.untilMs;
        return [];
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'probeAnswered':
        this.#onProbe(message.serverId, message.isHealthy, nowMs);
        return [];
      case 'timerFired':
        return message.timerId === timerId ? this.#onTick(nowMs) : [];
      case 'shutdownWanted':
        this.#isLeaving = true;
        return this.#reviseBuckets(nowMs);
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const {loans, doctors} of this.#buckets.values()) {
      for (const [backendId, doctor] of doctors) {
        value[backendId] = {share: loans.share, ...doctor.explain(loans.share, nowMs)};
      }
    }
    return {type: 'statusTold', askId, section: 'serverHealth', value};
  }

  #onMembership(message: MembershipChanged, nowMs: number): readonly CoreMessage[] {
    this.#list = message.list;
    this.#ownShare = message.ownShare;
    this.#reachableCount = message.reachableHostIds.length;
    this.#placement.place(message.reachableHostIds);
    const messages: CoreMessage[] = [...this.#reviseBuckets(nowMs)];
    if (!this.#isTicking) {
      this.#isTicking = true;
      messages.push({type: 'timerWanted', timerId, atMs: nowMs + tickMs});
    }
    return messages;
  }

  /** Takes up and gives up buckets; verdicts given before end by themselves before the loans do. */
  #reviseBuckets(nowMs: number): readonly CoreMessage[] {
    const mine = new Set(this.#isLeaving ? [] : this.#placement.bucketsOf(this.#options.selfId));
    for (const bucket of this.#buckets.keys()) {
      if (!mine.has(bucket)) {
        this.#buckets.delete(bucket);
      }
    }
    const taken: number[] = [];
    for (const bucket of mine) {
      const state = this.#buckets.get(bucket);
      if (state === undefined) {
        taken.push(bucket);
        this.#buckets.set(bucket, {
          loans: new LoanBook(nowMs),
          doctors: new Map(),
        });
      }
      this.#reviseDoctors(bucket, nowMs);
    }
    const needed = taken.filter((bucket) => (this.#buckets.get(bucket)?.doctors.size ?? 0) > 0);
    return this.#askLoans(needed, nowMs);
  }

  #reviseDoctors(bucket: number, nowMs: number): void {
    const doctors = this.#buckets.get(bucket)?.doctors;
    if (doctors === undefined) {
      return;
    }
    for (const [backendId, watched] of this.#watch.backends) {
      if (this.#placement.bucketOf(backendKey(backendId)) !== bucket) {
        continue;
      }
      const doctor = doctors.get(backendId) ?? new BackendDoctor(this.#options, nowMs);
      doctor.take(watched, nowMs);
      doctors.set(backendId, doctor);
    }
    for (const backendId of doctors.keys()) {
      if (!this.#watch.backends.has(backendId)) {
        doctors.delete(backendId);
      }
    }
  }

  #askLoans(buckets: readonly number[], nowMs: number): readonly CoreMessage[] {
    return this.#ownShare === 0 ? [] : this.#holder.ask(this.#list, buckets, nowMs);
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'loanAnswer':
        this.#onLoans(fromHostId, message, nowMs);
        return [];
      case 'healthReport':
        return this.#onReport(fromHostId, message, nowMs);
      default:
        return [];
    }
  }

  #onLoans(fromHostId: string, answer: LoanAnswer, nowMs: number): void {
    if (answer.allowanceClass !== 'ejections') {
      return;
    }
    for (const {bucket, lenderId, share, endsAtMs} of this.#holder.take(
      fromHostId,
      answer,
      nowMs,
    )) {
      const loans = this.#buckets.get(bucket)?.loans;
      loans?.advance(nowMs);
      loans?.hold(lenderId, share, endsAtMs);
    }
  }

  #onReport(fromHostId: string, report: HealthReport, nowMs: number): readonly CoreMessage[] {
    if (nowMs > this.#freshUntilMs) {
      return [];
    }
    const messages: CoreMessage[] = [];
    const backends: HealthVerdict['backends'] = [];
    const isAlone = this.#reachableCount <= 1;
    for (const reported of report.backends) {
      const {backendId} = reported;
      const bucket = this.#buckets.get(this.#placement.bucketOf(backendKey(backendId)));
      const doctor = bucket?.doctors.get(backendId);
      if (bucket === undefined || doctor === undefined) {
        continue;
      }
      bucket.loans.advance(nowMs);
      const {share} = bucket.loans;
      doctor.report(fromHostId, reported, nowMs);
      messages.push(...doctor.decide(share, isAlone, nowMs), ...doctor.tellWithheld());
      backends.push({backendId, servers: doctor.verdictFor(fromHostId, share, nowMs)});
    }
    const {verdictLifeMs: lifeMs} = this.#options;
    const message: HealthVerdict = {type: 'healthVerdict', askId: report.askId, lifeMs, backends};
    messages.push({type: 'sendToPeer', toHostId: fromHostId, message});
    return messages;
  }

  #onProbe(serverId: string, isHealthy: boolean, nowMs: number): void {
    for (const {doctors} of this.#buckets.values()) {
      for (const doctor of doctors.values()) {
        doctor.probed(serverId, isHealthy, nowMs);
      }
    }
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [{type: 'timerWanted', timerId, atMs: nowMs + tickMs}];
    const due: number[] = [];
    for (const [bucket, {loans, doctors}] of this.#buckets) {
      loans.advance(nowMs);
      if (doctors.size > 0 && nowMs - this.#holder.lastAskMs(bucket) >= renewIntervalMs) {
        due.push(bucket);
      }
      for (const doctor of doctors.values()) {
        messages.push(...doctor.decide(loans.share, this.#reachableCount <= 1, nowMs));
        messages.push(...doctor.tellWithheld());
      }
    }
    messages.push(...this.#askLoans(due, nowMs));
    return messages;
  }
}
