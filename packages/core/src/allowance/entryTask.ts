import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage, TokenAnswer, TokenAsk} from '../messages/peerMessages.ts';
import {allowanceOptions} from './allowanceOptions.ts';
import type {AllowanceOptions, RequiredAllowanceOptions} from './allowanceOptions.ts';
import {CustomerDemand} from './customerDemand.ts';
import {HomePlacement} from './homePlacement.ts';

const timerId = 'entry.tick';
const tickMs = 25;
/** Wait for the answer of a home before it is asked again, in ms. */
const askTimeoutMs = 150;
/** Longest wait for a home that does not answer or cannot judge yet, in ms. */
const patienceMs = 1_500;
/** Interval at which reports are sent that no ask took along, in ms. */
const reportIntervalMs = 100;
/** Life of tokens below which their use is reported at once, in ms. */
const promptReportLifeMs = 100;
/** Longest wait of a request for the next token of its customer, in ms. */
const waitOutMs = 40;

interface PendingAsk {
  readonly customerId: string;
  readonly homeId: string;
  readonly askedAtMs: number;
}

/** Entry side of the customers' rates: fetches tokens from the homes and spends one on each request. */
export class EntryTask implements CoreTask {
  readonly accepts = [
    'permitForeseen',
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
  readonly #demands = new Map<string, CustomerDemand>();
  readonly #customerByRequest = new Map<number, string>();
  readonly #pendingAsks = new Map<number, PendingAsk>();
  readonly #reports = new Map<string, TokenAsk['settled']>();
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #nextAskId: number;
  #isTicking = false;
  #reportsSentAtMs = 0;

  constructor(options: Partial<AllowanceOptions> & RequiredAllowanceOptions) {
    this.#options = allowanceOptions(options);
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#nextAskId = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'permitForeseen':
        return this.#onForeseen(message.requestId, message.customerId, nowMs);
      case 'permitWanted':
        return this.#onWanted(message.requestId, message.customerId, nowMs);
      case 'requestWithdrawn':
        return this.#onWithdrawn(message.requestId, nowMs);
      case 'membershipChanged':
        this.#placement.place(message.reachableHostIds);
        return [];
      case 'freshUntil':
        this.#freshUntilMs = message.untilMs;
        return [];
      case 'peerMessageReceived':
        return message.message.type === 'tokenAnswer'
          ? this.#onAnswer(message.fromHostId, message.message, nowMs)
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
    for (const [customerId, demand] of this.#demands) {
      value[customerId] = {
        home: this.#placement.homeOf(this.#placement.bucketOf(customerId)),
        tokens: demand.available(nowMs),
        waiting: demand.waiting.size,
        expected: demand.expected.size,
        dryForMs: Math.max(0, Math.round(demand.dryUntilMs - nowMs)),
        isAsking: demand.pendingAskId !== undefined,
      };
    }
    return {type: 'statusTold', askId, section: 'customerDemand', value};
  }

  #demandOf(customerId: string): CustomerDemand {
    let demand = this.#demands.get(customerId);
    if (demand === undefined) {
      demand = new CustomerDemand();
      this.#demands.set(customerId, demand);
    }
    return demand;
  }

  #onForeseen(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    const demand = this.#demandOf(customerId);
    demand.noteArrival(nowMs);
    const retryAfterMs = demand.dryUntilMs - nowMs;
    if (retryAfterMs > waitOutMs && demand.available(nowMs) === 0) {
      return [{type: 'permitRefused', requestId, kind: 'rate-limited', retryAfterMs}];
    }
    demand.expected.set(requestId, nowMs);
    this.#customerByRequest.set(requestId, customerId);
    return [...this.#askIfShort(customerId, demand, nowMs), ...this.#armTimer(nowMs)];
  }

