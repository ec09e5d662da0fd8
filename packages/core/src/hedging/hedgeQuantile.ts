/** Risk above which an attempt counts as a trial attempt. */
const trialRisk = 0.05;
/**
 * Quantile of the durations after which a trial attempt, on a server that did not succeed recently, is joined
 * by a hedged attempt.
 */
const trialHedgeQuantile = 0.8;
/**
 * Earliest start of a hedged attempt, as a share of the route's target latency: a short pause of a host or
 * link does not mean that the server is silent.
 */
const earliestHedgeShare = 0.15;

/** Quantile of the route's durations after which an attempt of the given risk is late. */
export function lateQuantile(risk: number, usualQuantile: number): number {
  return risk > trialRisk ? trialHedgeQuantile : usualQuantile;
}

/** Earliest start of a hedged attempt on a route with the given target latency, in ms. */
export function earliestHedgeMs(targetMs: number): number {
  return targetMs * earliestHedgeShare;
}
