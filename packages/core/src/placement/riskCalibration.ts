import {RecentFigure} from './recentFigure.ts';

/** Time for which the correction is used again, in ms. */
const validityMs = 50;
/** Ended attempts, with their weights, below which the failed share says too little. */
const minEnded = 8;
/** Least failed share that is assumed, 0 to 1. */
const minFailedShare = 0.05;
/** Risk of the best server above which the estimates are compared with what happened, 0 to 1. */
const checkedAboveRisk = 0.5;

/** What a calibration compares. */
export interface RiskCalibrationOptions {
  /** Lowest estimate of any server in service, as log-odds, before the correction; positive infinity for none. */
  readonly bestLogOdds: (nowMs: number) => number;
  /** Share of the recent attempts that failed, 0 to 1, and the number of those that ended, with their weights. */
  readonly outcomes: (nowMs: number) => {readonly failedShare: number; readonly ended: number};
}

function logit(probability: number): number {
  return Math.log(probability / (1 - probability));
}

/**
 * Corrects the estimated risks of all servers where they contradict the outcomes of the backend as a whole: the best
 * server does not fail more often than all of them together.
 *
 * Load pattern: every server fails a part of its requests, for a cause that they share. Each failure counts as evidence
 * against its server, so that soon every server looks unusable and all requests are refused, although most of those that are
 * sent succeed. The order of the servers by risk stays as it is.
 */
export class RiskCalibration {
  readonly #correction: RecentFigure<number>;

  constructor({bestLogOdds, outcomes}: RiskCalibrationOptions) {
    this.#correction = new RecentFigure(validityMs, (nowMs) => {
      const best = bestLogOdds(nowMs);
      const {failedShare, ended} = outcomes(nowMs);
      if (
        ended < minEnded ||
        best <= logit(checkedAboveRisk) ||
        best === Number.POSITIVE_INFINITY
      ) {
        return 0;
      }
      const allowed = logit(Math.min(1 - minFailedShare, Math.max(minFailedShare, failedShare)));
      return Math.max(0, best - allowed);
    });
  }

  /** An attempt failed, so that an estimate rose. */
  recordFailure(): void {
    this.#correction.invalidate();
  }

  /** Log-odds by which the estimates of all servers are too high. */
  correction(nowMs: number): number {
    return this.#correction.at(nowMs);
  }
}
