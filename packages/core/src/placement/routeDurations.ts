import type {FleetDocument} from '@godwitspring/document';
import type {DurationsByRoute} from '../hedging/hedgingPolicy.ts';
import {DurationHistogram} from './durationHistogram.ts';

/** Mean duration assumed before the first responses arrive, in ms. */
const initialMeanMs = 250;
/** Target latency assumed for an unknown route, in ms. */
const fallbackTargetMs = 1_000;
/** Timeout assumed for a route that no longer exists, in ms. */
const fallbackTimeoutMs = 5_000;
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
 * Tracks how long attempts take on each route of a backend, and derives how long requests may wait.
 */
export class RouteDurations implements DurationsByRoute {
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

  /** Duration that the given share of the attempts on the route does not exceed, in ms. */
  quantileMs(routeId: string, share: number): number {
    return this.#histogram(routeId).quantileMs(share);
  }

  /** Target latency of the route, or its timeout where it names none, in ms. */
  targetMs(routeId: string): number {
    return this.#targetByRoute.get(routeId) ?? fallbackTargetMs;
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
