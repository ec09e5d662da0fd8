import type {FleetDocument} from '@godwitspring/document';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import type {PlaceAsk} from '../messages/peerMessages.ts';
import {BudgetedHedging} from './budgetedHedging.ts';
import {DisabledHedging} from './disabledHedging.ts';
import {HedgeBudget} from './hedgeBudget.ts';
import type {HedgeUsage} from './hedgeBudget.ts';
import type {
  BackendLoad,
  DurationsByRoute,
  HedgeableAttempt,
  HedgeDecision,
  HedgingPolicy,
} from './hedgingPolicy.ts';
import {RetryBudgetHedging} from './retryBudgetHedging.ts';
import {ServerPaces} from './serverPaces.ts';

/** How an attempt ended. */
export interface EndedAttempt {
  readonly routeId: string;
  readonly serverId: string;
  readonly outcome: AttemptOutcome;
  readonly ranForMs: number;
}

/**
 * Hedging of one backend at its home: chooses the policy by the document, and keeps the counts, which outlast a
 * change of the document.
 */
export class BackendHedging {
  readonly #backendId: string;
  readonly #durations: DurationsByRoute;
  readonly #budget = new HedgeBudget();
  readonly #paces = new ServerPaces();
  readonly #disabled = new DisabledHedging();
  #policy: HedgingPolicy;
  /** Routes whose requests are not hedged. */
  #offRouteIds: ReadonlySet<string> = new Set();

  constructor(backendId: string, durations: DurationsByRoute) {
    this.#backendId = backendId;
    this.#durations = durations;
    this.#policy = new RetryBudgetHedging(durations);
  }

  /** Applies a new version of the configuration document. */
  setDocument({backends, routes}: FleetDocument): void {
    const settings = backends.find(({id}) => id === this.#backendId)?.hedging;
    this.#offRouteIds = new Set(routes.filter(({hedging}) => hedging === 'off').map(({id}) => id));
    if (settings === undefined) {
      this.#policy = new RetryBudgetHedging(this.#durations);
    } else if (settings.enabled) {
      this.#policy = new BudgetedHedging({
        settings,
        budget: this.#budget,
        durations: this.#durations,
        paces: this.#paces,
      });
    } else {
      this.#policy = this.#disabled;
    }
  }

  /** Counts of the attempts that started, and busy times of those that ended, in the window. */
  usage(nowMs: number): HedgeUsage {
    return this.#budget.usage(nowMs);
  }

  /** Time after which an attempt is joined by a hedged one, in ms; undefined for never. */
  delayMs(attempt: HedgeableAttempt): number | undefined {
    return this.#policyOf(attempt.routeId).delayMs(attempt);
  }

  /** True where a hedged attempt on the route may wait for a server in the queue. */
  mayWait(routeId: string): boolean {
    return this.#policyOf(routeId).mayWait;
  }

  /** Decides on a query for a hedged attempt. */
  decide(query: PlaceAsk, hostId: string, load: BackendLoad, nowMs: number): HedgeDecision {
    const {routeId, leftMs} = query;
    const requestKey = this.#requestKey(query, hostId);
    return this.#policyOf(routeId).decide({routeId, leftMs, requestKey}, load, nowMs);
  }

  /** Records an attempt that starts. */
  recordStart(key: string, query: PlaceAsk, hostId: string, nowMs: number): void {
    const {isHedge = false, isRepeat} = query;
    const requestKey = this.#requestKey(query, hostId);
    this.#budget.recordStart(key, {isHedge, isRepeat, requestKey}, nowMs);
  }

  /** Takes back an attempt that was granted a server but never ran. */
  cancelStart(key: string): void {
    this.#budget.cancelStart(key);
  }

  /** Records the end of an attempt. */
  recordEnd(
    key: string,
    {routeId, serverId, outcome, ranForMs}: EndedAttempt,
    nowMs: number,
  ): void {
    const isCancelled = outcome === 'cancelled';
    this.#budget.recordEnd(key, isCancelled, ranForMs, nowMs);
    const ratio = ranForMs / this.#durations.quantileMs(routeId, 0.5);
    // A cancelled attempt would have run at least as long. Without it a slow server, most of whose attempts are
    // cancelled, would look as fast as the others.
    if (outcome === 'ok' || (isCancelled && ratio > this.#paces.ratio(serverId))) {
      this.#paces.record(serverId, ratio, nowMs);
    }
  }

  /** Records that an attempt is dropped whose end was never reported. */
  recordLost(key: string, nowMs: number): void {
    this.#budget.recordLost(key, nowMs);
  }

  /** Key that the attempts of one request have in common. */
  #requestKey({requestName, requestDigest}: PlaceAsk, hostId: string): string {
    return `${hostId}/${requestName}/${requestDigest}`;
  }

  #policyOf(routeId: string): HedgingPolicy {
    return this.#offRouteIds.has(routeId) ? this.#disabled : this.#policy;
  }
}
