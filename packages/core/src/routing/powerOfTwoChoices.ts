import type {RandomSource} from '../random/randomSource.ts';
import type {ServerCandidate, LoadBalancingPolicy} from './loadBalancingPolicy.ts';

/** Load of a server with one more attempt, relative to its weight. */
function loadOf({runningAttempts, weight}: ServerCandidate): number {
  return (runningAttempts + 1) / Math.max(weight, Number.EPSILON);
}

/** Selects the less loaded of two servers drawn at random ("power of two choices"). */
export class PowerOfTwoChoices implements LoadBalancingPolicy {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  select(candidates: readonly ServerCandidate[]): ServerCandidate | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    const firstIndex = this.#random.nextInt(candidates.length);
    const offset = 1 + this.#random.nextInt(candidates.length - 1);
    const first = candidates[firstIndex];
    const second = candidates[(firstIndex + offset) % candidates.length];
    if (first === undefined || second === undefined) {
      return first ?? second;
    }
    return loadOf(second) < loadOf(first) ? second : first;
  }
}
