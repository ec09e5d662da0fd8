import type {Customer} from '@godwitspring/document';
import {CustomerStock} from './customerStock.ts';
import {LoanBook} from './loanBook.ts';

/** What a home grants on one ask for one customer. */
export interface GrantOffer {
  readonly count: number;
  readonly lifeMs: number;
  /** Time until the next whole token, where fewer were granted than wait, in ms. */
  readonly retryAfterMs: number | undefined;
}

export interface BucketStockOptions {
  readonly minGrantLifeMs: number;
  readonly maxGrantLifeMs: number;
  readonly clockDrift: number;
}

/** Customers told of in the status of one bucket. */
const maxToldCustomers = 5;
/** Part of the burst that one entry host may hold ahead of its demand. */
const aheadShareOfBurst = 1 / 8;
/** Part of the burst that may be on its way to entry hosts within the life of a grant. */
const inFlightShareOfBurst = 1 / 4;

/** Shares and tokens of all customers of one bucket at their home. */
export class BucketStock {
  readonly loans: LoanBook;
  readonly #options: BucketStockOptions;
  readonly #customers = new Map<string, Customer>();
  readonly #stocks = new Map<string, CustomerStock>();

  constructor(customers: Iterable<Customer>, options: BucketStockOptions, nowMs: number) {
    this.loans = new LoanBook(nowMs);
    this.#options = options;
    for (const customer of customers) {
      this.#addCustomer(customer);
    }
  }

  get share(): number {
    return this.loans.share;
  }

  /** Brings shares up to date; settles every customer before and after each loan that ended. */
  advance(nowMs: number): void {
    while (this.loans.nextEndMs <= nowMs) {
      const endMs = this.loans.nextEndMs;
      this.loans.accrueTo(endMs);
      this.#settleAll(nowMs);
      this.loans.dropEnded(endMs);
      this.#settleAll(nowMs);
    }
    this.loans.accrueTo(nowMs);
  }

  /** Takes a loan or its renewal, with what the share saved while it lay idle. */
  hold(
    loan: {lenderId: string; share: number; endsAtMs: number; idleMs: number},
    nowMs: number,
  ): void {
    this.advance(nowMs);
    const {lenderId, share, endsAtMs, idleMs} = loan;
    if (this.loans.isRenewal(lenderId, share) && idleMs === 0) {
      this.loans.hold(lenderId, share, endsAtMs);
      return;
    }
    this.#settleAll(nowMs);
    this.loans.hold(lenderId, share, endsAtMs);
    for (const stock of this.#stocks.values()) {
      stock.addIdle(share, idleMs);
    }
    this.#settleAll(nowMs);
  }

  /** Takes customers of a new document; tokens accrued so far are kept within the new burst. */
  replaceCustomers(customers: Iterable<Customer>, nowMs: number): void {
    this.advance(nowMs);
    this.#settleAll(nowMs);
    const kept = new Set<string>();
    for (const customer of customers) {
      kept.add(customer.id);
      this.#stocks.get(customer.id)?.change(customer);
      this.#customers.set(customer.id, customer);
      if (!this.#stocks.has(customer.id)) {
        this.#addCustomer(customer);
      }
    }
    for (const customerId of this.#customers.keys()) {
      if (!kept.has(customerId)) {
        this.#customers.delete(customerId);
        this.#stocks.delete(customerId);
      }
    }
    this.#settleAll(nowMs);
  }

