/** Source of random numbers given to the core from outside. */
export interface RandomSource {
  /** A whole number from 0 up to and without `limit`. */
  below(limit: number): number;
}
