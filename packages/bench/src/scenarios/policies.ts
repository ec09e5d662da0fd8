import type {HostCoreOptions} from '@godwitspring/core';
import {CircuitBreaker} from '../baselines/circuitBreaker.ts';
import {ConsecutiveFailures} from '../baselines/consecutiveFailures.ts';
import {FixedSplitAllowance} from '../baselines/fixedSplitAllowance.ts';
import {RoundRobin} from '../baselines/roundRobin.ts';

/** A way to decide, by name; `fleet` is what the product does. */
export interface Policy {
  readonly name: string;
  readonly core: () => Partial<HostCoreOptions>;
}

const manyRetries = {retriesPerRequest: 3, maxSavedRetries: 1_000_000, firstRetries: 1_000_000};

export const fleetPolicy: Policy = {name: 'fleet', core: () => ({})};

export const fixedSplitPolicy: Policy = {
  name: 'fixed split',
  core: () => ({allowanceTasks: [new FixedSplitAllowance()]}),
};

/** Baselines of server choice, ejection and retries; the customers' rates stay the product's. */
export const serverPolicies: readonly Policy[] = [
  fleetPolicy,
  {name: 'fleet without slots', core: () => ({hasFleetSlots: false})},
  {
    name: 'round robin, no ejection',
    core: () => ({hasFleetSlots: false, choice: new RoundRobin(), healthTasks: []}),
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
        retryBudgets: {failure: manyRetries, shed: manyRetries, unreachable: manyRetries},
      },
    }),
  },
];
