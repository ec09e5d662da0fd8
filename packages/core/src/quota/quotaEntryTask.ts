import type {Customer, FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {HomeFinder} from '../fleet/homeFinder.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {customerDuty} from './customerDuty.ts';
import {CustomerWindow} from './customerWindow.ts';

export interface QuotaEntryTaskOptions {
  readonly hash: HashFunction;
  readonly bounds: FleetBounds;
  /** First number of asks; differs between processes at the same host. */
  readonly firstNonce: number;
  /** Longest wait for the home of a customer, in ms. Default: 120, twenty round trips between data centres. */
  readonly answerTimeoutMs: number;
}

export const DEFAULT_QUOTA_ENTRY_OPTIONS = {answerTimeoutMs: 120} as const;

interface Verdict {
  readonly isGranted: boolean;
  readonly retryAfterMs: number | undefined;
}

interface Ask {
  readonly requestId: number;
  readonly customerId: string;
  readonly homeId: string;
  readonly askedAtMs: number;
}

/** A request of a customer that was admitted on behalf of this host. */
interface Admitted {
  readonly atMs: number;
  /** Homes that count it: the one that admitted it and those that were told. */
  readonly knownTo: string[];
}

const timerId = 'quota.asks';
const sweepMs = 40;
/** Life of a permission: it is used as soon as a server is found, in ms. */
const permitLifeMs = 10_000;

/** Asks the homes of customers for permission on behalf of the requests of this host. */
export class QuotaEntryTask implements CoreTask {
  readonly accepts = [
    'permitForeseen',
    'permitWanted',
    'requestWithdrawn',
    'documentInForce',
    'rosterChanged',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: QuotaEntryTaskOptions;
  readonly #finder: HomeFinder;
  readonly #asks = new Map<number, Ask>();
  readonly #askByRequest = new Map<number, number>();
  readonly #verdicts = new Map<number, Verdict>();
  readonly #wanted = new Set<number>();
  /** Names of the requests that are asked for, for the logs. */
  readonly #names = new Map<number, string>();
  readonly #admittedByCustomer = new Map<string, Admitted[]>();
  readonly #loneWindows = new Map<string, CustomerWindow>();
  #customers = new Map<string, Customer>();
  #knownHosts = 1;
  #nextAskId: number;
  #isTimerSet = false;

  constructor(
    options: Partial<QuotaEntryTaskOptions> &
      Pick<QuotaEntryTaskOptions, 'hash' | 'bounds' | 'firstNonce'>,
  ) {
    this.#options = {...DEFAULT_QUOTA_ENTRY_OPTIONS, ...options};
    this.#finder = new HomeFinder(options.hash);
    this.#nextAskId = options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'permitForeseen':
        this.#names.set(message.requestId, message.requestName ?? '');
        return this.#ask(message.requestId, message.customerId, nowMs);
      case 'permitWanted':
        return this.#onWanted(message.requestId, message.customerId, nowMs);
      case 'requestWithdrawn':
        this.#forget(message.requestId);
        return [];
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'rosterChanged':
        this.#finder.setLiveHosts(message.live);
        this.#knownHosts = Math.max(1, message.knownCount);
        return [...this.#greetHomes(nowMs), ...this.#moveAsks(message.live, nowMs)];
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#customers = new Map(document.customers.map((customer) => [customer.id, customer]));
    return [];
  }

  #onWanted(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    this.#wanted.add(requestId);
    const verdict = this.#verdicts.get(requestId);
    if (verdict !== undefined) {
      return this.#tell(requestId, verdict, nowMs);
    }
    return this.#askByRequest.has(requestId) ? [] : this.#ask(requestId, customerId, nowMs);
  }

  #ask(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    const customer = this.#customers.get(customerId);
    if (customer === undefined || customer.isUnlimited === true) {
      return this.#settle(requestId, {isGranted: true, retryAfterMs: undefined}, nowMs);
    }
    const homeId = this.#finder.homeOf(customerDuty(customerId), nowMs);
    if (homeId === undefined) {
      return this.#decideAlone(requestId, customer, nowMs);
    }
    const askId = this.#nextAskId;
    this.#nextAskId += 1;
    this.#asks.set(askId, {requestId, customerId, homeId, askedAtMs: nowMs});
    this.#askByRequest.set(requestId, askId);
    const requestName = this.#names.get(requestId) ?? '';
    const message: PeerMessage = {type: 'quotaAsk', askId, customerId, requestName};
    return [
      ...this.#greet(customerId, homeId, nowMs),
      {type: 'sendToPeer', toHostId: homeId, message},
      ...this.#armTimer(nowMs),
    ];
  }

  /** A host that no home answers uses its own part of the rate, as if all hosts did so at once. */
  #decideAlone(requestId: number, customer: Customer, nowMs: number): readonly CoreMessage[] {
    let window = this.#loneWindows.get(customer.id);
    if (window === undefined) {
      window = new CustomerWindow(this.#options.bounds.rateWindowMs);
      this.#loneWindows.set(customer.id, window);
    }
    const retryAfterMs = window.take(customer, {fleetShare: 1 / this.#knownHosts, slack: 0}, nowMs);
    return this.#settle(requestId, {isGranted: retryAfterMs === 0, retryAfterMs}, nowMs);
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type !== 'quotaAnswer') {
      return [];
    }
    this.#finder.markResponsive(fromHostId);
    const ask = this.#asks.get(message.askId);
    if (ask?.homeId !== fromHostId) {
      return [];
    }
    this.#asks.delete(message.askId);
    this.#askByRequest.delete(ask.requestId);
    const {isGranted, retryAfterMs} = message;
    if (isGranted) {
      this.#noteAdmitted(ask.customerId, fromHostId, nowMs);
    }
    return this.#settle(ask.requestId, {isGranted, retryAfterMs}, nowMs);
  }

  /** A refusal is told at once, a permission when the request is ready for it. */
  #settle(requestId: number, verdict: Verdict, nowMs: number): readonly CoreMessage[] {
    this.#verdicts.set(requestId, verdict);
    const isAwaited = !verdict.isGranted || this.#wanted.has(requestId);
    return isAwaited ? this.#tell(requestId, verdict, nowMs) : [];
  }

  #tell(
    requestId: number,
    {isGranted, retryAfterMs}: Verdict,
    nowMs: number,
  ): readonly CoreMessage[] {
    this.#forget(requestId);
    if (isGranted) {
      return [{type: 'permitGranted', requestId, usableUntilMs: nowMs + permitLifeMs}];
    }
    return [{type: 'permitRefused', requestId, kind: 'rate-limited', retryAfterMs}];
  }

  #forget(requestId: number): void {
    this.#verdicts.delete(requestId);
    this.#wanted.delete(requestId);
    this.#names.delete(requestId);
    const askId = this.#askByRequest.get(requestId);
    if (askId !== undefined) {
      this.#askByRequest.delete(requestId);
      this.#asks.delete(askId);
    }
  }

  #noteAdmitted(customerId: string, homeId: string, nowMs: number): void {
    const admitted = this.#admittedByCustomer.get(customerId) ?? [];
    this.#admittedByCustomer.set(customerId, admitted);
    admitted.push({atMs: nowMs, knownTo: [homeId]});
    this.#forgetOld(admitted, nowMs);
  }

  #forgetOld(admitted: Admitted[], nowMs: number): void {
    const startMs = nowMs - this.#options.bounds.rateWindowMs;
    while ((admitted[0]?.atMs ?? nowMs) <= startMs) {
      admitted.shift();
    }
  }

  /** Tells homes that are new to a customer what the former ones admitted in the current window. */
  #greetHomes(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const customerId of this.#admittedByCustomer.keys()) {
      const homeId = this.#finder.homeOf(customerDuty(customerId), nowMs);
      if (homeId !== undefined) {
        messages.push(...this.#greet(customerId, homeId, nowMs));
      }
    }
    return messages;
  }

  #greet(customerId: string, homeId: string, nowMs: number): readonly CoreMessage[] {
    const admitted = this.#admittedByCustomer.get(customerId);
    if (admitted === undefined) {
      return [];
    }
    this.#forgetOld(admitted, nowMs);
    if (admitted.length === 0) {
      this.#admittedByCustomer.delete(customerId);
      return [];
    }
    const admittedAgoMs: number[] = [];
    for (const {atMs, knownTo} of admitted) {
      if (!knownTo.includes(homeId)) {
        knownTo.push(homeId);
        admittedAgoMs.push(nowMs - atMs);
      }
    }
    if (admittedAgoMs.length === 0) {
      return [];
    }
    const message: PeerMessage = {type: 'quotaHello', customerId, admittedAgoMs};
    return [{type: 'sendToPeer', toHostId: homeId, message}];
  }

  /** Asks anew what was asked of a host that is gone. */
  #moveAsks(live: readonly LiveHost[], nowMs: number): readonly CoreMessage[] {
    const liveIds = new Set(live.map(({hostId}) => hostId));
    const messages: CoreMessage[] = [];
    for (const [askId, {requestId, customerId, homeId}] of [...this.#asks]) {
      if (!liveIds.has(homeId)) {
        this.#asks.delete(askId);
        this.#askByRequest.delete(requestId);
        messages.push(...this.#ask(requestId, customerId, nowMs));
      }
    }
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTimerSet || this.#asks.size === 0) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    const messages: CoreMessage[] = [];
    for (const [askId, {requestId, customerId, homeId, askedAtMs}] of [...this.#asks]) {
      if (nowMs - askedAtMs < this.#options.answerTimeoutMs) {
        continue;
      }
      this.#asks.delete(askId);
      this.#askByRequest.delete(requestId);
      this.#finder.markSilent(homeId, nowMs);
      const fields = {requestId, customerId, homeId};
      messages.push(
        {type: 'log', level: 'warn', event: 'quota.homeSilent', fields},
        {type: 'count', name: 'quota.homeSilent', tags: {}},
        ...this.#ask(requestId, customerId, nowMs),
      );
    }
    return [...messages, ...this.#armTimer(nowMs)];
  }
}
