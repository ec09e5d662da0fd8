import type {Customer, FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {fleetShare} from '../fleet/fleetShare.ts';
import {ReachableDataCentres} from '../fleet/reachableDataCentres.ts';
import {HomeFinder} from '../fleet/homeFinder.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import {customerHomeKey} from './customerHomeKey.ts';
import {CustomerWindow, bucketSize, requestsPerWindow} from './customerWindow.ts';
import type {CustomerShare} from './customerWindow.ts';

/** Options of the task that counts the requests of customers as their home. */
export interface QuotaHomeTaskOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
  readonly bounds: FleetBounds;
  /**
   * True where the whole fleet starts for the first time, so that no requests were admitted before. Default:
   * false.
   */
  readonly isFirstStart: boolean;
}

export const DEFAULT_QUOTA_HOME_OPTIONS = {isFirstStart: false} as const;

type RequiredQuotaHomeOptions = Omit<QuotaHomeTaskOptions, keyof typeof DEFAULT_QUOTA_HOME_OPTIONS>;

/**
 * Share of a customer's rate that a substitute home hands out: together with a home that reaches only one
 * data centre of three it stays below the overshoot.
 */
const substituteShare = 0.75;
/**
 * Share of a customer's rate that a home hands out within a window after it took over: half of the hosts may
 * be gone without reporting what they were granted.
 */
const inheritedShare = 0.85;
/** Share of the slack in a customer's rate that a home uses while it reaches the whole fleet. */
const usedSlack = 0.9;
/**
 * Part of the overshoot that a home hands out at once after its process started. The rest is for hosts that
 * do not know all others yet.
 */
const usedOvershoot = 0.9;
/** Least time for which a process that ended is down before its successor admits requests, in ms. */
const minDowntimeMs = 400;
/**
 * Most requests that one reported request may count for, where most of the fleet died with the former home.
 */
const maxReportWeight = 3;

/**
 * Decides as the home of customers whether their requests are within rate and burst. The home of a customer
 * is the host that owns it by rendezvous hashing and counts its requests for the whole fleet.
 */
export class QuotaHomeTask implements CoreTask {
  readonly accepts = ['peerMessageReceived', 'documentInForce', 'rosterChanged'] as const;

  readonly #options: QuotaHomeTaskOptions;
  readonly #homeFinder: HomeFinder;
  readonly #reachable: ReachableDataCentres;
  readonly #windows = new Map<string, CustomerWindow>();
  #customers = new Map<string, Customer>();
  #fleetShare = 1;
  /** Time of the first message to this task, in ms. */
  #startedAtMs: number | undefined;
  /** Known hosts per live host. Requests that the other hosts were granted recently are not reported. */
  #knownPerLiveHost = 1;

