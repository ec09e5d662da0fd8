import type {HostCoreOptions} from '@godwitspring/core';
import {CircuitBreaker} from '../baselines/circuitBreaker.ts';
import {ConsecutiveFailures} from '../baselines/consecutiveFailures.ts';
import {FixedSplitAllowance} from '../baselines/fixedSplitAllowance.ts';
import {RoundRobin} from '../baselines/roundRobin.ts';

/** A named set of core options to compare; `fleet` has the defaults of the product. */
export interface Policy {
  readonly name: string;
  readonly core: () => Partial<HostCoreOptions>;
}

/** Retry budget that is never exhausted. */
const unlimitedRetries = {
  retriesPerRequest: 3,
  maxRetries: 1_000_000,
  initialRetries: 1_000_000,
};

/** The product with its defaults. */
export const fleetPolicy: Policy = {name: 'fleet', core: () => ({})};

/** Baseline for rate limits: each host gets a fixed share of each rate. */
export const fixedSplitPolicy: Policy = {
  name: 'fixed split',
  core: () => ({allowanceTasks: [new FixedSplitAllowance()]}),
};

/** The product and baselines for server selection, ejection and retries; all limit rates as the product does. */
export const serverPolicies: readonly Policy[] = [
  fleetPolicy,
  {name: 'fleet without slots', core: () => ({hasFleetSlots: false})},
  {
    name: 'round robin, no ejection',
    core: () => ({hasFleetSlots: false, loadBalancingPolicy: new RoundRobin(), healthTasks: []}),
  },
  {
    name: 'consecutive failures',
    core: () => ({hasFleetSlots: false, healthTasks: [new ConsecutiveFailures()]}),
  },
  {
    name: "paper's breaker",
    core: () => ({hasFleetSlots: false, healthTasks: [new CircuitBreaker()]}),
  },
  {
    name: 'three plain retries',
    core: () => ({
      hasFleetSlots: false,
      healthTasks: [],
      request: {
        maxAttempts: 4,
        retryBudgets: {
          failure: unlimitedRetries,
          shed: unlimitedRetries,
          unreachable: unlimitedRetries,
        },
      },
    }),
  },
];
