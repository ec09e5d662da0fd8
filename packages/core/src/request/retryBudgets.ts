import {RetryBudget} from './retryBudget.ts';
import type {RetryBudgetOptions} from './retryBudget.ts';
import type {RetryCause, RetryGuard} from './retryGuard.ts';

export type RetryBudgetsOptions = Readonly<Record<RetryCause, RetryBudgetOptions>>;

export const DEFAULT_RETRY_BUDGETS_OPTIONS: RetryBudgetsOptions = {
  failure: {retriesPerRequest: 0.1, maxSavedRetries: 20, firstRetries: 5},
  shed: {retriesPerRequest: 0.3, maxSavedRetries: 50, firstRetries: 10},
  unreachable: {retriesPerRequest: 0.5, maxSavedRetries: 100, firstRetries: 20},
};

/** One budget for each cause, so that sheds do not use up what failures may cost, nor the reverse. */
export class RetryBudgets implements RetryGuard {
  readonly #budgets: Readonly<Record<RetryCause, RetryBudget>>;

  constructor({failure, shed, unreachable}: RetryBudgetsOptions = DEFAULT_RETRY_BUDGETS_OPTIONS) {
    this.#budgets = {
      failure: new RetryBudget(failure),
      shed: new RetryBudget(shed),
      unreachable: new RetryBudget(unreachable),
    };
  }

  earn(): void {
    for (const budget of Object.values(this.#budgets)) {
      budget.earn();
    }
  }

  /** Spends one retry; false where the budget of the cause is used up. */
  spend(cause: RetryCause): boolean {
    return this.#budgets[cause].spend();
  }
}