  constructor(options: Partial<QuotaHomeTaskOptions> & RequiredQuotaHomeOptions) {
    this.#options = {...DEFAULT_QUOTA_HOME_OPTIONS, ...options};
    this.#homeFinder = new HomeFinder(options.hash);
    this.#reachable = new ReachableDataCentres(options.dataCentre);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    this.#startedAtMs ??= nowMs;
    switch (message.type) {
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'rosterChanged':
        this.#knownPerLiveHost = message.knownCount / Math.max(1, message.live.length);
        this.#fleetShare = fleetShare(message, this.#options.bounds.rateOvershoot);
        this.#homeFinder.setLiveHosts(message.live);
        this.#reachable.setLiveHosts(message.live);
        return [];
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#customers = new Map(document.customers.map((customer) => [customer.id, customer]));
    for (const customerId of this.#windows.keys()) {
      if (!this.#customers.has(customerId)) {
        this.#windows.delete(customerId);
      }
    }
    return [];
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    this.#reachable.recordMessage(fromHostId, nowMs);
    if (message.type === 'quotaHello') {
      const momentsMs = message.admittedAgoMs.map((agoMs) => nowMs - agoMs);
      const weight = Math.min(maxReportWeight, Math.max(1, this.#knownPerLiveHost));
      this.#window(message.customerId).addInherited(momentsMs, weight, nowMs);
      return [];
    }
    if (message.type !== 'quotaAsk') {
      return [];
    }
    const {askId, customerId, requestName} = message;
    const customer = this.#customers.get(customerId);
    if (customer === undefined) {
      return [];
    }
    const window = this.#window(customerId);
    const share = this.#shareOf(customer, window, nowMs);
    const retryAfterMs = window.tryAdmit(customer, share, nowMs);
    const isGranted = retryAfterMs === 0;
    const reply: PeerMessage = isGranted
      ? {type: 'quotaAnswer', askId, isGranted}
      : {type: 'quotaAnswer', askId, isGranted, retryAfterMs};
    const sendReply: CoreMessage = {type: 'sendToPeer', toHostId: fromHostId, message: reply};
    if (isGranted) {
      return [sendReply];
    }
    const fields = {
      requestName,
      customerId,
      hostId: fromHostId,
      ratePerSecond: customer.ratePerSecond,
      burstRequests: customer.burstRequests,
      admitted: window.size,
      bucketUsed: Math.round(window.bucketUsed),
      bucketSize: bucketSize(customer),
      windowMs: this.#options.bounds.rateWindowMs,
      ...share,
      isInherited: window.isInherited(nowMs),
      retryAfterMs: Math.round(retryAfterMs),
    };
    return [sendReply, {type: 'log', level: 'info', event: 'quota.refused', fields}];
  }

  #window(customerId: string): CustomerWindow {
    let window = this.#windows.get(customerId);
    if (window === undefined) {
      window = new CustomerWindow(this.#options.bounds.rateWindowMs);
      this.#windows.set(customerId, window);
    }
    return window;
  }

  /**
   * Part of the customer's rate that this host may hand out.
   *
   * A home that cannot reach a data centre leaves the share of that data centre to the home there. A host that is queried
   * although it is not the first candidate acts as a substitute home and holds back a part for the home that
   * it replaces.
   */
  #shareOf(customer: Customer, window: CustomerWindow, nowMs: number): CustomerShare {
    const {selfId, bounds} = this.#options;
    const reachableShare = Math.min(this.#fleetShare, this.#reachable.share(nowMs));
    const isFirst = this.#homeFinder.homeOf(customerHomeKey(customer.id), nowMs) === selfId;
    if (!isFirst) {
      const share = reachableShare * substituteShare;
      return {fleetShare: share, bucketShare: share, slack: 0};
    }
    const ageMs = nowMs - (this.#startedAtMs ?? nowMs);
    if (!this.#options.isFirstStart && ageMs < bounds.rateWindowMs) {
      const share = reachableShare * this.#restartedShare(customer, ageMs);
      return {fleetShare: share, bucketShare: reachableShare, slack: 0};
    }
    if (window.isInherited(nowMs)) {
      const share = reachableShare * inheritedShare;
      return {fleetShare: share, bucketShare: share, slack: 0};
    }
    return {
      fleetShare: reachableShare,
      bucketShare: reachableShare,
      slack: reachableShare === 1 ? bounds.rateSlack * usedSlack : 0,
    };
  }

  /**
   * Share of a customer's rate and burst that a home hands out within a window after its process started.
   *
   * Load pattern: all hosts lose power together, with everything that they had counted, and customers go on
   * sending. A customer may have used all that a window allows until then. As its bucket spread that, all but
   * the size of the bucket leaves the sliding window evenly, and this home hands out as much, in addition to the
   * overshoot.
   */
  #restartedShare(customer: Customer, ageMs: number): number {
    const {rateOvershoot, rateWindowMs} = this.#options.bounds;
    const bucketShare = bucketSize(customer) / requestsPerWindow(customer, rateWindowMs);
    const leftWindow = (ageMs + minDowntimeMs) / rateWindowMs;
    return Math.min(1, rateOvershoot * usedOvershoot + Math.max(0, leftWindow - bucketShare));
  }
}
