import type {FleetDocument} from '@godwitspring/document';
import {DurationHistogram} from './durationHistogram.ts';

/** Mean duration assumed before the first responses arrive, in ms. */
const initialMeanMs = 250;
/** An attempt that runs longer than this share of the responses take is joined by a hedged attempt. */
const hedgeQuantile = 0.92;
/**
 * Quantile of the durations after which a trial attempt, on a server that did not succeed recently, is joined
 * by a hedged attempt.
 */
const trialHedgeQuantile = 0.8;
/** Latest start of a hedged attempt, as a share of the route's target latency. */
const latestHedgeShare = 0.45;
/**
 * Earliest start of a hedged attempt, as a share of the route's target latency: a short pause of a host or
 * link does not mean that the server is silent.
 */
const earliestHedgeShare = 0.15;
/** Target latency assumed for an unknown route, in ms. */
const fallbackTargetMs = 1_000;
/** Timeout assumed for a route that no longer exists, in ms. */
const fallbackTimeoutMs = 5_000;
/** Risk above which an attempt counts as a trial attempt. */
const trialRisk = 0.05;
/** Wait that every request may spend on a free slot, in ms; on average a slot frees up within a few ms. */
const minWaitMs = 50;
/**
 * Responses that took less than this share of the backend's mean duration do not count as successes: a server
 * that fails real requests may still answer trivial ones, such as its health probes.
 */
const trivialShare = 1 / 6;
/** An attempt is late where less than this share of the responses takes longer. */
const lateBelowShare = 0.05;
/** A request is not started where less than this share of the responses would arrive in time. */
const inTimeQuantile = 0.75;

/**
 * Tracks how long attempts take on each route of a backend, and derives how long requests may wait and when
 * to send hedged attempts.
 */
export class RouteDurations {
  readonly #histograms = new Map<string, DurationHistogram>();
  readonly #allRoutes = new DurationHistogram(initialMeanMs);
  /** Target latency of each route, or its timeout where it names none, in ms. */
  #targetByRoute = new Map<string, number>();
  #timeoutByRoute = new Map<string, number>();

  /** Reads the target latencies and timeouts of the routes. */
  setDocument({routes}: FleetDocument): void {
    this.#targetByRoute = new Map(
      routes.map(({id, targetLatencyMs, timeoutMs}) => [id, targetLatencyMs ?? timeoutMs]),
    );
    this.#timeoutByRoute = new Map(routes.map(({id, timeoutMs}) => [id, timeoutMs]));
  }

  /** Records the duration of a successful attempt. */
  record(routeId: string, ranForMs: number): void {
    this.#histogram(routeId).record(ranForMs);
    this.#allRoutes.record(ranForMs);
  }

  /** Share of the responses on a route that take longer than a given time, above 0. */
  readonly shareAbove = (routeId: string, ageMs: number): number =>
    this.#histogram(routeId).shareAbove(ageMs);

  /** True where nearly all responses on the route arrive sooner. */
  isLate(routeId: string, ageMs: number): boolean {
    return this.shareAbove(routeId, ageMs) < lateBelowShare;
  }

  /** Median duration of an attempt on the route, in ms. */
  medianMs(routeId: string): number {
    return this.#histogram(routeId).quantileMs(0.5);
  }

  /** True for durations too short to show that a server can process real requests. */
  isTrivial(durationMs: number): boolean {
    return durationMs < this.#allRoutes.meanMs * trivialShare;
  }

  /** Longest time that an attempt on a route may run, in ms. */
  timeoutMs(routeId: string): number {
    return this.#timeoutByRoute.get(routeId) ?? fallbackTimeoutMs;
  }

  /** Time after which an attempt on a server of the given risk is joined by a hedged attempt, in ms. */
  secondAfterMs(routeId: string, risk: number): number {
    const histogram = this.#histogram(routeId);
    const share = risk > trialRisk ? trialHedgeQuantile : hedgeQuantile;
    const targetMs = this.#targetByRoute.get(routeId) ?? fallbackTargetMs;
    const latestMs = Math.max(targetMs * latestHedgeShare, histogram.quantileMs(0.5));
    const earliestMs = targetMs * earliestHedgeShare;
    return Math.min(Math.max(histogram.quantileMs(share), earliestMs), latestMs);
  }

  /** Longest wait after which the response still typically arrives within the target latency, in ms. */
  maxWaitInTargetMs(routeId: string, leftMs: number): number {
    const targetMs = this.#targetByRoute.get(routeId) ?? leftMs;
    return Math.max(minWaitMs, Math.min(leftMs, targetMs) - this.medianMs(routeId));
  }

  /** Longest wait after which the response still typically arrives before the caller's deadline, in ms. */
  maxWaitBeforeDeadlineMs(routeId: string, leftMs: number): number {
    return leftMs - this.#histogram(routeId).quantileMs(inTimeQuantile);
  }

  #histogram(routeId: string): DurationHistogram {
    let histogram = this.#histograms.get(routeId);
    if (histogram === undefined) {
      histogram = new DurationHistogram(initialMeanMs);
      this.#histograms.set(routeId, histogram);
    }
    return histogram;
  }
}
