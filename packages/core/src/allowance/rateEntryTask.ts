import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage, TokenAnswer, TokenAsk} from '../messages/peerMessages.ts';
import {resolveAllowanceOptions} from './allowanceOptions.ts';
import type {AllowanceOptions, RequiredAllowanceOptions} from './allowanceOptions.ts';
import {CustomerDemand} from './customerDemand.ts';
import {HomePlacement} from './homePlacement.ts';

const timerId = 'entry.tick';
/** Interval at which waiting requests, queries and reports are checked, in ms. */
const tickMs = 25;
/** Wait for the reply of a home before it is queried again, in ms. */
const queryTimeoutMs = 150;
/** Longest wait of a request for a home that does not reply or does not hold enough shares yet, in ms. */
const maxHomeWaitMs = 1_500;
/** Interval at which reports are sent that no query has carried, in ms. */
const reportIntervalMs = 100;
/**
 * Lifetime of tokens below which their use is reported at once, in ms. Such tokens belong to customers with a small
 * burst for their rate, where unreported tokens take up much of the burst.
 */
const promptReportLifeMs = 100;
/**
 * Longest wait of a request for the next token of its customer, counted from its arrival, in ms; the request is
 * refused if the token comes later.
 */
const maxTokenWaitMs = 40;

/** A query for tokens that awaits its reply. */
interface PendingQuery {
  readonly customerId: string;
  readonly homeId: string;
  readonly sentAtMs: number;
}

/**
 * Enforces the customers' rates at the entry host, the host that received the caller's request: fetches tokens
 * from the customers' homes and spends one on each request. A customer's home is the host that enforces its rate
 * for the whole fleet.
 */
export class RateEntryTask implements CoreTask {
  readonly accepts = [
    'permitExpected',
    'permitWanted',
    'requestWithdrawn',
    'membershipChanged',
    'freshUntil',
    'peerMessageReceived',
    'timerFired',
    'statusWanted',
  ] as const;

  readonly #options: AllowanceOptions;
  readonly #placement: HomePlacement;
  readonly #demandByCustomer = new Map<string, CustomerDemand>();
  readonly #customerByRequest = new Map<number, string>();
  readonly #pendingQueries = new Map<number, PendingQuery>();
  readonly #reportsByHome = new Map<string, TokenAsk['settled']>();
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #nextQueryId: number;
  #isTicking = false;
  #reportsSentAtMs = 0;

