import type {Customer} from '@godwitspring/document';
import type {PlaceAsk} from '../messages/peerMessages.ts';
import {DueMoments} from './dueMoments.ts';
import type {EntryHost} from './placementDecision.ts';
import {QueueThroughput} from './queueThroughput.ts';
import {PlacementQueue} from './placementQueue.ts';
import type {QueuedQuery} from './placementQueue.ts';

/** A query that found no server, with what decides whether it may wait. */
export interface WaitTerms {
  readonly entryHost: EntryHost;
  readonly query: PlaceAsk;
  /** Longest wait after which the response still arrives within the route's target latency, in ms. */
  readonly maxWaitInTargetMs: number;
  /** Longest wait after which the response still arrives before the caller's deadline, in ms. */
  readonly maxWaitBeforeDeadlineMs: number;
  /** Requests that the healthy servers are expected to start per ms. */
  readonly expectedStartsPerMs: number;
}

/**
 * Why a query waits or is refused: it is expected to be served in time (`in-time`); too little time is left
 * (`no-time`); its customer has as many requests waiting as are served in time at its share (`over-share`); a
 * more urgent class has more of its requests refused (`less-urgent`); it waited and is not expected to be served
 * in time any more (`too-slow`); or it waited until its deadline was too close (`expired`).
 */
export type AdmissionReason =
  'in-time' | 'no-time' | 'over-share' | 'less-urgent' | 'too-slow' | 'expired';

/** What a decision was based on, for the logs. */
interface AdmissionFigures {
  readonly reason: AdmissionReason;
  /** Time in which a request of the customer would be served, in ms. */
  readonly expectedWaitMs: number;
  /** Share of its class's starts that the customer may use, 0 to 1. */
  readonly customerShare: number;
}

/** Whether a query may wait, with the expected wait, or is refused. */
export type AdmissionDecision = AdmissionFigures &
  ({readonly state: 'waiting'} | {readonly state: 'refused'; readonly retryAfterMs: number});

/** A query that was removed from the queue, and the wait after which a new one has a chance. */
export interface ExpiredQuery extends AdmissionFigures {
  readonly key: string;
  readonly entryHost: EntryHost;
  readonly query: PlaceAsk;
  readonly waitedMs: number;
  readonly retryAfterMs: number;
}

/**
 * Shortest retry-after sent to a caller, in ms: the time in which requests of typical duration free a slot or
 * two.
 */
const minRetryAfterMs = 50;
/** Longest retry-after sent to a caller, in ms; the load of later times is not known. */
const maxRetryAfterMs = 10_000;
/** Callers that are refused at the same time return spread over this share of their retry-after. */
const retrySpread = 0.5;
/**
 * Share of the wait allowed by its target latency after which a request is refused that will not be served in
 * time. Callers ask for a refusal within an eighth of the target latency; the rest is for the messages to and
 * from the entry host and the interval at which the home checks its queue. The query does not name the target,
 * which is at least as long as the wait that it allows.
 */
const refusalShare = 0.12;
/**
 * A priority class becomes congested once its expected wait exceeds this share of the wait allowed by the
 * target latency. The margin is for durations that vary.
 */
const congestionThreshold = 0.5;
/** In a congested class, a customer's requests may wait for at most this share of the wait allowed by the target. */
const congestedWaitShare = 0.25;
/**
 * A priority class stays congested until nothing waits and nothing was refused for this time, in ms. A class that
 * clears each time its queue is empty fills up anew several times a second, and refuses late what waited then.
 */
const congestionClearMs = 500;
/**
 * A request of a customer that was served less than others waits on if all such requests are served within this
 * share of the wait allowed by the target latency.
 */
const exemptWaitShare = 0.5;
/** The same share for a class beside more urgent ones, whose throughput falls whenever those need more. */
const lessUrgentExemptWaitShare = 0.15;

/**
 * A request of the most urgent class stays while the queue of the class takes at most this share of the wait allowed by
 * its target latency: refused earlier, it would leave the queue empty and servers idle.
 */
const shortQueueShare = 0.2;

