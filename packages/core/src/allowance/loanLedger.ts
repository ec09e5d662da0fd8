/** A share borrowed from one lender. */
interface ActiveLoan {
  readonly share: number;
  readonly endsAtMs: number;
}

/**
 * The loans that a home holds for one hash bucket: leases on the lenders' shares of a fleet-wide limit.
 *
 * It tracks the sum of the held shares and `shareMs`, the integral of that sum over time. A customer's rate
 * times the growth of `shareMs` is the number of tokens that accrued to the customer in that time.
 */
export class LoanLedger {
  readonly #loans = new Map<string, ActiveLoan>();
  #share = 0;
  #shareMs = 0;
  #accruedToMs: number;
  #nextEndMs = Number.POSITIVE_INFINITY;

  constructor(nowMs: number) {
    this.#accruedToMs = nowMs;
  }

  /** Sum of the held shares as of the last `advance`, 0 to 1. */
  get share(): number {
    return this.#share;
  }

  /** Integral of the held share over time, in ms. */
  get shareMs(): number {
    return this.#shareMs;
  }

  /** Hosts whose shares are held. */
  get lenderIds(): string[] {
    return [...this.#loans.keys()];
  }

  /** Moment at which the next loan ends, in ms; infinity without loans. */
  get nextEndMs(): number {
    return this.#nextEndMs;
  }

  /** Brings the sums up to date and removes loans that ended; returns whether there were any. */
  advance(nowMs: number): boolean {
    let hasEnded = false;
    while (this.#nextEndMs <= nowMs) {
      this.accrueTo(this.#nextEndMs);
      this.removeEnded(this.#nextEndMs);
      hasEnded = true;
    }
    this.accrueTo(nowMs);
    return hasEnded;
  }

  /** Extends `shareMs` to a moment at the share now held; no loan may end before that moment. */
  accrueTo(momentMs: number): void {
    const elapsedMs = Math.max(0, momentMs - this.#accruedToMs);
    this.#shareMs += this.#share * elapsedMs;
    this.#accruedToMs += elapsedMs;
  }

  /** Removes the loans that ended by a moment. */
  removeEnded(momentMs: number): void {
    for (const [lenderId, {endsAtMs}] of this.#loans) {
      if (endsAtMs <= momentMs) {
        this.#loans.delete(lenderId);
      }
    }
    this.#recomputeSums();
  }

  /** Returns whether a share of exactly this size is already held from the lender. */
  isRenewal(lenderId: string, share: number): boolean {
    return this.#loans.get(lenderId)?.share === share;
  }

  /** Records a loan or its renewal, unless it ended already; a loan that already ends as late stays as it is. */
  recordLoan(lenderId: string, share: number, endsAtMs: number): void {
    if (endsAtMs <= this.#accruedToMs) {
      return;
    }
    const held = this.#loans.get(lenderId);
    const isLater = held === undefined || endsAtMs > held.endsAtMs;
    this.#loans.set(lenderId, isLater ? {share, endsAtMs} : held);
    this.#recomputeSums();
  }

  #recomputeSums(): void {
    let share = 0;
    let nextEndMs = Number.POSITIVE_INFINITY;
    for (const loan of this.#loans.values()) {
      share += loan.share;
      nextEndMs = Math.min(nextEndMs, loan.endsAtMs);
    }
    this.#share = Math.min(1, share);
    this.#nextEndMs = nextEndMs;
  }
}
