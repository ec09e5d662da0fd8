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
 * the customer's burst. The rate is cut by the drift bound, so that it holds on a fast clock too.
 */
export class CustomerStock {
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

  get tokens(): number {
    return this.#tokens;
  }

  get outstanding(): number {
    return this.#outstanding;
  }

  /**
   * Adds what accrued up to `shareMs` and cuts what the held share of the burst does not cover.
   *
   * What was handed out takes its room until now: grants that have just ended make room only for what
   * accrues from now on.
   */
  settle(share: number, shareMs: number, nowMs: number): void {
    const ratePerMs = (this.#customer.ratePerSecond * (1 - this.#clockDrift)) / 1_000;
    const accrued = (shareMs - this.#accruedToShareMs) * ratePerMs;
    this.#accruedToShareMs = shareMs;
    const room = Math.max(0, share * this.#customer.burstRequests - this.#outstanding);
    this.#tokens = Math.min(this.#tokens + accrued, room);
    this.#dropExpired(nowMs);
  }

  /** Adds what a share saved while it lay idle; call `settle` before and after. */
  addIdle(share: number, idleMs: number): void {
    const {ratePerSecond, burstRequests} = this.#customer;
    const saved = (share * idleMs * ratePerSecond * (1 - this.#clockDrift)) / 1_000;
    this.#tokens += Math.min(saved, share * burstRequests);
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

  /** Takes the report on a grant; tokens that were not used come back. Call `settle` before and after. */
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
