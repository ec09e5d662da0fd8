import type {Customer} from '@godwitspring/document';
import {IdealTokenBucket} from './idealTokenBucket.ts';

/**
 * Largest excess of admissions over burst + rate × window in any window of time, in requests. Zero or less
 * means that the limit was met.
 *
 * Where every admission consumes a token from a bucket that starts full, even below zero, the deficit is
 * exactly the excess of the worst window that ends now. So one pass over the admissions covers every window.
 */
export function worstExcess(
  customer: Pick<Customer, 'ratePerSecond' | 'burstRequests'>,
  admittedAtMs: readonly number[],
): number {
  const bucket = new IdealTokenBucket(customer);
  let largestExcess = Number.NEGATIVE_INFINITY;
  for (const atMs of admittedAtMs) {
    largestExcess = Math.max(largestExcess, -bucket.consumeUnchecked(atMs));
  }
  return largestExcess;
}
