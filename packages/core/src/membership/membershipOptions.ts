/** Bounds on time that the safety of all fleet-wide allowances rests on. */
export interface LeaseBounds {
  /** Longest time a host acts on a view that nobody confirmed, in ms. Default: 4,000. */
  readonly freshnessMs: number;
  /** Length of a loan of shares, in ms. Default: 2,000. */
  readonly loanLeaseMs: number;
  /** Allowance for reading clocks and for timers that fire late, in ms. Default: 250. */
  readonly slackMs: number;
  /** Largest relative difference between the rates of two hosts' clocks. Default: 0.001. */
  readonly clockDrift: number;
}

export const DEFAULT_LEASE_BOUNDS: LeaseBounds = {
  freshnessMs: 4_000,
  loanLeaseMs: 2_000,
  slackMs: 250,
  clockDrift: 0.001,
};

/** Time after which every host that was dropped has surely stopped and its loans have ended, in ms. */
export function retirementMs({freshnessMs, loanLeaseMs, slackMs, clockDrift}: LeaseBounds): number {
  return (freshnessMs + loanLeaseMs + slackMs) * (1 + 2 * clockDrift);
}

/** Time for which a lender leaves a share unused, counted from its answer, in ms. */
export function lenderLeaseMs({loanLeaseMs, slackMs, clockDrift}: LeaseBounds): number {
  return (loanLeaseMs + slackMs) * (1 + 2 * clockDrift);
}
