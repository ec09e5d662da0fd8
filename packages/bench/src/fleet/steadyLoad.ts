import {SeededRandom} from '@godwitspring/core';
import type {MemoryFleet} from './memoryFleet.ts';

export interface SteadyLoadOptions {
  readonly customerId: string;
  readonly perSecond: number;
  readonly forMs: number;
  readonly seed: number;
  readonly path: string;
  readonly method: string;
  /** Hosts that get the requests; all that are up by default. */
  readonly hostIds: readonly string[] | undefined;
  /** True for random gaps, false for even ones. */
  readonly isPoisson: boolean;
}

export const DEFAULT_STEADY_LOAD_OPTIONS = {
  seed: 1,
  path: '/consultas/1',
  method: 'GET',
  hostIds: undefined,
  isPoisson: true,
} as const;

const steps = 1_000_000;

/** Sends one customer's requests at a rate through random hosts; gives the moments of arrival as they come. */
export function steadyLoad(
  fleet: MemoryFleet,
  options: Partial<SteadyLoadOptions> &
    Pick<SteadyLoadOptions, 'customerId' | 'perSecond' | 'forMs'>,
): number[] {
  const {customerId, perSecond, forMs, seed, path, method, hostIds, isPoisson} = {
    ...DEFAULT_STEADY_LOAD_OPTIONS,
    ...options,
  };
  const random = new SeededRandom(seed);
  const arrivals: number[] = [];
  const endsAtMs = fleet.queue.nowMs + forMs;
  const gapMs = (): number => {
    const uniform = (random.below(steps) + 1) / steps;
    return (isPoisson ? -Math.log(uniform) : 1) * (1_000 / perSecond);
  };
  const next = (): void => {
    if (fleet.queue.nowMs > endsAtMs) {
      return;
    }
    const up = hostIds ?? [...fleet.hosts.values()].filter(({isUp}) => isUp).map(({id}) => id);
    arrivals.push(fleet.queue.nowMs);
    fleet.request(up[random.below(up.length)] ?? '', customerId, {path, method});
    fleet.after(gapMs(), next);
  };
  fleet.after(gapMs(), next);
  return arrivals;
}
