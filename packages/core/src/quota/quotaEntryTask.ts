import type {Customer, FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {HomeFinder} from '../fleet/homeFinder.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import {customerHomeKey} from './customerHomeKey.ts';
import {CustomerWindow} from './customerWindow.ts';

/** Options of the task that requests permits for this host. */
export interface QuotaEntryTaskOptions {
  readonly hash: HashFunction;
  readonly bounds: FleetBounds;
  /** First number of the queries; chosen differently by each process on a host. */
  readonly firstNonce: number;
  /**
   * Time without a reply after which a query goes to the next home, in ms. Default: 120, twenty round trips
   * between data centres.
   */
  readonly homeTimeoutMs: number;
}

export const DEFAULT_QUOTA_ENTRY_OPTIONS = {homeTimeoutMs: 120} as const;

/** Whether a request may run, and if not, when the next one may. */
interface QuotaDecision {
  readonly isGranted: boolean;
  readonly retryAfterMs: number | undefined;
}

/** A query that was sent to a home and is not resolved yet. */
interface PendingQuery {
  readonly requestId: number;
  readonly customerId: string;
  readonly homeId: string;
  readonly sentAtMs: number;
}

/** A request of a customer that was admitted for this host. */
interface AdmittedRequest {
  readonly atMs: number;
  /** Homes that count the request: the one that admitted it and those that it was reported to. */
  readonly homeIds: string[];
}

const timerId = 'quota.asks';
/** Interval at which pending queries are checked, in ms. */
const sweepMs = 40;
/** Time for which a permit is valid, in ms; it is used as soon as a server is found. */
const permitValidityMs = 10_000;

/**
 * Queries the homes of customers for permits on behalf of the requests that this host received. The home of a
 * customer is the host that owns it by rendezvous hashing and counts its requests for the whole fleet.
 */
export class QuotaEntryTask implements CoreTask {
  readonly accepts = [
    'permitExpected',
    'permitWanted',
    'requestWithdrawn',
    'documentInForce',
    'rosterChanged',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: QuotaEntryTaskOptions;
  readonly #homeFinder: HomeFinder;
  readonly #pendingQueries = new Map<number, PendingQuery>();
  readonly #queryIdByRequest = new Map<number, number>();
  /** Decisions by request, until the request is ready for them. */
  readonly #decisions = new Map<number, QuotaDecision>();
  /** Requests that are ready to use a permit. */
  readonly #awaitedRequestIds = new Set<number>();
  /** Names of the requests that need a permit, for the logs. */
  readonly #requestNames = new Map<number, string>();
  readonly #admittedByCustomer = new Map<string, AdmittedRequest[]>();
  /** Requests admitted as the local fallback, by customer. */
  readonly #localWindows = new Map<string, CustomerWindow>();
  #customers = new Map<string, Customer>();
  /** Hosts that are alive or were recently, as far as this host knows. */
  #knownHosts = 1;
  #nextQueryId: number;
  #isTimerSet = false;

  constructor(
    options: Partial<QuotaEntryTaskOptions> &
      Pick<QuotaEntryTaskOptions, 'hash' | 'bounds' | 'firstNonce'>,
  ) {
    this.#options = {...DEFAULT_QUOTA_ENTRY_OPTIONS, ...options};
    this.#homeFinder = new HomeFinder(options.hash);
    this.#nextQueryId = options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'permitExpected':
        this.#requestNames.set(message.requestId, message.requestName ?? '');
        return this.#queryHome(message.requestId, message.customerId, nowMs);
      case 'permitWanted':
        return this.#onPermitWanted(message.requestId, message.customerId, nowMs);
      case 'requestWithdrawn':
        this.#removeRequest(message.requestId);
        return [];
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'rosterChanged':
        this.#homeFinder.setLiveHosts(message.live);
        this.#knownHosts = Math.max(1, message.knownCount);
        return [
          ...this.#reportToNewHomes(nowMs),
          ...this.#resendOrphanedQueries(message.live, nowMs),
        ];
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
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

  #onPermitWanted(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    this.#awaitedRequestIds.add(requestId);
    const decision = this.#decisions.get(requestId);
    if (decision !== undefined) {
      return this.#sendDecision(requestId, decision, nowMs);
    }
    return this.#queryIdByRequest.has(requestId)
      ? []
      : this.#queryHome(requestId, customerId, nowMs);
  }

  #queryHome(requestId: number, customerId: string, nowMs: number): readonly CoreMessage[] {
    const customer = this.#customers.get(customerId);
    if (customer === undefined || customer.isUnlimited === true) {
      return this.#storeDecision(requestId, {isGranted: true, retryAfterMs: undefined}, nowMs);
    }
    const homeId = this.#homeFinder.homeOf(customerHomeKey(customerId), nowMs);
    if (homeId === undefined) {
      return this.#decideLocally(requestId, customer, nowMs);
    }
    const askId = this.#nextQueryId;
    this.#nextQueryId += 1;
    this.#pendingQueries.set(askId, {requestId, customerId, homeId, sentAtMs: nowMs});
    this.#queryIdByRequest.set(requestId, askId);
    const requestName = this.#requestNames.get(requestId) ?? '';
    const message: PeerMessage = {type: 'quotaAsk', askId, customerId, requestName};
    return [
      ...this.#sendHello(customerId, homeId, nowMs),
      {type: 'sendToPeer', toHostId: homeId, message},
      ...this.#armTimer(nowMs),
    ];
  }

  /**
   * Admits the request within this host's own part of the rate, as if every host did so at the same time.
   * Used as the local fallback where no home replies.
   */
  #decideLocally(requestId: number, customer: Customer, nowMs: number): readonly CoreMessage[] {
    let window = this.#localWindows.get(customer.id);
    if (window === undefined) {
      window = new CustomerWindow(this.#options.bounds.rateWindowMs);
      this.#localWindows.set(customer.id, window);
    }
    const ownShare = 1 / this.#knownHosts;
    const share = {fleetShare: ownShare, bucketShare: ownShare, slack: 0};
    const retryAfterMs = window.tryAdmit(customer, share, nowMs);
    return this.#storeDecision(requestId, {isGranted: retryAfterMs === 0, retryAfterMs}, nowMs);
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type !== 'quotaAnswer') {
      return [];
    }
    this.#homeFinder.markResponsive(fromHostId);
    const query = this.#pendingQueries.get(message.askId);
    if (query?.homeId !== fromHostId) {
      return [];
    }
    this.#pendingQueries.delete(message.askId);
    this.#queryIdByRequest.delete(query.requestId);
    const {isGranted, retryAfterMs} = message;
    if (isGranted) {
      this.#recordAdmitted(query.customerId, fromHostId, nowMs);
    }
    return this.#storeDecision(query.requestId, {isGranted, retryAfterMs}, nowMs);
  }

  /** Stores a decision. A refusal is sent at once, a permit when the request is ready to use it. */
  #storeDecision(
    requestId: number,
    decision: QuotaDecision,
    nowMs: number,
  ): readonly CoreMessage[] {
    this.#decisions.set(requestId, decision);
    const isAwaited = !decision.isGranted || this.#awaitedRequestIds.has(requestId);
    return isAwaited ? this.#sendDecision(requestId, decision, nowMs) : [];
  }

  #sendDecision(
    requestId: number,
    {isGranted, retryAfterMs}: QuotaDecision,
    nowMs: number,
  ): readonly CoreMessage[] {
    this.#removeRequest(requestId);
    if (isGranted) {
      return [{type: 'permitGranted', requestId, usableUntilMs: nowMs + permitValidityMs}];
    }
    return [{type: 'permitRefused', requestId, kind: 'rate-limited', retryAfterMs}];
  }

  #removeRequest(requestId: number): void {
    this.#decisions.delete(requestId);
    this.#awaitedRequestIds.delete(requestId);
    this.#requestNames.delete(requestId);
    const askId = this.#queryIdByRequest.get(requestId);
    if (askId !== undefined) {
      this.#queryIdByRequest.delete(requestId);
      this.#pendingQueries.delete(askId);
    }
  }

  #recordAdmitted(customerId: string, homeId: string, nowMs: number): void {
    const admitted = this.#admittedByCustomer.get(customerId) ?? [];
    this.#admittedByCustomer.set(customerId, admitted);
    admitted.push({atMs: nowMs, homeIds: [homeId]});
    this.#removeExpired(admitted, nowMs);
  }

  #removeExpired(admitted: AdmittedRequest[], nowMs: number): void {
    const startMs = nowMs - this.#options.bounds.rateWindowMs;
    while ((admitted[0]?.atMs ?? nowMs) <= startMs) {
      admitted.shift();
    }
  }

  /**
   * Reports to the new home of each customer what former homes admitted for this host in the current window.
   */
  #reportToNewHomes(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const customerId of this.#admittedByCustomer.keys()) {
      const homeId = this.#homeFinder.homeOf(customerHomeKey(customerId), nowMs);
      if (homeId !== undefined) {
        messages.push(...this.#sendHello(customerId, homeId, nowMs));
      }
    }
    return messages;
  }

  #sendHello(customerId: string, homeId: string, nowMs: number): readonly CoreMessage[] {
    const admitted = this.#admittedByCustomer.get(customerId);
    if (admitted === undefined) {
      return [];
    }
    this.#removeExpired(admitted, nowMs);
    if (admitted.length === 0) {
      this.#admittedByCustomer.delete(customerId);
      return [];
    }
    const admittedAgoMs: number[] = [];
    for (const {atMs, homeIds} of admitted) {
      if (!homeIds.includes(homeId)) {
        homeIds.push(homeId);
        admittedAgoMs.push(nowMs - atMs);
      }
    }
    if (admittedAgoMs.length === 0) {
      return [];
    }
    const message: PeerMessage = {type: 'quotaHello', customerId, admittedAgoMs};
    return [{type: 'sendToPeer', toHostId: homeId, message}];
  }

  /** Sends queries again whose home is gone. */
  #resendOrphanedQueries(live: readonly LiveHost[], nowMs: number): readonly CoreMessage[] {
    const liveIds = new Set(live.map(({hostId}) => hostId));
    const messages: CoreMessage[] = [];
    for (const [askId, {requestId, customerId, homeId}] of [...this.#pendingQueries]) {
      if (!liveIds.has(homeId)) {
        this.#pendingQueries.delete(askId);
        this.#queryIdByRequest.delete(requestId);
        messages.push(...this.#queryHome(requestId, customerId, nowMs));
      }
    }
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTimerSet || this.#pendingQueries.size === 0) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    const messages: CoreMessage[] = [];
    for (const [askId, {requestId, customerId, homeId, sentAtMs}] of [...this.#pendingQueries]) {
      if (nowMs - sentAtMs < this.#options.homeTimeoutMs) {
        continue;
      }
      this.#pendingQueries.delete(askId);
      this.#queryIdByRequest.delete(requestId);
      this.#homeFinder.markSilent(homeId, nowMs);
      const fields = {requestId, customerId, homeId};
      messages.push(
        {type: 'log', level: 'warn', event: 'quota.homeSilent', fields},
        {type: 'count', name: 'quota.homeSilent', tags: {}},
        ...this.#queryHome(requestId, customerId, nowMs),
      );
    }
    return [...messages, ...this.#armTimer(nowMs)];
  }
}
