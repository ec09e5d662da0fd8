import type {Customer} from '@godwitspring/document';
import {CustomerBalance} from './customerBalance.ts';
import {LoanLedger} from './loanLedger.ts';

/** Tokens that a home grants to an entry host for one customer in reply to a query. */
export interface GrantOffer {
  /** Number of tokens granted. */
  readonly count: number;
  /** Lifetime of the tokens, in ms. */
  readonly lifeMs: number;
  /** Time until the next whole token, in ms; set if fewer tokens were granted than requests wait. */
  readonly retryAfterMs: number | undefined;
}

/** Options of `BucketBalance`. */
export interface BucketBalanceOptions {
  /** Shortest lifetime of granted tokens, in ms. */
  readonly minGrantLifeMs: number;
  /** Longest lifetime of granted tokens, in ms. */
  readonly maxGrantLifeMs: number;
  /** Largest relative difference between the rates of two hosts' clocks. */
  readonly clockDrift: number;
}

/** Number of customers listed in the status of one hash bucket. */
const maxReportedCustomers = 5;
/** Largest part of the burst that one grant may contain beyond the requests that wait. */
const maxAheadShareOfBurst = 1 / 8;
/** Part of the burst that may be handed out to entry hosts within the lifetime of a grant; sets that lifetime. */
const inFlightShareOfBurst = 1 / 4;

/**
 * Borrowed shares of one hash bucket of customers, and the token balances of these customers, at their home:
 * the host that enforces their rates for the whole fleet.
 */
export class BucketBalance {
  /** Loans of the hosts' shares of this bucket. */
  readonly loans: LoanLedger;
  readonly #options: BucketBalanceOptions;
  readonly #customers = new Map<string, Customer>();
  readonly #balances = new Map<string, CustomerBalance>();

  constructor(customers: Iterable<Customer>, options: BucketBalanceOptions, nowMs: number) {
    this.loans = new LoanLedger(nowMs);
    this.#options = options;
    for (const customer of customers) {
      this.#addCustomer(customer);
    }
  }

  /** Sum of the shares held, 0 to 1. */
  get share(): number {
    return this.loans.share;
  }

  /** Brings the shares up to date; updates every balance before and after each loan that ended is removed. */
  advance(nowMs: number): void {
    while (this.loans.nextEndMs <= nowMs) {
      const endMs = this.loans.nextEndMs;
      this.loans.accrueTo(endMs);
      this.#updateAll(nowMs);
      this.loans.removeEnded(endMs);
      this.#updateAll(nowMs);
    }
    this.loans.accrueTo(nowMs);
  }

  /** Adds a loan or its renewal, together with the tokens that the share accrued while it lay idle. */
  addLoan(
    loan: {lenderId: string; share: number; endsAtMs: number; idleMs: number},
    nowMs: number,
  ): void {
    this.advance(nowMs);
    const {lenderId, share, endsAtMs, idleMs} = loan;
    if (this.loans.isRenewal(lenderId, share) && idleMs === 0) {
      this.loans.recordLoan(lenderId, share, endsAtMs);
      return;
    }
    this.#updateAll(nowMs);
    this.loans.recordLoan(lenderId, share, endsAtMs);
    for (const balance of this.#balances.values()) {
      balance.addIdleAccrual(share, idleMs);
    }
    this.#updateAll(nowMs);
  }

  /** Replaces the customers by those of a new document; accrued tokens stay, up to the new burst. */
  replaceCustomers(customers: Iterable<Customer>, nowMs: number): void {
    this.advance(nowMs);
    this.#updateAll(nowMs);
    const currentIds = new Set<string>();
    for (const customer of customers) {
      currentIds.add(customer.id);
      this.#balances.get(customer.id)?.replaceCustomer(customer);
      this.#customers.set(customer.id, customer);
      if (!this.#balances.has(customer.id)) {
        this.#addCustomer(customer);
      }
    }
    for (const customerId of this.#customers.keys()) {
      if (!currentIds.has(customerId)) {
        this.#customers.delete(customerId);
        this.#balances.delete(customerId);
      }
    }
    this.#updateAll(nowMs);
  }

