/**
 * Why a hedged attempt is withheld.
 *
 * - `disabled`: the document turns hedging off for the backend or the route.
 * - `deadline`: less time is left than a typical response takes.
 * - `budget`: the share of hedged attempts, or of their busy time, is used up.
 * - `busy`: fewer free slots than a tenth of the usable ones, or no server is acceptable now.
 * - `queued`: requests wait for a server.
 * - `retry-budget`: too much of the retry budget is used.
 */
export type HedgeWithheldReason =
  'disabled' | 'deadline' | 'budget' | 'busy' | 'queued' | 'retry-budget';

/** Decision on one hedged attempt. */
export type HedgeDecision = 'allowed' | HedgeWithheldReason;

/** Slots of the servers that are likelier to succeed than to fail. */
export interface SlotCounts {
  readonly free: number;
  readonly usable: number;
}

/** Load of a backend on which the decision on a hedged attempt depends. */
export interface BackendLoad {
  /** Share of the retry budget that is used; 1 and above means that none is left. */
  readonly retryUsedShare: number;
  /** Requests that wait for a server. */
  readonly waiting: number;
  /** Counts the slots; called only where the decision depends on them. */
  readonly countSlots: () => SlotCounts;
}

/** A request for a hedged attempt. */
export interface HedgeQuery {
  readonly routeId: string;
  /** Time left until the deadline of the request, in ms. */
  readonly leftMs: number;
  /** Key that the attempts of one request have in common. */
  readonly requestKey: string;
}

/** An attempt that starts now and may be joined by a hedged one. */
export interface HedgeableAttempt {
  readonly routeId: string;
  readonly serverId: string;
  /** Estimated probability that the attempt fails, 0 to 1. */
  readonly risk: number;
  /** Time left until the deadline of the request, in ms. */
  readonly leftMs: number;
}

/** Durations of successful attempts by route. */
export interface DurationsByRoute {
  /** Duration that the given share of the attempts does not exceed, in ms. */
  quantileMs(routeId: string, share: number): number;
  /** Target latency of the route, in ms. */
  targetMs(routeId: string): number;
}

/** Decides at the home of a backend when a hedged attempt is sent, and whether. */
export interface HedgingPolicy {
  /** True where a hedged attempt may wait for a server in the queue. */
  readonly mayWait: boolean;
  /** Time after which an attempt without a response is joined by a hedged one, in ms; undefined for never. */
  delayMs(attempt: HedgeableAttempt): number | undefined;
  /** Decides whether a hedged attempt may start now. */
  decide(query: HedgeQuery, load: BackendLoad, nowMs: number): HedgeDecision;
}
