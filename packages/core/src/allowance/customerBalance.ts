import type {Customer} from '@godwitspring/document';

/** Tokens handed out to an entry host whose use has not been reported yet. */
interface OutstandingGrant {
  readonly grantId: number;
  readonly count: number;
  /** Moment on this home's clock after which no token of the grant can be used, in ms. */
  readonly expiresAtMs: number;
}

/** Part of a token by which rounding errors may lower a balance without losing a whole token. */
const roundingTolerance = 1e-9;

/**
 * Token balance of one customer at its home, the host that enforces the customer's rate for the whole fleet.
 *
 * The saved tokens and those handed out whose use has not been reported are together at most the held share
 * of the customer's burst. The rate is reduced by the bound on clock drift, so that it holds even if this
 * host's clock runs fast.
 */
export class CustomerBalance {
  #customer: Customer;
  readonly #clockDrift: number;
  #tokens = 0;
  #accruedToShareMs: number;
  readonly #grants = new Map<number, OutstandingGrant>();
  #outstanding = 0;

  constructor(customer: Customer, {shareMs, clockDrift}: {shareMs: number; clockDrift: number}) {
    this.#customer = customer;
    this.#clockDrift = clockDrift;
    this.#accruedToShareMs = shareMs;
  }

  /** Saved tokens that have not been handed out; may be fractional. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Tokens of the grants that were neither reported nor removed as expired. */
  get outstanding(): number {
    return this.#outstanding;
  }

  /**
   * Adds the tokens accrued up to `shareMs` and drops those that exceed the held share of the burst.
   *
   * Outstanding grants count against the burst up to now: grants that have just expired make room only for
   * tokens that accrue from now on.
   */
  update(share: number, shareMs: number, nowMs: number): void {
    const ratePerMs = (this.#customer.ratePerSecond * (1 - this.#clockDrift)) / 1_000;
    const accrued = (shareMs - this.#accruedToShareMs) * ratePerMs;
    this.#accruedToShareMs = shareMs;
    const capacity = Math.max(0, share * this.#customer.burstRequests - this.#outstanding);
    this.#tokens = Math.min(this.#tokens + accrued, capacity);
    this.#removeExpiredGrants(nowMs);
  }

  /** Adds the tokens that a share accrued while it lay idle at its lender; call `update` before and after. */
  addIdleAccrual(share: number, idleMs: number): void {
    const {ratePerSecond, burstRequests} = this.#customer;
    const accrued = (share * idleMs * ratePerSecond * (1 - this.#clockDrift)) / 1_000;
    this.#tokens += Math.min(accrued, share * burstRequests);
  }

  /** Applies a new rate and burst from now on; call `update` before and after. */
  replaceCustomer(customer: Customer): void {
    this.#customer = customer;
  }

  /** Adds tokens that an earlier home handed over; call `update` after. */
  add(tokens: number): void {
    this.#tokens += tokens;
  }

  /** Removes all saved tokens and returns their number. */
  removeAll(): number {
    const tokens = this.#tokens;
    this.#tokens = 0;
    return tokens;
  }

  /** Number of whole tokens that can be handed out. */
  get wholeTokens(): number {
    return Math.floor(this.#tokens + roundingTolerance);
  }

  /** Hands out tokens that can be used until `expiresAtMs` on this home's clock. */
  grant(grantId: number, count: number, expiresAtMs: number): void {
    this.#tokens = Math.max(0, this.#tokens - count);
    this.#outstanding += count;
    this.#grants.set(grantId, {grantId, count, expiresAtMs});
  }

  /** Applies the report on a grant: unused tokens return to the balance. Call `update` before and after. */
  recordUse(grantId: number, used: number): void {
    const grant = this.#grants.get(grantId);
    if (grant === undefined) {
      return;
    }
    this.#grants.delete(grantId);
    this.#outstanding -= grant.count;
    this.#tokens += Math.max(0, grant.count - used);
  }

  #removeExpiredGrants(nowMs: number): void {
    for (const [grantId, {count, expiresAtMs}] of this.#grants) {
      if (expiresAtMs <= nowMs) {
        this.#grants.delete(grantId);
        this.#outstanding -= count;
      }
    }
  }
}
