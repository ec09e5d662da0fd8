import type {Customer} from '@godwitspring/document';

/** Part of a customer's fleet-wide rate and burst that a home may admit. */
export interface CustomerShare {
  /** Share of what the customer may send in one window, 0 to 1. */
  readonly fleetShare: number;
  /** Share of the rate at which its bucket fills and of the size of the bucket, 0 to 1. */
  readonly bucketShare: number;
  /** Requests per window beyond that share. */
  readonly slack: number;
}

/** Least size of a bucket, as the time in which the rate fills it, in ms: requests arrive unevenly. */
const minBucketFillMs = 1_000;

/** Requests that a customer may send in any window: its rate times the window, plus its burst. */
export function requestsPerWindow(
  {ratePerSecond, burstRequests}: Customer,
  windowMs: number,
): number {
  return (ratePerSecond * windowMs) / 1_000 + burstRequests;
}

/** Size of a customer's bucket in requests. */
export function bucketSize({ratePerSecond, burstRequests}: Customer): number {
  return Math.max(burstRequests, (ratePerSecond * minBucketFillMs) / 1_000);
}

/**
 * Rate limiter for the requests of one customer, as counted by the customer's home: a sliding window together
 * with a token bucket.
 *
 * The time of each admitted request is stored for as long as it counts; there are never more of them than a
 * window allows. The bucket, which fills with as much in each window, spreads them over it.
 *
 * Load pattern: a customer sends many times its rate for seconds. Without the bucket it would send all that a
 * window allows to the servers at once, and then nothing until the window has passed.
 */
export class CustomerWindow {
  readonly #windowMs: number;
  readonly #admittedAtMs: number[] = [];
  #inheritedAtMs = Number.NEGATIVE_INFINITY;
  /** Requests that the bucket lacks, as of `#bucketAtMs`. */
  #bucketUsed = 0;
  #bucketAtMs = 0;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Counts requests that another home admitted. Each reported request counts as `weight` requests, because
   * requests of hosts that died with the other home are not reported.
   */
  addInherited(momentsMs: readonly number[], weight: number, nowMs: number): void {
    this.#inheritedAtMs = nowMs;
    const count = Math.round(momentsMs.length * weight);
    for (let index = 0; index < count; index += 1) {
      const momentMs = momentsMs[Math.floor(index / weight)];
      if (momentMs !== undefined) {
        this.#admittedAtMs.push(momentMs);
      }
    }
    this.#admittedAtMs.sort((one, other) => one - other);
  }

  /** True while requests admitted by another home may still count, of which not all may be known here. */
  isInherited(nowMs: number): boolean {
    return nowMs - this.#inheritedAtMs < this.#windowMs;
  }

  /** Requests that the bucket lacked when a request last asked for one. */
  get bucketUsed(): number {
    return this.#bucketUsed;
  }

  /** Number of admitted requests that count against the limit of the window. */
  get size(): number {
    return this.#admittedAtMs.length;
  }

  /** Admits a request and returns 0, or returns the time until the next request can be admitted, in ms. */
  tryAdmit(customer: Customer, share: CustomerShare, nowMs: number): number {
    const {fleetShare, slack} = share;
    const bucketWaitMs = this.#bucketWaitMs(customer, share, nowMs);
    if (bucketWaitMs > 0) {
      return bucketWaitMs;
    }
    const allowed = requestsPerWindow(customer, this.#windowMs) * fleetShare + slack;
    while ((this.#admittedAtMs[0] ?? nowMs) <= nowMs - this.#windowMs) {
      this.#admittedAtMs.shift();
    }
    if (this.#admittedAtMs.length + 1 <= Math.max(1, allowed)) {
      this.#admittedAtMs.push(nowMs);
      this.#bucketUsed += 1;
      return 0;
    }
    const excess = Math.floor(this.#admittedAtMs.length - Math.max(1, allowed));
    const freesAtMs = (this.#admittedAtMs[Math.max(0, excess)] ?? nowMs) + this.#windowMs;
    return Math.max(1, freesAtMs - nowMs);
  }

  /** Time until the bucket holds one request, in ms; 0 where it does. */
  #bucketWaitMs(customer: Customer, {bucketShare, slack}: CustomerShare, nowMs: number): number {
    const perMs = (requestsPerWindow(customer, this.#windowMs) * bucketShare) / this.#windowMs;
    this.#bucketUsed = Math.max(0, this.#bucketUsed - perMs * (nowMs - this.#bucketAtMs));
    this.#bucketAtMs = nowMs;
    const size = Math.max(1, bucketSize(customer) * bucketShare + slack);
    const lacking = this.#bucketUsed + 1 - size;
    return lacking <= 0 ? 0 : Math.max(1, lacking / perMs);
  }
}
