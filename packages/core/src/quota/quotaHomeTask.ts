import type {Customer, FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {fleetShare} from '../fleet/fleetShare.ts';
import {ReachableDataCentres} from '../fleet/reachableDataCentres.ts';
import {HomeFinder} from '../fleet/homeFinder.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {customerDuty} from './customerDuty.ts';
import {CustomerWindow} from './customerWindow.ts';
import type {CustomerShare} from './customerWindow.ts';

export interface QuotaHomeTaskOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
  readonly bounds: FleetBounds;
  /** True where the whole fleet starts for the first time, so that nothing was admitted before. Default: false. */
  readonly isFirstStart: boolean;
}

export const DEFAULT_QUOTA_HOME_OPTIONS = {isFirstStart: false} as const;

type RequiredQuotaHomeOptions = Omit<QuotaHomeTaskOptions, keyof typeof DEFAULT_QUOTA_HOME_OPTIONS>;

/** Part of a customer's rate that a stand-in hands out: with a home of one data centre in three it stays below the overshoot. */
const standInShare = 0.75;
/** The same for a home within a window after it took over: half of the hosts may be gone without a word. */
const inheritedShare = 0.85;
/** Part of the slack in a customer's rate that a home uses while it hears the whole fleet. */
const usedSlack = 0.9;

/**
 * The same within a window after the start of this process: the hosts may all have lost power together with what
 * they counted. With a customer that used its whole rate until then this stays below the overshoot.
 */
const restartedShare = 0.5;
/** Most requests for which one that is told may stand, where most of the fleet died with the former home. */
const maxWeight = 3;

/** Decides for customers whose home is here whether a request lies within rate and burst of the fleet. */
export class QuotaHomeTask implements CoreTask {
  readonly accepts = ['peerMessageReceived', 'documentInForce', 'rosterChanged'] as const;

  readonly #options: QuotaHomeTaskOptions;
  readonly #finder: HomeFinder;
  readonly #heard: ReachableDataCentres;
  readonly #windows = new Map<string, CustomerWindow>();
  #customers = new Map<string, Customer>();
  #fleetShare = 1;
  /** Moment of the first message to this task, in ms. */
  #startedAtMs: number | undefined;
  /** Hosts known for each host that lives; what the others were granted lately is not told. */
  #knownPerLive = 1;

  constructor(options: Partial<QuotaHomeTaskOptions> & RequiredQuotaHomeOptions) {
    this.#options = {...DEFAULT_QUOTA_HOME_OPTIONS, ...options};
    this.#finder = new HomeFinder(options.hash);
    this.#heard = new ReachableDataCentres(options.dataCentre);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    this.#startedAtMs ??= nowMs;
    switch (message.type) {
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'rosterChanged':
        this.#knownPerLive = message.knownCount / Math.max(1, message.live.length);
        this.#fleetShare = fleetShare(message, this.#options.bounds.rateOvershoot);
        this.#finder.setLiveHosts(message.live);
        this.#heard.setLiveHosts(message.live);
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

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    this.#heard.recordMessage(fromHostId, nowMs);
    if (message.type === 'quotaHello') {
      const momentsMs = message.admittedAgoMs.map((agoMs) => nowMs - agoMs);
      const weight = Math.min(maxWeight, Math.max(1, this.#knownPerLive));
      this.#window(message.customerId).add(momentsMs, weight, nowMs);
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
    const share = this.#shareFor(customerId, window, nowMs);
    const retryAfterMs = window.take(customer, share, nowMs);
    const isGranted = retryAfterMs === 0;
    const answer: PeerMessage = isGranted
      ? {type: 'quotaAnswer', askId, isGranted}
      : {type: 'quotaAnswer', askId, isGranted, retryAfterMs};
    const sent: CoreMessage = {type: 'sendToPeer', toHostId: fromHostId, message: answer};
    if (isGranted) {
      return [sent];
    }
    const fields = {
      requestName,
      customerId,
      hostId: fromHostId,
      ratePerSecond: customer.ratePerSecond,
      burstRequests: customer.burstRequests,
      admitted: window.size,
      windowMs: this.#options.bounds.rateWindowMs,
      ...share,
      isInherited: window.isInherited(nowMs),
      retryAfterMs: Math.round(retryAfterMs),
    };
    return [sent, {type: 'log', level: 'info', event: 'quota.refused', fields}];
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
   * A home that lost sight of a data centre leaves that part to the home there. A host that is asked
   * though it is not the first in the order keeps a rest back for the home that it stands in for.
   */
  #shareFor(customerId: string, window: CustomerWindow, nowMs: number): CustomerShare {
    const {selfId, bounds} = this.#options;
    const heard = Math.min(this.#fleetShare, this.#heard.share(nowMs));
    const isFirst = this.#finder.homeOf(customerDuty(customerId), nowMs) === selfId;
    if (!isFirst) {
      return {fleetShare: heard * standInShare, slack: 0};
    }
    const ageMs = nowMs - (this.#startedAtMs ?? nowMs);
    if (!this.#options.isFirstStart && ageMs < bounds.rateWindowMs) {
      return {fleetShare: heard * restartedShare, slack: 0};
    }
    if (window.isInherited(nowMs)) {
      return {fleetShare: heard * inheritedShare, slack: 0};
    }
    return {fleetShare: heard, slack: heard === 1 ? bounds.rateSlack * usedSlack : 0};
  }
}
