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

  /** Brings shares up to date; cuts every customer's tokens where a loan ended. */
  advance(nowMs: number): void {
    if (this.loans.advance(nowMs)) {
      this.#settleAll(nowMs);
    }
  }

  hold(
    loan: {lenderId: string; share: number; endsAtMs: number; idleMs: number},
    nowMs: number,
  ): void {
    this.advance(nowMs);
    if (loan.idleMs > 0) {
      this.#settleAll(nowMs);
    }
    const before = this.loans.share;
    this.loans.hold(loan.lenderId, loan.share, loan.endsAtMs);
    if (loan.idleMs > 0) {
      this.#addIdle(loan.share, loan.idleMs, nowMs);
    }
    if (this.loans.share < before) {
      this.#settleAll(nowMs);
    }
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

  /** Takes over tokens from an earlier home, within what the held share covers. */
  addStock(customerId: string, tokens: number, nowMs: number): void {
    this.advance(nowMs);
    const stock = this.#stocks.get(customerId);
    stock?.settle(this.share, this.loans.shareMs, nowMs);
    stock?.add(tokens);
    stock?.settle(this.share, this.loans.shareMs, nowMs);
  }

  #addIdle(share: number, idleMs: number, nowMs: number): void {
    for (const stock of this.#stocks.values()) {
      stock.addIdle(share, idleMs);
    }
    this.#settleAll(nowMs);
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
