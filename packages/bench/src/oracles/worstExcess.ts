import type {Customer} from '@godwitspring/document';
import {IdealBucket} from './idealBucket.ts';

/**
 * Largest excess of admissions over burst + rate × window in any window, in requests.
 *
 * A bucket that starts full and is never refused drops below zero by exactly the excess of the worst
 * window that ends now, so one pass covers every window. Zero or less means the bound holds.
 */
export function worstExcess(
  customer: Pick<Customer, 'ratePerSecond' | 'burstRequests'>,
  admittedAtMs: readonly number[],
): number {
  const bucket = new IdealBucket(customer);
  let worst = Number.NEGATIVE_INFINITY;
  for (const atMs of admittedAtMs) {
    worst = Math.max(worst, -bucket.force(atMs));
  }
  return worst;
}
