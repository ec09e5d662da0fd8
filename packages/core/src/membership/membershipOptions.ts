import type {AllowanceClass} from '../messages/peerMessages.ts';

/** Bounds on time that the safety of all fleet-wide allowances rests on. */
export interface LeaseBounds {
  /** Longest time a host acts on a view that nobody confirmed, in ms. Default: 4,000. */
  readonly freshnessMs: number;
  /** Length of a loan of shares in customers' rates, in ms. Default: 2,000. */
  readonly rateLeaseMs: number;
  /** Length of a loan of shares in the permission to eject, in ms. Default: 4,000. */
  readonly ejectionLeaseMs: number;
  /** Allowance for reading clocks and for timers that fire late, in ms. Default: 250. */
  readonly slackMs: number;
  /** Largest relative difference between the rates of two hosts' clocks. Default: 0.0005, the most by which
   *  time synchronisation slews a clock. */
  readonly clockDrift: number;
}

export const DEFAULT_LEASE_BOUNDS: LeaseBounds = {
  freshnessMs: 4_000,
  rateLeaseMs: 2_000,
  ejectionLeaseMs: 4_000,
  slackMs: 250,
  clockDrift: 0.0005,
};

/** Length of a loan of one class, counted by the borrower from its ask, in ms. */
export function loanLeaseMs(bounds: LeaseBounds, allowanceClass: AllowanceClass): number {
  return allowanceClass === 'rates' ? bounds.rateLeaseMs : bounds.ejectionLeaseMs;
}

/** Time after which every host that was dropped has surely stopped and its loans have ended, in ms. */
export function retirementMs(bounds: LeaseBounds): number {
  const {freshnessMs, rateLeaseMs, ejectionLeaseMs, slackMs, clockDrift} = bounds;
  return (freshnessMs + Math.max(rateLeaseMs, ejectionLeaseMs) + slackMs) * (1 + 2 * clockDrift);
}

/** Time for which a lender leaves a share unused, counted from its answer, in ms. */
export function lenderLeaseMs(bounds: LeaseBounds, allowanceClass: AllowanceClass): number {
  return (loanLeaseMs(bounds, allowanceClass) + bounds.slackMs) * (1 + 2 * bounds.clockDrift);
}
