import type {HostList} from '@godwitspring/document';
import {HomePlacement} from '../allowance/homePlacement.ts';
import {LoanLedger} from '../allowance/loanLedger.ts';
import {LoanBorrower} from '../allowance/loanBorrower.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {MembershipChanged} from '../messages/hostMessages.ts';
import type {
  HealthReport,
  HealthVerdict,
  LoanAnswer,
  PeerMessage,
} from '../messages/peerMessages.ts';
import {EjectionController} from './ejectionController.ts';
import {InServiceTracker} from './inServiceTracker.ts';
import {backendHomeKey, resolveHealthOptions} from './healthOptions.ts';
import type {HealthOptions, RequiredHealthOptions} from './healthOptions.ts';

const timerId = 'healthHome.tick';
/** Interval between updates of the servers' states, in ms. */
const tickMs = 200;
/** Interval at which the loans of a bucket are renewed, in ms. */
const loanRenewIntervalMs = 1_000;

/** A hash bucket of backends for which this host is home. */
interface BackendBucket {
  /** Loans of the ejection allowance for this bucket. */
  readonly loans: LoanLedger;
  /** Ejection controllers by backend. */
  readonly controllers: Map<string, EjectionController>;
}

/**
 * Server health on the home of some backends, the host that decides on their servers for the whole fleet.
 *
 * Collects the health reports of all hosts and decides on ejections, trial requests and slow starts. The
 * number of servers that may be out of rotation is limited for the whole fleet, and every host owns a share
 * of the limit. A home may eject as many as the shares allow that it holds as loans, which are leases on the
 * lenders' shares.
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
  readonly #loanBorrower: LoanBorrower;
  readonly #inServiceTracker = new InServiceTracker();
  readonly #buckets = new Map<number, BackendBucket>();
  #hostList: HostList | undefined;
  #reachableCount = 0;
  #ownShare = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #isShuttingDown = false;
  #isTimerArmed = false;

  constructor(options: Partial<HealthOptions> & RequiredHealthOptions) {
    this.#options = resolveHealthOptions(options);
    const {hash, bucketCount, bounds, firstNonce, decisionLifetimeMs} = this.#options;
    this.#placement = new HomePlacement(hash, bucketCount);
    this.#loanBorrower = new LoanBorrower({
      allowanceClass: 'ejections',
      bounds,
      firstNonce,
      maxGrantLifeMs: decisionLifetimeMs,
    });
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'documentInForce':
        this.#inServiceTracker.update(message.document, nowMs);
        return this.#updateBuckets(nowMs);
      case 'membershipChanged':
        return this.#onMembership(message, nowMs);
      case 'freshUntil':
        this.#freshUntilMs = message.untilMs;
        return [];
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'probeAnswered':
        this.#onProbeAnswered(message.serverId, message.isHealthy, nowMs);
        return [];
      case 'timerFired':
        return message.timerId === timerId ? this.#onTick(nowMs) : [];
      case 'shutdownWanted':
        this.#isShuttingDown = true;
        return this.#updateBuckets(nowMs);
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const {loans, controllers} of this.#buckets.values()) {
      for (const [backendId, controller] of controllers) {
        value[backendId] = {share: loans.share, ...controller.explain(loans.share, nowMs)};
      }
    }
    return {type: 'statusReported', askId, section: 'serverHealth', value};
  }

  #onMembership(message: MembershipChanged, nowMs: number): readonly CoreMessage[] {
    this.#hostList = message.list;
    this.#ownShare = message.ownShare;
    this.#reachableCount = message.reachableHostIds.length;
    this.#placement.setReachableHosts(message.reachableHostIds);
    const messages: CoreMessage[] = [...this.#updateBuckets(nowMs)];
    if (!this.#isTimerArmed) {
      this.#isTimerArmed = true;
      messages.push({type: 'timerWanted', timerId, atMs: nowMs + tickMs});
    }
    return messages;
  }

  /**
   * Adopts the buckets for which this host became home and drops the others. Decisions that it sent for
   * the latter expire before the loans do, so that nothing has to be revoked.
   */
  #updateBuckets(nowMs: number): readonly CoreMessage[] {
    const ownBuckets = new Set(
      this.#isShuttingDown ? [] : this.#placement.bucketsOf(this.#options.selfId),
    );
    for (const bucket of this.#buckets.keys()) {
      if (!ownBuckets.has(bucket)) {
        this.#buckets.delete(bucket);
      }
    }
    const acquired: number[] = [];
    for (const bucket of ownBuckets) {
      const state = this.#buckets.get(bucket);
      if (state === undefined) {
        acquired.push(bucket);
        this.#buckets.set(bucket, {
          loans: new LoanLedger(nowMs),
          controllers: new Map(),
        });
      }
      this.#updateControllers(bucket, nowMs);
    }
    const toBorrow = acquired.filter(
      (bucket) => (this.#buckets.get(bucket)?.controllers.size ?? 0) > 0,
    );
    return this.#requestLoans(toBorrow, nowMs);
  }

  /** Updates the ejection controllers of a bucket to the backends of the document in force. */
  #updateControllers(bucket: number, nowMs: number): void {
    const controllers = this.#buckets.get(bucket)?.controllers;
    if (controllers === undefined) {
      return;
    }
    for (const [backendId, tracked] of this.#inServiceTracker.backends) {
      if (this.#placement.bucketOf(backendHomeKey(backendId)) !== bucket) {
        continue;
      }
      const controller = controllers.get(backendId) ?? new EjectionController(this.#options, nowMs);
      controller.updateServers(tracked, nowMs);
      controllers.set(backendId, controller);
    }
    for (const backendId of controllers.keys()) {
      if (!this.#inServiceTracker.backends.has(backendId)) {
        controllers.delete(backendId);
      }
    }
  }

  #requestLoans(buckets: readonly number[], nowMs: number): readonly CoreMessage[] {
    return this.#ownShare === 0
      ? []
      : this.#loanBorrower.requestLoans(this.#hostList, buckets, nowMs);
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'loanAnswer':
        this.#onLoanReply(fromHostId, message, nowMs);
        return [];
      case 'healthReport':
        return this.#onReport(fromHostId, message, nowMs);
      default:
        return [];
    }
  }

  #onLoanReply(fromHostId: string, reply: LoanAnswer, nowMs: number): void {
    if (reply.allowanceClass !== 'ejections') {
      return;
    }
    for (const {bucket, lenderId, share, endsAtMs} of this.#loanBorrower.receiveReply(
      fromHostId,
      reply,
      nowMs,
    )) {
      const loans = this.#buckets.get(bucket)?.loans;
      loans?.advance(nowMs);
      loans?.recordLoan(lenderId, share, endsAtMs);
    }
  }

  /** Adds a host's report and replies with decisions, while this host's view of the fleet is fresh. */
  #onReport(fromHostId: string, report: HealthReport, nowMs: number): readonly CoreMessage[] {
    if (nowMs > this.#freshUntilMs) {
      return [];
    }
    const messages: CoreMessage[] = [];
    const backends: HealthVerdict['backends'] = [];
    const isOnlyHost = this.#reachableCount <= 1;
    for (const reported of report.backends) {
      const {backendId} = reported;
      const bucket = this.#buckets.get(this.#placement.bucketOf(backendHomeKey(backendId)));
      const controller = bucket?.controllers.get(backendId);
      if (bucket === undefined || controller === undefined) {
        continue;
      }
      bucket.loans.advance(nowMs);
      const {share} = bucket.loans;
      controller.addReport(fromHostId, reported, nowMs);
      messages.push(
        ...controller.updateStates(share, isOnlyHost, nowMs),
        ...controller.reportWithheld(),
      );
      backends.push({backendId, servers: controller.decisionsFor(fromHostId, share, nowMs)});
    }
    const {decisionLifetimeMs: lifeMs} = this.#options;
    const message: HealthVerdict = {type: 'healthVerdict', askId: report.askId, lifeMs, backends};
    messages.push({type: 'sendToPeer', toHostId: fromHostId, message});
    return messages;
  }

  #onProbeAnswered(serverId: string, isHealthy: boolean, nowMs: number): void {
    for (const {controllers} of this.#buckets.values()) {
      for (const controller of controllers.values()) {
        controller.onProbeResult(serverId, isHealthy, nowMs);
      }
    }
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [{type: 'timerWanted', timerId, atMs: nowMs + tickMs}];
    const toRenew: number[] = [];
    for (const [bucket, {loans, controllers}] of this.#buckets) {
      loans.advance(nowMs);
      if (
        controllers.size > 0 &&
        nowMs - this.#loanBorrower.lastQueryMs(bucket) >= loanRenewIntervalMs
      ) {
        toRenew.push(bucket);
      }
      for (const controller of controllers.values()) {
        messages.push(...controller.updateStates(loans.share, this.#reachableCount <= 1, nowMs));
        messages.push(...controller.reportWithheld());
      }
    }
    messages.push(...this.#requestLoans(toRenew, nowMs));
    return messages;
  }
}