/** Waiting requests of one priority class, and how fast they are served. */
interface PriorityState {
  readonly priority: number;
  readonly throughput: QueueThroughput;
  /** Keys of the waiting requests by the moment at which they are refused while the class is congested. */
  readonly earlyDeadlines: DueMoments<string>;
  /** Keys of the waiting requests by the moment after which a response would arrive too late. */
  readonly expiries: DueMoments<string>;
  /**
   * Keys of the requests that are not refused early: they waited too long for that when the class became congested, or
   * their customer was served less than others. While there are any, the oldest of each customer are served first.
   */
  readonly exempt: Set<string>;
  /** The same requests by the moment after which they would be served after their target latency. */
  readonly exemptDeadlines: DueMoments<string>;
  waiting: number;
  isCongested: boolean;
  /** Moment of the last refusal for lack of capacity, in ms. */
  lastRefusalMs: number;
  /** Wait allowed by the target latency of the newest request, in ms. */
  maxWaitInTargetMs: number;
  /** Rate given with the newest query; used until the throughput of the queue has been measured. */
  expectedStartsPerMs: number;
}

/** A fraction that depends on a text, 0 to 1: the same text always gives the same (FNV-1a). */
function fractionOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  // The last characters of similar texts reach the high bits only by mixing.
  hash = Math.imul(hash ^ (hash >>> 16), 0x7feb352d);
  return ((hash ^ (hash >>> 15)) >>> 0) / 2 ** 32;
}

/**
 * Decides which requests wait for a server, in which order and for how long.
 *
 * Load pattern: for seconds a burst, or one customer at many times its typical load, brings more requests
 * than the healthy servers can handle. A priority class becomes congested once its requests would take too
 * long to serve within their target latency. From then on each customer may have as many requests waiting as
 * are served in time at its share of the throughput; further ones are refused on arrival. Of those that wait,
 * the newest of each customer are served first, in time, and the others are refused early, unless their
 * customer was served less than others: those are served soon. Priority classes are measured separately, as
 * less urgent ones are served more slowly. In a queue that moves fast enough, requests wait for as long as
 * their callers do.
 */
export class QueueAdmission {
  readonly queue = new PlacementQueue();
  readonly #stateByPriority = new Map<number, PriorityState>();

  /** Sets the weights of the customers. */
  setCustomers(customers: readonly Customer[]): void {
    this.queue.setWeights(new Map(customers.map(({id, weight = 1}) => [id, weight])));
  }

  /** True while more requests of a priority class wait than can be served within their target latency. */
  isCongested(priority: number): boolean {
    return this.#stateByPriority.get(priority)?.isCongested ?? false;
  }

  /** Number of waiting requests by priority, where any wait. */
  get waitingByPriority(): [number, number][] {
    const waiting: [number, number][] = [];
    for (const [priority, {waiting: count}] of this.#stateByPriority) {
      if (count > 0) {
        waiting.push([priority, count]);
      }
    }
    return waiting;
  }

  /**
   * False where a request that has just arrived leaves the free servers to a more urgent class that is congested:
   * it would overtake what waits.
   */
  mayStartOnArrival(priority: number, nowMs: number): boolean {
    const {classStarts} = this.queue;
    return (
      !this.#isMoreUrgentCongested(priority, nowMs) ||
      (classStarts.hasReserved && !classStarts.isServedBetter(priority, nowMs))
    );
  }

