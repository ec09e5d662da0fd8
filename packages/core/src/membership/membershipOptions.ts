import type {AllowanceClass} from '../messages/peerMessages.ts';

/**
 * Time bounds on which the safety of all fleet-wide allowances depends. A loan is a lease on a lender's share of
 * such an allowance.
 */
export interface LeaseBounds {
  /** Longest time for which a host acts on a view that nobody has confirmed since, in ms. Default: 4,000. */
  readonly freshnessMs: number;
  /** Lease time of a loan of shares in customers' rate limits, in ms. Default: 2,000. */
  readonly rateLeaseMs: number;
  /** Lease time of a loan of shares in the limit on ejections, in ms. Default: 4,000. */
  readonly ejectionLeaseMs: number;
  /** Tolerance for clock readings and for timers that fire late, in ms. Default: 250. */
  readonly slackMs: number;
  /**
   * Largest relative difference between the rates of two hosts' clocks. Default: 0.0005, the most by which
   * time synchronisation slews a clock.
   */
  readonly clockDrift: number;
}

/** Defaults of the time bounds. */
export const DEFAULT_LEASE_BOUNDS: LeaseBounds = {
  freshnessMs: 4_000,
  rateLeaseMs: 2_000,
  ejectionLeaseMs: 4_000,
  slackMs: 250,
  clockDrift: 0.0005,
};

/** Lease time of a loan of one class, counted by the borrower from the moment it sent its query, in ms. */
export function loanLeaseMs(bounds: LeaseBounds, allowanceClass: AllowanceClass): number {
  return allowanceClass === 'rates' ? bounds.rateLeaseMs : bounds.ejectionLeaseMs;
}

/** Time after which every host removed from the list has surely stopped and its loans have ended, in ms. */
export function listRetirementMs(bounds: LeaseBounds): number {
  const {freshnessMs, rateLeaseMs, ejectionLeaseMs, slackMs, clockDrift} = bounds;
  return (freshnessMs + Math.max(rateLeaseMs, ejectionLeaseMs) + slackMs) * (1 + 2 * clockDrift);
}

/** Time for which a lender does not use a share that it lent, counted from its reply, in ms. */
export function lenderLeaseMs(bounds: LeaseBounds, allowanceClass: AllowanceClass): number {
  return (loanLeaseMs(bounds, allowanceClass) + bounds.slackMs) * (1 + 2 * bounds.clockDrift);
}
