import type {Customer} from '@godwitspring/document';

/** Part of a customer's fleet-wide rate and burst that a home may admit. */
export interface CustomerShare {
  /** Share of rate and burst, 0 to 1. */
  readonly fleetShare: number;
  /** Requests per window beyond that share. */
  readonly slack: number;
}

/**
 * Sliding-window rate limiter for the requests of one customer, as counted by the customer's home.
 *
 * In any window a customer may send its rate times the window, plus its burst. The time of each admitted
 * request is stored for as long as it counts; there are never more of them than the window allows.
 */
export class CustomerWindow {
  readonly #windowMs: number;
  readonly #admittedAtMs: number[] = [];
  #inheritedAtMs = Number.NEGATIVE_INFINITY;

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

  /** Number of admitted requests that count against the limit. */
  get size(): number {
    return this.#admittedAtMs.length;
  }

  /** Admits a request and returns 0, or returns the time until the next request can be admitted, in ms. */
  tryAdmit(customer: Customer, {fleetShare, slack}: CustomerShare, nowMs: number): number {
    const {ratePerSecond, burstRequests} = customer;
    const allowed = ((ratePerSecond * this.#windowMs) / 1_000 + burstRequests) * fleetShare + slack;
    while ((this.#admittedAtMs[0] ?? nowMs) <= nowMs - this.#windowMs) {
      this.#admittedAtMs.shift();
    }
    if (this.#admittedAtMs.length + 1 <= Math.max(1, allowed)) {
      this.#admittedAtMs.push(nowMs);
      return 0;
    }
    const excess = Math.floor(this.#admittedAtMs.length - Math.max(1, allowed));
    const freesAtMs = (this.#admittedAtMs[Math.max(0, excess)] ?? nowMs) + this.#windowMs;
    return Math.max(1, freesAtMs - nowMs);
  }
}
