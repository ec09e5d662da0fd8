import type {Customer} from '@godwitspring/document';

/** What of a customer's allowance a home may hand out. */
export interface CustomerShare {
  /** Part of rate and burst, 0 to 1. */
  readonly fleetShare: number;
  /** Requests in a window beyond that. */
  readonly slack: number;
}

/**
 * Requests of one customer in a sliding window, as its home counts them.
 *
 * In any window a customer may send its rate times the window and its burst beside. Moments are kept
 * for as long as they count; there are never more of them than the window allows.
 */
export class CustomerWindow {
  readonly #windowMs: number;
  readonly #admittedAtMs: number[] = [];
  #toldAtMs = Number.NEGATIVE_INFINITY;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Counts requests that another home admitted; each stands for `weight` requests, as those of hosts that
   * died with the other home are not told.
   */
  add(momentsMs: readonly number[], weight: number, nowMs: number): void {
    this.#toldAtMs = nowMs;
    const count = Math.round(momentsMs.length * weight);
    for (let index = 0; index < count; index += 1) {
      const momentMs = momentsMs[Math.floor(index / weight)];
      if (momentMs !== undefined) {
        this.#admittedAtMs.push(momentMs);
      }
    }
    this.#admittedAtMs.sort((one, other) => one - other);
  }

  /** True while what another home admitted may count, of which not all need be known here. */
  isInherited(nowMs: number): boolean {
    return nowMs - this.#toldAtMs < this.#windowMs;
  }

  /** Requests that count at present. */
  get size(): number {
    return this.#admittedAtMs.length;
  }

  /** Admits one request; gives the time until the next has room where there is none, in ms. */
  take(customer: Customer, {fleetShare, slack}: CustomerShare, nowMs: number): number {
    const {ratePerSecond, burstRequests} = customer;
    const allowed = ((ratePerSecond * this.#windowMs) / 1_000 + burstRequests) * fleetShare + slack;
    while ((this.#admittedAtMs[0] ?? nowMs) <= nowMs - this.#windowMs) {
      this.#admittedAtMs.shift();
    }
    if (this.#admittedAtMs.length + 1 <= Math.max(1, allowed)) {
      this.#admittedAtMs.push(nowMs);
      return 0;
    }
    const over = Math.floor(this.#admittedAtMs.length - Math.max(1, allowed));
    const freesAtMs = (this.#admittedAtMs[Math.max(0, over)] ?? nowMs) + this.#windowMs;
    return Math.max(1, freesAtMs - nowMs);
  }
}