  /** Queues a query, or refuses it where it could not be served in time. */
  admit(key: string, terms: WaitTerms, nowMs: number): AdmissionDecision {
    const {entryHost, query, maxWaitInTargetMs, maxWaitBeforeDeadlineMs, expectedStartsPerMs} =
      terms;
    const {priority} = query;
    this.remove(key, nowMs);
    const priorityState = this.#stateOf(priority);
    const {classStarts} = this.queue;
    priorityState.expectedStartsPerMs = classStarts.leftFor(priority, expectedStartsPerMs, nowMs);
    priorityState.maxWaitInTargetMs = maxWaitInTargetMs;
    this.#updateCongestion(priorityState, nowMs);
    const refusalReason = this.#refusalReason(priorityState, terms, nowMs);
    if (refusalReason !== undefined) {
      const figures = this.#figures(priorityState, query, refusalReason, nowMs);
      this.#recordRefusal(priorityState, query, nowMs);
      return {...figures, state: 'refused', retryAfterMs: this.#retryAfterMs(figures, query)};
    }
    const expiresAtMs = nowMs + maxWaitBeforeDeadlineMs;
    const congestedDeadlineMs = Math.min(expiresAtMs, nowMs + maxWaitInTargetMs * refusalShare);
    const figures = this.#figures(priorityState, query, 'in-time', nowMs);
    this.queue.add(key, {
      entryHost,
      query,
      arrivedAtMs: nowMs,
      congestedDeadlineMs,
      targetWaitEndsAtMs: nowMs + maxWaitInTargetMs,
      expiresAtMs,
    });
    priorityState.earlyDeadlines.set(key, congestedDeadlineMs);
    priorityState.expiries.set(key, expiresAtMs);
    priorityState.waiting += 1;
    priorityState.throughput.setWaiting(true, nowMs);
    return {...figures, state: 'waiting'};
  }

  /** Counts a query that was granted a server. Retries count for the customer only, not for the throughput. */
  recordGrant({customerId, isRepeat, priority}: PlaceAsk, nowMs: number): void {
    this.queue.recordServed(customerId, nowMs);
    if (!isRepeat) {
      this.queue.recordStart(priority, nowMs);
      this.#stateOf(priority).throughput.recordGrant(nowMs);
    }
  }

  /** Removes a query from the queue; returns undefined where it is not queued. */
  remove(key: string, nowMs: number): QueuedQuery | undefined {
    const queued = this.queue.remove(key);
    if (queued === undefined) {
      return undefined;
    }
    const priorityState = this.#stateOf(queued.query.priority);
    priorityState.earlyDeadlines.delete(key);
    priorityState.expiries.delete(key);
    priorityState.exempt.delete(key);
    priorityState.exemptDeadlines.delete(key);
    priorityState.waiting -= 1;
    priorityState.throughput.setWaiting(priorityState.waiting > 0, nowMs);
    this.#updateCongestion(priorityState, nowMs);
    return queued;
  }

  /** Removes the queries that can no longer be served in time; looks at those that are due only. */
  removeExpired(nowMs: number): ExpiredQuery[] {
    const expired: ExpiredQuery[] = [];
    for (const priorityState of this.#stateByPriority.values()) {
      // Ends the congestion of a class of which no further request comes.
      this.#updateCongestion(priorityState, nowMs);
      for (;;) {
        const {earlyDeadlines, expiries, exemptDeadlines, isCongested} = priorityState;
        const early = isCongested ? earlyDeadlines.takeDue(nowMs) : undefined;
        const late =
          early === undefined && isCongested ? exemptDeadlines.takeDue(nowMs) : undefined;
        const key = early ?? late ?? expiries.takeDue(nowMs);
        if (key === undefined) {
          break;
        }
        if (early !== undefined && this.#isServedSoon(early, priorityState, nowMs)) {
          this.#exempt(early, priorityState);
          continue;
        }
        this.#expire(
          key,
          priorityState,
          key === early || key === late ? 'too-slow' : 'expired',
          expired,
          nowMs,
        );
      }
    }
    return expired;
  }

