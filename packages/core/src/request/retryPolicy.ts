/**
 * Why a request is sent again.
 *
 * - `failure`: an attempt failed, or is late and gets a hedged attempt.
 * - `shed`: the server refused the request without running it, or another server had its address.
 * - `unreachable`: no connection to the server was made.
 */
export type RetryCause = 'failure' | 'shed' | 'unreachable';

/** Decides on the entry host whether a request may be retried or hedged. */
export interface RetryPolicy {
  /** Records a new request, which may add to the retries allowed. */
  recordRequest(): void;
  /** Takes one retry for the cause; false where none is left. */
  tryAcquireRetry(cause: RetryCause): boolean;
}

/**
 * Allows every retry on the entry host and leaves the limit to the home of the backend.
 *
 * The home is the host that decides for the whole fleet, so it can count the retries of all hosts.
 */
export class HomeRetryPolicy implements RetryPolicy {
  recordRequest(): void {
    // The home of the backend counts the requests.
  }

  tryAcquireRetry(): boolean {
    return true;
  }
}
