interface HeldLoan {
  readonly share: number;
  readonly endsAtMs: number;
}

/**
 * The shares that a home holds of one bucket, and their sum over time.
 *
 * `shareMs` is the integral of the held share over time; a customer's rate times its growth is what
 * accrued to the customer meanwhile.
 */
export class LoanBook {
  readonly #loans = new Map<string, HeldLoan>();
  #share = 0;
  #shareMs = 0;
  #advancedToMs: number;
  #nextEndMs = Number.POSITIVE_INFINITY;

  constructor(nowMs: number) {
    this.#advancedToMs = nowMs;
  }

  /** Share held as of the last `advance`, 0 to 1. */
  get share(): number {
    return this.#share;
  }

  get shareMs(): number {
    return this.#shareMs;
  }

  get lenderIds(): string[] {
    return [...this.#loans.keys()];
  }

  /** Moment at which the next loan ends, in ms; infinity where there is none. */
  get nextEndMs(): number {
    return this.#nextEndMs;
  }

  /** Brings the sums up to date; true where a loan ended. */
  advance(nowMs: number): boolean {
    let hasEnded = false;
    while (this.#nextEndMs <= nowMs) {
      this.accrueTo(this.#nextEndMs);
      this.dropEnded(this.#nextEndMs);
      hasEnded = true;
    }
    this.accrueTo(nowMs);
    return hasEnded;
  }

  /** Adds the time up to a moment at the share held; no loan may end before it. */
  accrueTo(momentMs: number): void {
    const elapsedMs = Math.max(0, momentMs - this.#advancedToMs);
    this.#shareMs += this.#share * elapsedMs;
    this.#advancedToMs += elapsedMs;
  }

  /** Drops the loans that ended by a moment. */
  dropEnded(momentMs: number): void {
    for (const [lenderId, {endsAtMs}] of this.#loans) {
      if (endsAtMs <= momentMs) {
        this.#loans.delete(lenderId);
      }
    }
    this.#recount();
  }

  /** True where the lender's share is held already, as large as now. */
  isRenewal(lenderId: string, share: number): boolean {
    return this.#loans.get(lenderId)?.share === share;
  }

  /** Takes a loan or its renewal. */
  hold(lenderId: string, share: number, endsAtMs: number): void {
    if (endsAtMs <= this.#advancedToMs) {
      return;
    }
    const held = this.#loans.get(lenderId);
    const isLater = held === undefined || endsAtMs > held.endsAtMs;
    this.#loans.set(lenderId, isLater ? {share, endsAtMs} : held);
    this.#recount();
  }

  #recount(): void {
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
