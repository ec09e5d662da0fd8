import type {ServerCandidate, LoadBalancingPolicy} from '@godwitspring/core';

/** Baseline: selects the servers with a free slot by round robin. */
export class RoundRobin implements LoadBalancingPolicy {
  #index = 0;

  select(candidates: readonly ServerCandidate[]): ServerCandidate | undefined {
    this.#index += 1;
    return candidates[this.#index % Math.max(1, candidates.length)];
  }
}
