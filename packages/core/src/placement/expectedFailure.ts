/** Failure probability of an attempt of which nothing is known yet, 0 to 1. */
const priorFailure = 0.05;
/** Share of slower responses from which an attempt counts as usual. */
const usualAboveShare = 0.3;

/**
 * Probability that a running attempt fails, by the share of the responses on its route that take longer than it has run
 * so far; 0 for an attempt that does not run unusually long.
 */
export function expectedFailure(slowerShare: number): number {
  return slowerShare >= usualAboveShare
    ? 0
    : priorFailure / (priorFailure + (1 - priorFailure) * slowerShare);
}
