/** Source of random numbers that the core is given from outside. */
export interface RandomSource {
  /** Returns an integer from 0 to `limit - 1`. */
  nextInt(limit: number): number;
}
