import type {HedgingSettings} from '@godwitspring/document';
import type {HedgeBudget} from './hedgeBudget.ts';
import {earliestHedgeMs, lateQuantile} from './hedgeQuantile.ts';
import type {
  BackendLoad,
  DurationsByRoute,
  HedgeableAttempt,
  HedgeDecision,
  HedgeQuery,
  HedgingPolicy,
} from './hedgingPolicy.ts';
import type {ServerPaces} from './serverPaces.ts';

/**
 * Share of the responses that an attempt must outlast before it is joined by a hedged one, as in Dean and
 * Barroso, "The Tail at Scale" (CACM 2013).
 */
const hedgeQuantile = 0.95;
/** Used share of the retry budget above which no hedged attempts are sent: the rest is left to failed requests. */
const maxRetryUse = 0.6;
/** Free slots needed, as a share of the usable ones. */
const minFreeShare = 0.1;

/** What the policy bases its decisions on. */
export interface BudgetedHedgingOptions {
  readonly settings: HedgingSettings;
  readonly budget: HedgeBudget;
  readonly durations: DurationsByRoute;
  readonly paces: ServerPaces;
}

/**
 * Limits hedged attempts to a share of the first attempts and of the servers' busy time, and sends none while
 * the servers are nearly full.
 *
 * Load pattern: a few percent of the requests take many times as long as the others, or some servers turn slow,
 * while the rest of the servers has free slots.
 */
export class BudgetedHedging implements HedgingPolicy {
  /** A hedged attempt that waited would take a slot at a time at which the decision may no longer hold. */
  readonly mayWait = false;
  readonly #options: BudgetedHedgingOptions;

  constructor(options: BudgetedHedgingOptions) {
    this.#options = options;
  }

  /**
   * The server's own typical duration is a lower bound: otherwise every request on a slow server would be sent
   * twice. Never, where the rest of the deadline would be too short for a typical response.
   */
  delayMs({routeId, serverId, risk, leftMs}: HedgeableAttempt): number | undefined {
    const {durations, paces} = this.#options;
    const medianMs = durations.quantileMs(routeId, 0.5);
    const targetMs = durations.targetMs(routeId);
    const quantileMs = durations.quantileMs(routeId, lateQuantile(risk, hedgeQuantile));
    const latestMs = Math.max(targetMs - medianMs, medianMs);
    const byRouteMs = Math.min(Math.max(quantileMs, earliestHedgeMs(targetMs)), latestMs);
    const delayMs = Math.max(byRouteMs, medianMs * paces.ratio(serverId));
    return leftMs - delayMs < medianMs ? undefined : delayMs;
  }

  decide(
    {routeId, leftMs, requestKey}: HedgeQuery,
    {retryUsedShare, waiting, countSlots}: BackendLoad,
    nowMs: number,
  ): HedgeDecision {
    const {settings, budget, durations} = this.#options;
    const typicalMs = durations.quantileMs(routeId, 0.5);
    if (leftMs < typicalMs) {
      return 'deadline';
    }
    if (waiting > 0) {
      return 'queued';
    }
    if (retryUsedShare > maxRetryUse) {
      return 'retry-budget';
    }
    if (!budget.hasRoom(settings, requestKey, typicalMs, nowMs)) {
      return 'budget';
    }
    const {free, usable} = countSlots();
    return free < usable * minFreeShare ? 'busy' : 'allowed';
  }
}
