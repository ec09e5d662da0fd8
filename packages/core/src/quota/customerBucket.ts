import type {Customer} from '@godwitspring/document';

/** Part of the burst that a new home starts with: the former home may just have spent the rest. */
const firstPart = 0.5;

/** Tokens of one customer at its home. */
export class CustomerBucket {
  #tokens: number;
  #atMs: number;

  constructor({burstRequests}: Customer, nowMs: number) {
    this.#tokens = burstRequests * firstPart;
    this.#atMs = nowMs;
  }

  /** Takes one token; gives the time until the next one where none is left, in ms. */
  take(customer: Customer, fleetShare: number, nowMs: number): number {
    const ratePerMs = (customer.ratePerSecond * fleetShare) / 1_000;
    const burst = Math.max(1, customer.burstRequests * fleetShare);
    this.#tokens = Math.min(burst, this.#tokens + (nowMs - this.#atMs) * ratePerMs);
    this.#atMs = nowMs;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return (1 - this.#tokens) / ratePerMs;
  }
}