  #onWanted(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    const demand = this.#demandOf(customerId);
    demand.waiting.set(requestId, demand.expected.get(requestId) ?? nowMs);
    demand.expected.delete(requestId);
    this.#customerByRequest.set(requestId, customerId);
    return [
      ...this.#serve(customerId, demand, nowMs),
      ...this.#askIfShort(customerId, demand, nowMs),
      ...this.#armTimer(nowMs),
    ];
  }

  #onWithdrawn(requestId: number, nowMs: number): readonly CoreMessage[] {
    const customerId = this.#customerByRequest.get(requestId);
    if (customerId === undefined) {
      return [];
    }
    const demand = this.#demandOf(customerId);
    demand.expected.delete(requestId);
    demand.waiting.delete(requestId);
    this.#customerByRequest.delete(requestId);
    return this.#armTimer(nowMs);
  }

  /** Spends tokens on waiting requests, the longest wait first. */
  #serve(customerId: string, demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    if (nowMs > this.#freshUntilMs) {
      return messages;
    }
    for (const requestId of demand.waiting.keys()) {
      const usableUntilMs = demand.use(nowMs);
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

  /** Keeps reports for the next ask, but sends those at once whose tokens take much of the burst. */
  #collectReports(demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const {homeId, grantId, used, lifeMs} of demand.takeSettled(nowMs)) {
      const reports = this.#reports.get(homeId) ?? [];
      reports.push({grantId, used});
      this.#reports.set(homeId, reports);
      if (lifeMs < promptReportLifeMs) {
        messages.push(this.#sendAsk(homeId, 0, []));
      }
    }
    return messages;
  }

  #askIfShort(customerId: string, demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    if (demand.pendingAskId !== undefined || nowMs < demand.dryUntilMs) {
      return [];
    }
    const available = demand.available(nowMs);
    const now = Math.max(0, demand.expected.size + demand.waiting.size - available);
    const expectedAhead = demand.expectedAhead(nowMs);
    const spare = Math.max(0, available - demand.expected.size - demand.waiting.size);
    const isRunningLow = expectedAhead > 0 && spare * 2 < expectedAhead;
    if (now === 0 && !isRunningLow) {
      return [];
    }
    const homeId = this.#placement.homeOf(this.#placement.bucketOf(customerId));
    if (homeId === undefined) {
      return [];
    }
    const askId = this.#nextAskId;
    this.#nextAskId += 1;
    demand.pendingAskId = askId;
    this.#pendingAsks.set(askId, {customerId, homeId, askedAtMs: nowMs});
    const wants = [{customerId, now, ahead: Math.max(0, expectedAhead - spare)}];
    return [this.#sendAsk(homeId, askId, wants)];
  }

  #sendAsk(homeId: string, askId: number, wants: TokenAsk['wants']): CoreMessage {
    const settled = this.#reports.get(homeId) ?? [];
    this.#reports.delete(homeId);
    const message: PeerMessage = {type: 'tokenAsk', askId, wants, settled};
    return {type: 'sendToPeer', toHostId: homeId, message};
  }

  #onAnswer(
    fromHostId: string,
    {askId, grants}: TokenAnswer,
    nowMs: number,
  ): readonly CoreMessage[] {
    const ask = this.#pendingAsks.get(askId);
    if (ask?.homeId !== fromHostId) {
      return [];
    }
    this.#pendingAsks.delete(askId);
    const messages: CoreMessage[] = [];
    for (const grant of grants) {
      const demand = this.#demands.get(grant.customerId);
      if (demand === undefined) {
        continue;
      }
      if (demand.pendingAskId === askId) {
        demand.pendingAskId = undefined;
      }
      demand.hold(fromHostId, grant, ask.askedAtMs);
      messages.push(...this.#serve(grant.customerId, demand, nowMs));
      messages.push(...this.#onShortfall(grant, demand, nowMs));
    }
    messages.push(...this.#armTimer(nowMs));
    return messages;
  }

  #onShortfall(
    {customerId, count, retryAfterMs, isSettled}: TokenAnswer['grants'][number],
    demand: CustomerDemand,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (!isSettled || (count === 0 && retryAfterMs === undefined)) {
      demand.dryUntilMs = nowMs + tickMs;
      return [];
    }
    if (retryAfterMs === undefined) {
      return this.#askIfShort(customerId, demand, nowMs);
    }
    demand.dryUntilMs = nowMs + retryAfterMs;
    return this.#refuseUncovered(demand, retryAfterMs, nowMs);
  }

  /** Refuses the requests for which there is no token now, but for young ones in a short dry spell. */
  #refuseUncovered(
    demand: CustomerDemand,
    retryAfterMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const covered = demand.available(nowMs);
    const uncovered = [...demand.waiting, ...demand.expected].slice(covered);
    for (const [requestId, sinceMs] of uncovered) {
      if (nowMs + retryAfterMs - sinceMs <= waitOutMs) {
        continue;
      }
      demand.waiting.delete(requestId);
      demand.expected.delete(requestId);
      this.#customerByRequest.delete(requestId);
      messages.push({type: 'permitRefused', requestId, kind: 'rate-limited', retryAfterMs});
    }
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTicking || this.#demands.size === 0) {
      return [];
    }
    this.#isTicking = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + tickMs}];
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    this.#isTicking = false;
    const messages: CoreMessage[] = [];
    this.#forgetLateAsks(nowMs);
    for (const [customerId, demand] of this.#demands) {
      messages.push(...this.#serve(customerId, demand, nowMs));
      messages.push(...this.#refuseImpatient(demand, nowMs));
      messages.push(...this.#askIfShort(customerId, demand, nowMs));
      if (demand.isIdle(nowMs) && demand.expectedAhead(nowMs) === 0) {
        this.#demands.delete(customerId);
      }
    }
    messages.push(...this.#sendReports(nowMs), ...this.#armTimer(nowMs));
    return messages;
  }

  #forgetLateAsks(nowMs: number): void {
    for (const [askId, {customerId, askedAtMs}] of this.#pendingAsks) {
      if (nowMs - askedAtMs < askTimeoutMs) {
        continue;
      }
      this.#pendingAsks.delete(askId);
      const demand = this.#demands.get(customerId);
      if (demand?.pendingAskId === askId) {
        demand.pendingAskId = undefined;
      }
    }
  }

  #refuseImpatient(demand: CustomerDemand, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const [requestId, sinceMs] of demand.waiting) {
      if (nowMs - sinceMs >= patienceMs) {
        demand.waiting.delete(requestId);
        this.#customerByRequest.delete(requestId);
        messages.push({type: 'permitRefused', requestId, kind: 'allowance-unavailable'});
      }
    }
    return messages;
  }

  /** Sends the reports that no ask took along for a while. */
  #sendReports(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    if (nowMs - this.#reportsSentAtMs < reportIntervalMs) {
      return messages;
    }
    this.#reportsSentAtMs = nowMs;
    for (const homeId of this.#reports.keys()) {
      messages.push(this.#sendAsk(homeId, 0, []));
    }
    return messages;
  }
}
