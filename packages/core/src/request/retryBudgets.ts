import {RetryBudget} from './retryBudget.ts';
import type {RetryBudgetOptions} from './retryBudget.ts';
import type {RetryCause, RetryPolicy} from './retryPolicy.ts';

/** Options of the retry budget of each cause. */
export type RetryBudgetsOptions = Readonly<Record<RetryCause, RetryBudgetOptions>>;

export const DEFAULT_RETRY_BUDGETS_OPTIONS: RetryBudgetsOptions = {
  failure: {retriesPerRequest: 0.1, maxRetries: 20, initialRetries: 5},
  shed: {retriesPerRequest: 0.3, maxRetries: 50, initialRetries: 10},
  unreachable: {retriesPerRequest: 0.5, maxRetries: 100, initialRetries: 20},
};

/** Retry policy of one host: a budget for each cause, so that one cause cannot use up the retries of another. */
export class RetryBudgets implements RetryPolicy {
  readonly #budgets: Readonly<Record<RetryCause, RetryBudget>>;

  constructor({failure, shed, unreachable}: RetryBudgetsOptions = DEFAULT_RETRY_BUDGETS_OPTIONS) {
    this.#budgets = {
      failure: new RetryBudget(failure),
      shed: new RetryBudget(shed),
      unreachable: new RetryBudget(unreachable),
    };
  }

  recordRequest(): void {
    for (const budget of Object.values(this.#budgets)) {
      budget.recordRequest();
    }
  }

  /** Takes one retry from the budget of the cause; false where it is used up. */
  tryAcquireRetry(cause: RetryCause): boolean {
    return this.#budgets[cause].tryAcquireRetry();
  }
}
