/** Why a request is sent again: failed, late, not taken or not reached at all. */
export type RetryCause = 'failure' | 'shed' | 'unreachable';

/** Decides at the host whether a request may be sent again. */
export interface RetryGuard {
  /** Counts a new request. */
  earn(): void;
  /** Spends one retry; false where none is left for the cause. */
  spend(cause: RetryCause): boolean;
}

/** Leaves the decision to the home of the backend, which counts the repeats of the whole fleet. */
export class HomeRetryGuard implements RetryGuard {
  earn(): void {
    // The home counts requests.
  }

  spend(): boolean {
    return true;
  }
}
