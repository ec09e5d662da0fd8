import type {RandomSource} from '../time/randomSource.ts';
import type {ServerCandidate, ServerChoice} from './serverChoice.ts';

function loadOf({runningAttempts, weight}: ServerCandidate): number {
  return (runningAttempts + 1) / Math.max(weight, Number.EPSILON);
}

/** Draws two servers at random and takes the less loaded one, as in "power of two choices". */
export class LeastLoadedOfTwo implements ServerChoice {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose(candidates: readonly ServerCandidate[]): ServerCandidate | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = this.#random.below(candidates.length);
    const offset = 1 + this.#random.below(candidates.length - 1);
    const one = candidates[first];
    const other = candidates[(first + offset) % candidates.length];
    if (one === undefined || other === undefined) {
      return one ?? other;
    }
    return loadOf(other) < loadOf(one) ? other : one;
  }
}