  /** Grants what waits and, where tokens are left over, some of what is expected. */
  grant(
    grantId: number,
    want: {customerId: string; now: number; ahead: number},
    nowMs: number,
  ): GrantOffer | undefined {
    this.advance(nowMs);
    const customer = this.#customers.get(want.customerId);
    const stock = this.#stocks.get(want.customerId);
    if (customer === undefined || stock === undefined) {
      return undefined;
    }
    stock.settle(this.share, this.loans.shareMs, nowMs);
    const burst = this.share * customer.burstRequests;
    const whole = stock.wholeTokens;
    const now = Math.min(want.now, whole);
    const ahead = Math.min(
      want.ahead,
      Math.floor((whole - now) / 2),
      Math.floor(burst * aheadShareOfBurst),
    );
    const lifeMs = this.#lifeMs(customer);
    const count = now + Math.max(0, ahead);
    if (count > 0) {
      const expiresAtMs = nowMs + lifeMs * (1 + 2 * this.#options.clockDrift);
      stock.grant(grantId, count, expiresAtMs);
    }
    const ratePerMs = (this.share * customer.ratePerSecond) / 1_000;
    const missing = Math.max(0, 1 - stock.tokens);
    const retryAfterMs =
      now < want.now ? Math.ceil(missing / Math.max(ratePerMs, 1e-6)) : undefined;
    return {count, lifeMs, retryAfterMs};
  }

  /** Customers with the fewest saved tokens for their burst, for operators. */
  lowest(nowMs: number): {customerId: string; tokens: number; outstanding: number}[] {
    this.advance(nowMs);
    this.#settleAll(nowMs);
    const known = [...this.#stocks].map(([customerId, stock]) => {
      const {tokens, outstanding} = stock;
      const burst = this.#customers.get(customerId)?.burstRequests ?? 1;
      return {customerId, tokens: Math.round(tokens * 10) / 10, outstanding, part: tokens / burst};
    });
    known.sort((one, other) => one.part - other.part);
    return known
      .slice(0, maxToldCustomers)
      .map(({customerId, tokens, outstanding}) => ({customerId, tokens, outstanding}));
  }

  report(customerId: string, grantId: number, used: number, nowMs: number): void {
    this.advance(nowMs);
    const stock = this.#stocks.get(customerId);
    stock?.settle(this.share, this.loans.shareMs, nowMs);
    stock?.report(grantId, used);
    stock?.settle(this.share, this.loans.shareMs, nowMs);
  }

  /** True while tokens handed out may still be used somewhere. */
  hasOutstanding(nowMs: number): boolean {
    this.#settleAll(nowMs);
    for (const stock of this.#stocks.values()) {
      if (stock.outstanding > 0) {
        return true;
      }
    }
    return false;
  }

  /** Gives every customer's tokens away; call before the loans are returned. */
  takeStock(nowMs: number): {customerId: string; tokens: number}[] {
    this.advance(nowMs);
    this.#settleAll(nowMs);
    const taken: {customerId: string; tokens: number}[] = [];
    for (const [customerId, stock] of this.#stocks) {
      const tokens = stock.takeAll();
      if (tokens > 0) {
        taken.push({customerId, tokens});
      }
    }
    return taken;
  }

  /**
   * Takes over tokens that an earlier home gave up at most `elapsedMs` ago.
   *
   * What accrued elsewhere meanwhile is at most the rate times that time, so the tokens are cut to what
   * the share of the burst leaves beside it.
   */
  addStock(
    {customerId, tokens}: {customerId: string; tokens: number},
    {share, elapsedMs}: {share: number; elapsedMs: number},
    nowMs: number,
  ): void {
    this.advance(nowMs);
    const stock = this.#stocks.get(customerId);
    const customer = this.#customers.get(customerId);
    if (stock === undefined || customer === undefined) {
      return;
    }
    const {burstRequests, ratePerSecond} = customer;
    const room = share * burstRequests - (ratePerSecond * elapsedMs) / 1_000;
    stock.settle(this.share, this.loans.shareMs, nowMs);
    stock.add(Math.max(0, Math.min(tokens, room)));
    stock.settle(this.share, this.loans.shareMs, nowMs);
  }

  #addCustomer(customer: Customer): void {
    this.#customers.set(customer.id, customer);
    this.#stocks.set(
      customer.id,
      new CustomerStock(customer, {
        shareMs: this.loans.shareMs,
        clockDrift: this.#options.clockDrift,
      }),
    );
  }

  #settleAll(nowMs: number): void {
    for (const stock of this.#stocks.values()) {
      stock.settle(this.share, this.loans.shareMs, nowMs);
    }
  }

  /** Tokens live no longer than a part of the burst takes to accrue, so that few are ever on the way. */
  #lifeMs({ratePerSecond, burstRequests}: Customer): number {
    const {minGrantLifeMs, maxGrantLifeMs} = this.#options;
    const lifeMs = (1_000 * burstRequests * inFlightShareOfBurst) / ratePerSecond;
    return Math.min(Math.max(lifeMs, minGrantLifeMs), maxGrantLifeMs);
  }
}