  #expire(
    key: string,
    priorityState: PriorityState,
    reason: AdmissionReason,
    expired: ExpiredQuery[],
    nowMs: number,
  ): void {
    const queued = this.queue.get(key);
    if (queued === undefined) {
      return;
    }
    const {entryHost, query, arrivedAtMs} = queued;
    const figures = this.#figures(priorityState, query, reason, nowMs);
    const retryAfterMs = this.#retryAfterMs(figures, query);
    this.remove(key, nowMs);
    this.#recordRefusal(priorityState, query, nowMs);
    expired.push({...figures, key, entryHost, query, waitedMs: nowMs - arrivedAtMs, retryAfterMs});
  }

  #recordRefusal(priorityState: PriorityState, {customerId}: PlaceAsk, nowMs: number): void {
    priorityState.lastRefusalMs = nowMs;
    this.queue.recordRefused(customerId, priorityState.priority);
    this.queue.classStarts.recordRefusal(priorityState.priority, nowMs);
  }

  /** Why a query is refused on arrival; undefined where it may wait. */
  #refusalReason(
    priorityState: PriorityState,
    {query, maxWaitInTargetMs, maxWaitBeforeDeadlineMs}: WaitTerms,
    nowMs: number,
  ): AdmissionReason | undefined {
    if (maxWaitBeforeDeadlineMs <= 0) {
      return 'no-time';
    }
    const {isCongested} = priorityState;
    if (!isCongested && this.#expectedWaitMs(priorityState, nowMs) > maxWaitBeforeDeadlineMs) {
      return 'no-time';
    }
    const {priority} = query;
    if (
      this.#isMoreUrgentCongested(priority, nowMs) &&
      this.queue.classStarts.isServedBetter(priority, nowMs)
    ) {
      return 'less-urgent';
    }
    const maxWaitMs = maxWaitInTargetMs * congestedWaitShare;
    return isCongested && this.#isOverShare(priorityState, query, maxWaitMs, nowMs)
      ? 'over-share'
      : undefined;
  }

  /**
   * True where one more request of a customer would wait for too long: longer than it takes to serve what the
   * customer has waiting, at its share of the throughput or, where it was served less than others recently, sooner.
   */
  #isOverShare(
    priorityState: PriorityState,
    {customerId, priority}: PlaceAsk,
    maxWaitMs: number,
    nowMs: number,
  ): boolean {
    const {queue} = this;
    const ownWaiting = queue.waitingOf(customerId, priority);
    if (ownWaiting === 0) {
      return false;
    }
    const shareStartsPerMs =
      this.#startsPerMs(priorityState, nowMs) * this.#customerShare(customerId, priority);
    const fullStartsPerMs = queue.fullStartsPerMs(customerId, priority, nowMs);
    const behindBy =
      (fullStartsPerMs - queue.shares.startsPerMs(customerId, nowMs)) * queue.shares.windowMs;
    const startsInTime = Math.max(
      shareStartsPerMs * maxWaitMs,
      fullStartsPerMs * maxWaitMs + Math.max(0, behindBy),
    );
    return ownWaiting + 1 > startsInTime;
  }

  /**
   * True where a request that waits longer than others is still served in time: its customer was served less than
   * others, and few such requests wait.
   */
  #isServedSoon(key: string, priorityState: PriorityState, nowMs: number): boolean {
    const query = this.queue.get(key)?.query;
    const {exempt, maxWaitInTargetMs} = priorityState;
    const aheadMs = (exempt.size + 1) / this.#startsPerMs(priorityState, nowMs);
    const isMostUrgent = [...this.#stateByPriority.keys()].every(
      (priority) => priority >= priorityState.priority,
    );
    const maxAheadShare = isMostUrgent ? exemptWaitShare : lessUrgentExemptWaitShare;
    if (
      query === undefined ||
      this.#isMoreUrgentCongested(query.priority, nowMs) ||
      aheadMs > maxWaitInTargetMs * maxAheadShare
    ) {
      return false;
    }
    const queueMs = priorityState.waiting / this.#startsPerMs(priorityState, nowMs);
    if (isMostUrgent && queueMs <= maxWaitInTargetMs * shortQueueShare) {
      return true;
    }
    const {customerId, priority} = query;
    const {shares} = this.queue;
    const fullStarts = this.queue.fullStartsPerMs(customerId, priority, nowMs) * shares.windowMs;
    return shares.startsPerMs(customerId, nowMs) * shares.windowMs + 1 <= fullStarts;
  }

  /** Keeps a request although it waited for longer than requests of customers that were served more may. */
  #exempt(key: string, {exempt, exemptDeadlines}: PriorityState): void {
    const targetWaitEndsAtMs = this.queue.get(key)?.targetWaitEndsAtMs;
    if (targetWaitEndsAtMs !== undefined) {
      exempt.add(key);
      exemptDeadlines.set(key, targetWaitEndsAtMs);
    }
  }

  /** Share of the starts of its class that a customer may use beside those that wait, by weight, 0 to 1. */
  #customerShare(customerId: string, priority: number): number {
    const weight = this.queue.shares.weightOf(customerId);
    const ownWeight = this.queue.waitingOf(customerId, priority) > 0 ? weight : 0;
    return weight / (weight + this.queue.waitingWeight(priority) - ownWeight);
  }

  #isMoreUrgentCongested(priority: number, nowMs: number): boolean {
    for (const other of this.#stateByPriority.values()) {
      if (other.priority < priority && other.isCongested) {
        // No request of that class may have come since its burst was over.
        this.#updateCongestion(other, nowMs);
        if (other.isCongested) {
          return true;
        }
      }
    }
    return false;
  }

  #updateCongestion(priorityState: PriorityState, nowMs: number): void {
    const {priority, waiting, maxWaitInTargetMs, earlyDeadlines, exempt} = priorityState;
    const waitShare = this.#expectedWaitMs(priorityState, nowMs) / maxWaitInTargetMs;
    const isMoreUrgent = this.#isMoreUrgentCongested(priority, nowMs);
    if (waiting === 0 && nowMs - priorityState.lastRefusalMs > congestionClearMs) {
      priorityState.isCongested = false;
    } else if (!priorityState.isCongested && (waitShare > congestionThreshold || isMoreUrgent)) {
      priorityState.isCongested = true;
      for (let key = earlyDeadlines.takeDue(nowMs); key !== undefined;) {
        this.#exempt(key, priorityState);
        key = earlyDeadlines.takeDue(nowMs);
      }
    }
    this.queue.setHolding(priority, priorityState.isCongested);
    this.queue.setNewestFirst(priority, priorityState.isCongested && exempt.size === 0);
  }

  #figures(
    priorityState: PriorityState,
    {customerId, priority}: PlaceAsk,
    reason: AdmissionReason,
    nowMs: number,
  ): AdmissionFigures {
    const ownWaiting = this.queue.waitingOf(customerId, priority);
    const customerShare = this.#customerShare(customerId, priority);
    const startsPerMs = this.#startsPerMs(priorityState, nowMs);
    const expectedWaitMs = Math.min(
      this.#expectedWaitMs(priorityState, nowMs),
      (ownWaiting + 1) / (startsPerMs * customerShare),
    );
    return {reason, expectedWaitMs, customerShare};
  }

  /** Moment at which capacity is expected, spread so that callers do not return together, in ms from now. */
  #retryAfterMs({expectedWaitMs}: AdmissionFigures, {requestName}: PlaceAsk): number {
    const waitMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, expectedWaitMs));
    return waitMs * (1 + retrySpread * fractionOf(requestName));
  }

  /** Time in which one more request of a priority class would be served, in ms. */
  #expectedWaitMs(priorityState: PriorityState, nowMs: number): number {
    return (priorityState.waiting + 1) / this.#startsPerMs(priorityState, nowMs);
  }

  #startsPerMs({throughput, expectedStartsPerMs}: PriorityState, nowMs: number): number {
    return throughput.startsPerMs(expectedStartsPerMs, nowMs);
  }

  #stateOf(priority: number): PriorityState {
    let priorityState = this.#stateByPriority.get(priority);
    if (priorityState === undefined) {
      priorityState = {
        priority,
        throughput: new QueueThroughput(),
        earlyDeadlines: new DueMoments(),
        expiries: new DueMoments(),
        exempt: new Set(),
        exemptDeadlines: new DueMoments(),
        waiting: 0,
        isCongested: false,
        lastRefusalMs: Number.NEGATIVE_INFINITY,
        maxWaitInTargetMs: 1,
        expectedStartsPerMs: 1,
      };
      this.#stateByPriority.set(priority, priorityState);
    }
    return priorityState;
  }
}