  constructor(options: Partial<AllowanceOptions> & RequiredAllowanceOptions) {
    this.#options = resolveAllowanceOptions(options);
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#nextQueryId = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'permitExpected':
        return this.#onPermitExpected(message.requestId, message.customerId, nowMs);
      case 'permitWanted':
        return this.#onPermitWanted(message.requestId, message.customerId, nowMs);
      case 'requestWithdrawn':
        return this.#onRequestWithdrawn(message.requestId, nowMs);
      case 'membershipChanged':
        this.#placement.setReachableHosts(message.reachableHostIds);
        return [];
      case 'freshUntil':
        this.#freshUntilMs = message.untilMs;
        return [];
      case 'peerMessageReceived':
        return message.message.type === 'tokenAnswer'
          ? this.#onTokenReply(message.fromHostId, message.message, nowMs)
          : [];
      case 'timerFired':
        return message.timerId === timerId ? this.#onTick(nowMs) : [];
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const [customerId, demand] of this.#demandByCustomer) {
      value[customerId] = {
        home: this.#placement.homeOf(this.#placement.bucketOf(customerId)),
        tokens: demand.available(nowMs),
        waiting: demand.waiting.size,
        expected: demand.expected.size,
        dryForMs: Math.max(0, Math.round(demand.noTokensUntilMs - nowMs)),
        isAsking: demand.pendingQueryId !== undefined,
      };
    }
    return {type: 'statusReported', askId, section: 'customerDemand', value};
  }

  #demandOf(customerId: string): CustomerDemand {
    let demand = this.#demandByCustomer.get(customerId);
    if (demand === undefined) {
      demand = new CustomerDemand();
      this.#demandByCustomer.set(customerId, demand);
    }
    return demand;
  }

  #onPermitExpected(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    const demand = this.#demandOf(customerId);
    demand.recordArrival(nowMs);
    const retryAfterMs = demand.noTokensUntilMs - nowMs;
    if (retryAfterMs > maxTokenWaitMs && demand.available(nowMs) === 0) {
      return [{type: 'permitRefused', requestId, kind: 'rate-limited', retryAfterMs}];
    }
    demand.expected.set(requestId, nowMs);
    this.#customerByRequest.set(requestId, customerId);
    return [...this.#queryIfShort(customerId, demand, nowMs), ...this.#startTimer(nowMs)];
  }

  #onPermitWanted(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    const demand = this.#demandOf(customerId);
    demand.waiting.set(requestId, demand.expected.get(requestId) ?? nowMs);
    demand.expected.delete(requestId);
    this.#customerByRequest.set(requestId, customerId);
    return [
      ...this.#grantPermits(customerId, demand, nowMs),
      ...this.#queryIfShort(customerId, demand, nowMs),
      ...this.#startTimer(nowMs),
    ];
  }

  #onRequestWithdrawn(requestId: number, nowMs: number): readonly CoreMessage[] {
    const customerId = this.#customerByRequest.get(requestId);
    if (customerId === undefined) {
      return [];
    }
    const demand = this.#demandOf(customerId);
    demand.expected.delete(requestId);
    demand.waiting.delete(requestId);
    this.#customerByRequest.delete(requestId);
    return this.#startTimer(nowMs);
  }

  /** Spends tokens on the waiting requests in the order in which they began to wait. */
  #grantPermits(customerId: string, demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    if (nowMs > this.#freshUntilMs) {
      return messages;
    }
    for (const requestId of demand.waiting.keys()) {
      const usableUntilMs = demand.spendToken(nowMs);
      if (usableUntilMs === undefined) {
        break;
      }
      demand.waiting.delete(requestId);
      this.#customerByRequest.delete(requestId);
      const tags = {customer: customerId};
      messages.push(
        {type: 'permitGranted', requestId, usableUntilMs},
        {type: 'count', name: 'permit.granted', tags},
      );
    }
    messages.push(...this.#collectReports(demand, nowMs));
    return messages;
  }

  /** Stores reports on ended grants for the next query, but sends those on short-lived tokens at once. */
  #collectReports(demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const {homeId, grantId, used, lifeMs} of demand.removeEndedGrants(nowMs)) {
      const reports = this.#reportsByHome.get(homeId) ?? [];
      reports.push({grantId, used});
      this.#reportsByHome.set(homeId, reports);
      if (lifeMs < promptReportLifeMs) {
        messages.push(this.#sendQuery(homeId, 0, []));
      }
    }
    return messages;
  }

  /** Queries the customer's home for tokens if too few are left for the known and the expected requests. */
  #queryIfShort(customerId: string, demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    if (demand.pendingQueryId !== undefined || nowMs < demand.noTokensUntilMs) {
      return [];
    }
    const available = demand.available(nowMs);
    const missing = Math.max(0, demand.expected.size + demand.waiting.size - available);
    const expectedAhead = demand.expectedAhead(nowMs);
    const spare = Math.max(0, available - demand.expected.size - demand.waiting.size);
    const isRunningLow = expectedAhead > 0 && spare * 2 < expectedAhead;
    if (missing === 0 && !isRunningLow) {
      return [];
    }
    const homeId = this.#placement.homeOf(this.#placement.bucketOf(customerId));
    if (homeId === undefined) {
      return [];
    }
    const askId = this.#nextQueryId;
    this.#nextQueryId += 1;
    demand.pendingQueryId = askId;
    this.#pendingQueries.set(askId, {customerId, homeId, sentAtMs: nowMs});
    const wants = [{customerId, now: missing, ahead: Math.max(0, expectedAhead - spare)}];
    return [this.#sendQuery(homeId, askId, wants)];
  }

  #sendQuery(homeId: string, askId: number, wants: TokenAsk['wants']): CoreMessage {
    const reports = this.#reportsByHome.get(homeId) ?? [];
    this.#reportsByHome.delete(homeId);
    const message: PeerMessage = {type: 'tokenAsk', askId, wants, settled: reports};
    return {type: 'sendToPeer', toHostId: homeId, message};
  }

  #onTokenReply(
    fromHostId: string,
    {askId, grants}: TokenAnswer,
    nowMs: number,
  ): readonly CoreMessage[] {
    const query = this.#pendingQueries.get(askId);
    if (query?.homeId !== fromHostId) {
      return [];
    }
    this.#pendingQueries.delete(askId);
    const messages: CoreMessage[] = [];
    for (const grant of grants) {
      const demand = this.#demandByCustomer.get(grant.customerId);
      if (demand === undefined) {
        continue;
      }
      if (demand.pendingQueryId === askId) {
        demand.pendingQueryId = undefined;
      }
      demand.addGrant(fromHostId, grant, query.sentAtMs);
      messages.push(...this.#grantPermits(grant.customerId, demand, nowMs));
      messages.push(...this.#afterGrant(grant, demand, nowMs));
    }
    messages.push(...this.#startTimer(nowMs));
    return messages;
  }

  /** Decides what follows a grant: a further query if tokens are still missing, a pause, or refusals. */
  #afterGrant(
    {customerId, count, retryAfterMs, isSettled}: TokenAnswer['grants'][number],
    demand: CustomerDemand,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (!isSettled || (count === 0 && retryAfterMs === undefined)) {
      demand.noTokensUntilMs = nowMs + tickMs;
      return [];
    }
    if (retryAfterMs === undefined) {
      return this.#queryIfShort(customerId, demand, nowMs);
    }
    demand.noTokensUntilMs = nowMs + retryAfterMs;
    return this.#refuseUncovered(demand, retryAfterMs, nowMs);
  }

  /**
   * Refuses the requests for which there is no token now, except those that would have waited at most
   * `maxTokenWaitMs` in all when the next token comes.
   */
  #refuseUncovered(
    demand: CustomerDemand,
    retryAfterMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const coveredCount = demand.available(nowMs);
    const uncovered = [...demand.waiting, ...demand.expected].slice(coveredCount);
    for (const [requestId, sinceMs] of uncovered) {
      if (nowMs + retryAfterMs - sinceMs <= maxTokenWaitMs) {
        continue;
      }
      demand.waiting.delete(requestId);
      demand.expected.delete(requestId);
      this.#customerByRequest.delete(requestId);
      messages.push({type: 'permitRefused', requestId, kind: 'rate-limited', retryAfterMs});
    }
    return messages;
  }

  #startTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTicking || this.#demandByCustomer.size === 0) {
      return [];
    }
    this.#isTicking = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + tickMs}];
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    this.#isTicking = false;
    const messages: CoreMessage[] = [];
    this.#discardTimedOutQueries(nowMs);
    for (const [customerId, demand] of this.#demandByCustomer) {
      messages.push(...this.#grantPermits(customerId, demand, nowMs));
      messages.push(...this.#refuseOverdue(demand, nowMs));
      messages.push(...this.#queryIfShort(customerId, demand, nowMs));
      if (demand.isIdle(nowMs) && demand.expectedAhead(nowMs) === 0) {
        this.#demandByCustomer.delete(customerId);
      }
    }
    messages.push(...this.#sendDueReports(nowMs), ...this.#startTimer(nowMs));
    return messages;
  }

  /** Discards queries whose reply did not come in time, so that their homes are queried again. */
  #discardTimedOutQueries(nowMs: number): void {
    for (const [askId, {customerId, sentAtMs}] of this.#pendingQueries) {
      if (nowMs - sentAtMs < queryTimeoutMs) {
        continue;
      }
      this.#pendingQueries.delete(askId);
      const demand = this.#demandByCustomer.get(customerId);
      if (demand?.pendingQueryId === askId) {
        demand.pendingQueryId = undefined;
      }
    }
  }

  /** Refuses requests that have waited too long for a home that does not reply or does not hold enough shares. */
  #refuseOverdue(demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const [requestId, sinceMs] of demand.waiting) {
      if (nowMs - sinceMs >= maxHomeWaitMs) {
        demand.waiting.delete(requestId);
        this.#customerByRequest.delete(requestId);
        messages.push({type: 'permitRefused', requestId, kind: 'allowance-unavailable'});
      }
    }
    return messages;
  }

  /** Sends the reports that no query has carried since the last interval. */
  #sendDueReports(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    if (nowMs - this.#reportsSentAtMs < reportIntervalMs) {
      return messages;
    }
    this.#reportsSentAtMs = nowMs;
    for (const homeId of this.#reportsByHome.keys()) {
      messages.push(this.#sendQuery(homeId, 0, []));
    }
    return messages;
  }
}
