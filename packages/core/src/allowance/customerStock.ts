import type {Customer} from '@godwitspring/document';

interface OutstandingGrant {
  readonly grantId: number;
  readonly count: number;
  readonly expiresAtMs: number;
}

const roundingTokens = 1e-9;

/**
 * Tokens of one customer at its home.
 *
 * Saved tokens and tokens handed out but not known to be used are together at most the held share of
 * the customer's burst.
 */
export class CustomerStock {
  #customer: Customer;
  #tokens = 0;
  #accruedToShareMs: number;
  readonly #grants = new Map<number, OutstandingGrant>();
  #outstanding = 0;

  constructor(customer: Customer, shareMs: number) {
    this.#customer = customer;
    this.#accruedToShareMs = shareMs;
  }

  get tokens(): number {
    return this.#tokens;
  }

  get outstanding(): number {
    return this.#outstanding;
  }

  /** Adds what accrued up to `shareMs` and cuts what the held share of the burst does not cover. */
  settle(share: number, shareMs: number, nowMs: number): void {
    this.#dropExpired(nowMs);
    const accrued = ((shareMs - this.#accruedToShareMs) * this.#customer.ratePerSecond) / 1_000;
    this.#accruedToShareMs = shareMs;
    const room = Math.max(0, share * this.#customer.burstRequests - this.#outstanding);
    this.#tokens = Math.min(this.#tokens + accrued, room);
  }

  /** Changes rate and burst from now on; call `settle` before and after. */
  change(customer: Customer): void {
    this.#customer = customer;
  }

  /** Adds tokens that an earlier home handed over; call `settle` after. */
  add(tokens: number): void {
    this.#tokens += tokens;
  }

  /** Gives all saved tokens away. */
  takeAll(): number {
    const tokens = this.#tokens;
    this.#tokens = 0;
    return tokens;
  }

  /** Whole tokens that can be handed out. */
  get wholeTokens(): number {
    return Math.floor(this.#tokens + roundingTokens);
  }

  /** Hands tokens out until `expiresAtMs` on this home's clock. */
  grant(grantId: number, count: number, expiresAtMs: number): void {
    this.#tokens = Math.max(0, this.#tokens - count);
    this.#outstanding += count;
    this.#grants.set(grantId, {grantId, count, expiresAtMs});
  }

  /** Takes the report on a grant; tokens that were not used come back. */
  report(grantId: number, used: number): void {
    const grant = this.#grants.get(grantId);
    if (grant === undefined) {
      return;
    }
    this.#grants.delete(grantId);
    this.#outstanding -= grant.count;
    this.#tokens += Math.max(0, grant.count - used);
  }

  #dropExpired(nowMs: number): void {
    for (const [grantId, {count, expiresAtMs}] of this.#grants) {
      if (expiresAtMs <= nowMs) {
        this.#grants.delete(grantId);
        this.#outstanding -= count;
      }
    }
  }
}
