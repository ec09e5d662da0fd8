export interface RetryBudgetOptions {
  /** Retries earned by each request. Default: 0.1. */
  readonly retriesPerRequest: number;
  /** Retries that can be saved. Default: 20. */
  readonly maxSavedRetries: number;
  /** Retries saved at the start. Default: 5. */
  readonly firstRetries: number;
}

export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
  retriesPerRequest: 0.1,
  maxSavedRetries: 20,
  firstRetries: 5,
};

/**
 * Bounds retries to a share of the requests.
 *
 * Each host earns from its own requests, so that the share holds over the fleet without messages.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #saved: number;

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.#options = {...DEFAULT_RETRY_BUDGET_OPTIONS, ...options};
    this.#saved = Math.min(this.#options.firstRetries, this.#options.maxSavedRetries);
  }

  earn(): void {
    const {retriesPerRequest, maxSavedRetries} = this.#options;
    this.#saved = Math.min(this.#saved + retriesPerRequest, maxSavedRetries);
  }

  /** Spends one retry; false where none is left. */
  spend(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved -= 1;
    return true;
  }
}
