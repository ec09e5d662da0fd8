import {SeededRandom} from '@godwitspring/core';
import type {SimulatedFleet} from './simulatedFleet.ts';

/** Load of one customer at a constant mean rate. */
export interface SteadyLoadOptions {
  readonly customerId: string;
  readonly perSecond: number;
  readonly forMs: number;
  readonly seed: number;
  readonly path: string;
  readonly method: string;
  /** Hosts that receive the requests. Default: all that are up. */
  readonly hostIds: readonly string[] | undefined;
  /** True for a Poisson process, false for equal gaps. Default: true. */
  readonly isPoisson: boolean;
}

/** Defaults of the options that a caller may leave out. */
export const DEFAULT_STEADY_LOAD_OPTIONS = {
  seed: 1,
  path: '/consultas/1',
  method: 'GET',
  hostIds: undefined,
  isPoisson: true,
} as const;

/** Number of distinct values of a random fraction. */
const randomResolution = 1_000_000;

/**
 * Sends one customer's requests at a constant mean rate through random hosts. The returned array grows
 * during the run: it receives the time of each request.
 */
export function sendSteadyLoad(
  fleet: SimulatedFleet,
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
  const nextGapMs = (): number => {
    const uniform = (random.nextInt(randomResolution) + 1) / randomResolution;
    return (isPoisson ? -Math.log(uniform) : 1) * (1_000 / perSecond);
  };
  const sendNext = (): void => {
    if (fleet.queue.nowMs > endsAtMs) {
      return;
    }
    const targetHostIds =
      hostIds ?? [...fleet.hosts.values()].filter(({isUp}) => isUp).map(({id}) => id);
    arrivals.push(fleet.queue.nowMs);
    fleet.request(targetHostIds[random.nextInt(targetHostIds.length)] ?? '', customerId, {
      path,
      method,
    });
    fleet.after(nextGapMs(), sendNext);
  };
  fleet.after(nextGapMs(), sendNext);
  return arrivals;
}
