import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {RandomSource} from './randomSource.ts';

/** Pseudo-random numbers; equal seeds give equal sequences. */
export class SeededRandom implements RandomSource {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  nextInt(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }
}
