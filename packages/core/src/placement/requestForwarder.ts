import type {BackendHedging} from '../hedging/backendHedging.ts';
import type {PlaceAsk} from '../messages/peerMessages.ts';
import type {ElsewherePlacement, QueueDecision} from './placementDecision.ts';
import type {QueueAdmission} from './queueAdmission.ts';
import type {RecentOutcomes} from './recentOutcomes.ts';
import type {RetryTokenBucket} from './retryTokenBucket.ts';
import {isNoServerUsable} from './riskAcceptance.ts';
import type {RiskSurvey} from './riskSurvey.ts';
import type {RouteDurations} from './routeDurations.ts';
import type {ServerIndex} from './serverIndex.ts';
import {expectedWaitMs} from './siblingSummaries.ts';
import type {SiblingSummaries} from './siblingSummaries.ts';

/** State of a home on which forwarding depends. */
export interface RequestForwarderOptions {
  /** What the backend's homes in other data centres reported; undefined where the backend is not divided. */
  readonly siblings: SiblingSummaries | undefined;
  readonly durations: RouteDurations;
  readonly survey: RiskSurvey;
  readonly recentOutcomes: RecentOutcomes;
  readonly hedging: BackendHedging;
  readonly retries: RetryTokenBucket;
  readonly index: ServerIndex;
  readonly admission: QueueAdmission;
}

/**
 * Decides which requests a home forwards to the homes of its backend in other data centres.
 *
 * Load pattern: the load of each data centre swings, out of phase with the others, and servers of one data centre fail
 * while those of another have free slots.
 */
export class RequestForwarder {
  readonly #options: RequestForwarderOptions;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards waiting queries to the homes of other data centres that have free slots, as far as those reach. Called
   * when a summary arrives.
   */
  forwardWaiting(nowMs: number): QueueDecision[] {
    const {siblings} = this.#options;
    const decisions: QueueDecision[] = [];
    if (this.#options.admission.queue.size === 0 || siblings?.hasFreeSlots(nowMs) !== true) {
      return decisions;
    }
    let ahead = 0;
    for (const [key, {entryHost, query, arrivedAtMs}] of this.#options.admission.queue.inOrder(
      nowMs,
    )) {
      const durationMs = this.#options.durations.medianMs(query.routeId);
      const waitMs = (ahead + 1) / this.#options.survey.usableStartsPerMs(durationMs, nowMs);
      const decision = this.tryElsewhere(query, waitMs, nowMs);
      if (decision !== undefined) {
        this.#options.admission.remove(key, nowMs);
        decisions.push({key, entryHost, query, waitedMs: nowMs - arrivedAtMs, decision});
      }
      ahead += 1;
      if (!siblings.hasFreeSlots(nowMs)) {
        break;
      }
    }
    return decisions;
  }

  /**
   * Chooses the home of another data centre for a query that would wait here for the given time; undefined where it
   * stays here.
   */
  tryElsewhere(
    query: PlaceAsk,
    localWaitMs: number,
    nowMs: number,
  ): ElsewherePlacement | undefined {
    if (!this.#mayForward(query)) {
      return undefined;
    }
    const {priority, bodyBytes, routeId} = query;
    const durationMs = this.#options.durations.medianMs(routeId);
    const dataCentre = this.#options.siblings?.choose(
      {localWaitMs, priority, durationMs, bodyBytes},
      nowMs,
    );
    if (dataCentre === undefined) {
      return undefined;
    }
    const expectedLocalWaitMs = Number.isFinite(localWaitMs) ? localWaitMs : undefined;
    return this.#forward(query, {dataCentre, expectedWaitMs: expectedLocalWaitMs});
  }

  /**
   * Chooses the home of another data centre for a query that would run here on a server of the given risk, where
   * servers there are clearly likelier to succeed.
   */
  trySafer(query: PlaceAsk, risk: number, nowMs: number): ElsewherePlacement | undefined {
    if (!this.#mayForward(query)) {
      return undefined;
    }
    const terms = {
      risk,
      failedShare: this.#options.recentOutcomes.failed,
      bodyBytes: query.bodyBytes,
    };
    const dataCentre = this.#options.siblings?.chooseSafer(terms, nowMs);
    return dataCentre === undefined
      ? undefined
      : this.#forward(query, {dataCentre, expectedWaitMs: 0, risk});
  }

  /**
   * False for a query that was forwarded before, for a retry beyond the budget, and for a hedged attempt, whose limits
   * this home keeps.
   */
  #mayForward({isForwarded = false, isRepeat, isHedge = false, routeId}: PlaceAsk): boolean {
    return (
      !isForwarded &&
      (!isRepeat || this.#options.retries.hasRoom) &&
      (!isHedge || this.#options.hedging.mayWait(routeId))
    );
  }

  /** Forwards a query. Its retry is charged to this home, at which the request was counted. */
  #forward({isRepeat}: PlaceAsk, placement: Omit<ElsewherePlacement, 'state'>): ElsewherePlacement {
    if (isRepeat) {
      this.#options.retries.recordRetry();
    }
    return {state: 'elsewhere', ...placement};
  }

  /** Expected wait of a new query, in ms; infinite where it can use no server of this home. */
  localWaitMs({avoidedIds, priority, routeId}: PlaceAsk, nowMs: number): number {
    const isEveryServerAvoided = this.#options.index.isEveryServerAmong(avoidedIds);
    if (isEveryServerAvoided || isNoServerUsable(this.#options.survey.bestRisk(nowMs))) {
      return Number.POSITIVE_INFINITY;
    }
    const usableSlots = this.#options.survey.usableSlots(nowMs);
    const {waitingByPriority} = this.#options.admission;
    const durationMs = this.#options.durations.medianMs(routeId);
    return expectedWaitMs({usableSlots, waitingByPriority}, priority, durationMs);
  }
}