  /**
   * Grants tokens for the waiting requests and, if tokens are left over, for some of the expected ones.
   * Returns undefined for a customer that is not in this bucket.
   */
  grant(
    grantId: number,
    want: {customerId: string; now: number; ahead: number},
    nowMs: number,
  ): GrantOffer | undefined {
    this.advance(nowMs);
    const customer = this.#customers.get(want.customerId);
    const balance = this.#balances.get(want.customerId);
    if (customer === undefined || balance === undefined) {
      return undefined;
    }
    balance.update(this.share, this.loans.shareMs, nowMs);
    const burst = this.share * customer.burstRequests;
    const whole = balance.wholeTokens;
    const now = Math.min(want.now, whole);
    const ahead = Math.min(
      want.ahead,
      Math.floor((whole - now) / 2),
      Math.floor(burst * maxAheadShareOfBurst),
    );
    const lifeMs = this.#grantLifeMs(customer);
    const count = now + Math.max(0, ahead);
    if (count > 0) {
      const expiresAtMs = nowMs + lifeMs * (1 + 2 * this.#options.clockDrift);
      balance.grant(grantId, count, expiresAtMs);
    }
    const ratePerMs = (this.share * customer.ratePerSecond) / 1_000;
    const missing = Math.max(0, 1 - balance.tokens);
    const retryAfterMs =
      now < want.now ? Math.ceil(missing / Math.max(ratePerMs, 1e-6)) : undefined;
    return {count, lifeMs, retryAfterMs};
  }

  /** Returns the customers with the fewest saved tokens relative to their burst, for the status that operators read. */
  lowest(nowMs: number): {customerId: string; tokens: number; outstanding: number}[] {
    this.advance(nowMs);
    this.#updateAll(nowMs);
    const balances = [...this.#balances].map(([customerId, balance]) => {
      const {tokens, outstanding} = balance;
      const burst = this.#customers.get(customerId)?.burstRequests ?? 1;
      return {
        customerId,
        tokens: Math.round(tokens * 10) / 10,
        outstanding,
        fraction: tokens / burst,
      };
    });
    balances.sort((one, other) => one.fraction - other.fraction);
    return balances
      .slice(0, maxReportedCustomers)
      .map(({customerId, tokens, outstanding}) => ({customerId, tokens, outstanding}));
  }

  /** Applies an entry host's report on a grant: `used` tokens were spent, the others return to the balance. */
  recordUse(customerId: string, grantId: number, used: number, nowMs: number): void {
    this.advance(nowMs);
    const balance = this.#balances.get(customerId);
    balance?.update(this.share, this.loans.shareMs, nowMs);
    balance?.recordUse(grantId, used);
    balance?.update(this.share, this.loans.shareMs, nowMs);
  }

  /** Returns whether tokens that were handed out may still be used somewhere. */
  hasOutstanding(nowMs: number): boolean {
    this.#updateAll(nowMs);
    for (const balance of this.#balances.values()) {
      if (balance.outstanding > 0) {
        return true;
      }
    }
    return false;
  }

  /** Removes and returns the tokens of every customer; call before the loans are returned. */
  removeBalances(nowMs: number): {customerId: string; tokens: number}[] {
    this.advance(nowMs);
    this.#updateAll(nowMs);
    const removed: {customerId: string; tokens: number}[] = [];
    for (const [customerId, balance] of this.#balances) {
      const tokens = balance.removeAll();
      if (tokens > 0) {
        removed.push({customerId, tokens});
      }
    }
    return removed;
  }

  /**
   * Adds tokens that an earlier home of the bucket handed over at most `elapsedMs` ago.
   *
   * At most the rate times that time can have accrued elsewhere since, so the tokens are limited to the share
   * of the burst less that amount.
   */
  addHandedOverTokens(
    {customerId, tokens}: {customerId: string; tokens: number},
    {share, elapsedMs}: {share: number; elapsedMs: number},
    nowMs: number,
  ): void {
    this.advance(nowMs);
    const balance = this.#balances.get(customerId);
    const customer = this.#customers.get(customerId);
    if (balance === undefined || customer === undefined) {
      return;
    }
    const {burstRequests, ratePerSecond} = customer;
    const capacity = share * burstRequests - (ratePerSecond * elapsedMs) / 1_000;
    balance.update(this.share, this.loans.shareMs, nowMs);
    balance.add(Math.max(0, Math.min(tokens, capacity)));
    balance.update(this.share, this.loans.shareMs, nowMs);
  }

  #addCustomer(customer: Customer): void {
    this.#customers.set(customer.id, customer);
    this.#balances.set(
      customer.id,
      new CustomerBalance(customer, {
        shareMs: this.loans.shareMs,
        clockDrift: this.#options.clockDrift,
      }),
    );
  }

  #updateAll(nowMs: number): void {
    for (const balance of this.#balances.values()) {
      balance.update(this.share, this.loans.shareMs, nowMs);
    }
  }

  /**
   * Returns the lifetime of granted tokens, in ms: the time in which a part of the burst accrues, within the set
   * limits, so that only few tokens are outstanding at any time.
   */
  #grantLifeMs({ratePerSecond, burstRequests}: Customer): number {
    const {minGrantLifeMs, maxGrantLifeMs} = this.#options;
    const lifeMs = (1_000 * burstRequests * inFlightShareOfBurst) / ratePerSecond;
    return Math.min(Math.max(lifeMs, minGrantLifeMs), maxGrantLifeMs);
  }
}
