/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries added to the balance by each request. Default: 0.1. */
  readonly retriesPerRequest: number;
  /** Largest balance, in retries. Default: 20. */
  readonly maxRetries: number;
  /** Balance at the start, in retries. Default: 5. */
  readonly initialRetries: number;
}

export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
  retriesPerRequest: 0.1,
  maxRetries: 20,
  initialRetries: 5,
};

/**
 * Token bucket that limits retries to a share of the requests.
 *
 * Each host adds to the balance for its own requests, so the share holds for the whole fleet without
 * messages between hosts.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #balance: number;

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.#options = {...DEFAULT_RETRY_BUDGET_OPTIONS, ...options};
    this.#balance = Math.min(this.#options.initialRetries, this.#options.maxRetries);
  }

  /** Adds the share of one new request to the balance. */
  recordRequest(): void {
    const {retriesPerRequest, maxRetries} = this.#options;
    this.#balance = Math.min(this.#balance + retriesPerRequest, maxRetries);
  }

  /** Takes one retry from the balance; false where less than one is left. */
  tryAcquireRetry(): boolean {
    if (this.#balance < 1) {
      return false;
    }
    this.#balance -= 1;
    return true;
  }
}
