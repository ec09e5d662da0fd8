import type {FleetDocument} from '@godwitspring/document';
import {WorkTimes} from './workTimes.ts';

/** Mean work time assumed before answers came, in ms. */
const firstGuessMs = 250;
/** An attempt later than this share of the answers is joined by a second one. */
const secondAfterShare = 0.92;
/** The same for an attempt on a server that is not proven. */
const secondAfterShareOnTrial = 0.8;
/** Latest moment of a second attempt, as a share of the time in which the answer serves fully. */
const latestSecondShare = 0.45;
/** Earliest moment of a second attempt, as a share of that time: a pause of a host or link is no silence. */
const earliestSecondShare = 0.15;
/** Target assumed for a route that names none, in ms. */
const fallbackTargetMs = 1_000;
/** Timeout assumed for a route that is not known any more, in ms. */
const fallbackTimeoutMs = 5_000;
/** Risk from which an attempt counts as a trial. */
const trialRisk = 0.05;
/** A free slot is a few ms away on average; so long waits any request for one, in ms. */
const shortestWaitMs = 50;
/**
 * Answers that took less than this share of the backend's mean work time prove nothing: a server that fails
 * its real work still answers what needs none, such as its probes.
 */
const trivialShare = 1 / 6;
/** An attempt is late where less than this share of the answers takes longer. */
const lateBelowShare = 0.05;
/** Work is not begun where less than this share of the answers would come in time. */
const usefulShare = 0.75;

/** How long the work of a backend takes on each route, and what follows from that for waits and repeats. */
export class RouteTimes {
  readonly #workTimes = new Map<string, WorkTimes>();
  readonly #allWorkTimes = new WorkTimes(firstGuessMs);
  #targetByRoute = new Map<string, number>();
  #timeoutByRoute = new Map<string, number>();

  setDocument({routes}: FleetDocument): void {
    this.#targetByRoute = new Map(
      routes.map(({id, targetLatencyMs, timeoutMs}) => [id, targetLatencyMs ?? timeoutMs]),
    );
    this.#timeoutByRoute = new Map(routes.map(({id, timeoutMs}) => [id, timeoutMs]));
  }

  /** Takes the length of an attempt that ended well. */
  note(routeId: string, ranForMs: number): void {
    this.#times(routeId).note(ranForMs);
    this.#allWorkTimes.note(ranForMs);
  }

  /** Share of the answers on a route that take longer than an age, above 0. */
  readonly shareAbove = (routeId: string, ageMs: number): number =>
    this.#times(routeId).shareAbove(ageMs);

  /** True where nearly all answers come sooner. */
  isLate(routeId: string, ageMs: number): boolean {
    return this.shareAbove(routeId, ageMs) < lateBelowShare;
  }

  /** Median work time of a route, in ms. */
  typicalMs(routeId: string): number {
    return this.#times(routeId).quantileMs(0.5);
  }

  /** True for a work time that tells nothing of the server, in ms. */
  isTrivial(workMs: number): boolean {
    return workMs < this.#allWorkTimes.meanMs * trivialShare;
  }

  /** Longest time that an attempt on a route may run, in ms. */
  timeoutMs(routeId: string): number {
    return this.#timeoutByRoute.get(routeId) ?? fallbackTimeoutMs;
  }

  /** Time after which an attempt on a server of some risk is joined by a second one, in ms. */
  secondAfterMs(routeId: string, risk: number): number {
    const times = this.#times(routeId);
    const share = risk > trialRisk ? secondAfterShareOnTrial : secondAfterShare;
    const targetMs = this.#targetByRoute.get(routeId) ?? fallbackTargetMs;
    const latestMs = Math.max(targetMs * latestSecondShare, times.quantileMs(0.5));
    const earliestMs = targetMs * earliestSecondShare;
    return Math.min(Math.max(times.quantileMs(share), earliestMs), latestMs);
  }

  /** Time for which a request may wait so that its answer usually comes within the target, in ms. */
  inTargetForMs(routeId: string, leftMs: number): number {
    const targetMs = this.#targetByRoute.get(routeId) ?? leftMs;
    return Math.max(shortestWaitMs, Math.min(leftMs, targetMs) - this.typicalMs(routeId));
  }

  /** Time for which a request may wait so that its answer usually comes before its caller leaves, in ms. */
  usefulForMs(routeId: string, leftMs: number): number {
    return leftMs - this.#times(routeId).quantileMs(usefulShare);
  }

  #times(routeId: string): WorkTimes {
    let times = this.#workTimes.get(routeId);
    if (times === undefined) {
      times = new WorkTimes(firstGuessMs);
      this.#workTimes.set(routeId, times);
    }
    return times;
  }
}
