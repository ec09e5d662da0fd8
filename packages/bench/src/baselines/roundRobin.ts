import type {ServerCandidate, ServerChoice} from '@godwitspring/core';

/** Baseline: takes the servers with a free slot in turn. */
export class RoundRobin implements ServerChoice {
  #turn = 0;

  choose(candidates: readonly ServerCandidate[]): ServerCandidate | undefined {
    this.#turn += 1;
    return candidates[this.#turn % Math.max(1, candidates.length)];
  }
}
