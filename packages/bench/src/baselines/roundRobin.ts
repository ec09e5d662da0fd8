import type {ServerCandidate, ServerChoice} from '@godwitspring/core';

/** Baseline: chooses the servers with a free slot by round robin. */
export class RoundRobin implements ServerChoice {
  #index = 0;

  choose(candidates: readonly ServerCandidate[]): ServerCandidate | undefined {
    this.#index += 1;
    return candidates[this.#index % Math.max(1, candidates.length)];
  }
}
