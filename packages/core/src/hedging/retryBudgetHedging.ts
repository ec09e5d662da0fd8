import {earliestHedgeMs, lateQuantile} from './hedgeQuantile.ts';
import type {
  BackendLoad,
  DurationsByRoute,
  HedgeableAttempt,
  HedgeDecision,
  HedgeQuery,
  HedgingPolicy,
} from './hedgingPolicy.ts';

/** An attempt that runs longer than this share of the responses take is joined by a hedged attempt. */
const hedgeQuantile = 0.92;
/** Latest start of a hedged attempt, as a share of the route's target latency. */
const latestHedgeShare = 0.45;

/**
 * Charges hedged attempts to the retry budget alone, for backends whose document sets no limits on hedging.
 *
 * Load pattern: a third of the servers fall silent in turn, and retryable requests must still be answered
 * within their target latency.
 */
export class RetryBudgetHedging implements HedgingPolicy {
  readonly mayWait = true;
  readonly #durations: DurationsByRoute;

  constructor(durations: DurationsByRoute) {
    this.#durations = durations;
  }

  delayMs({routeId, risk}: HedgeableAttempt): number {
    const quantileMs = this.#durations.quantileMs(routeId, lateQuantile(risk, hedgeQuantile));
    const targetMs = this.#durations.targetMs(routeId);
    const medianMs = this.#durations.quantileMs(routeId, 0.5);
    const latestMs = Math.max(targetMs * latestHedgeShare, medianMs);
    return Math.min(Math.max(quantileMs, earliestHedgeMs(targetMs)), latestMs);
  }

  decide(_query: HedgeQuery, {retryUsedShare}: BackendLoad): HedgeDecision {
    return retryUsedShare < 1 ? 'allowed' : 'retry-budget';
  }
}
