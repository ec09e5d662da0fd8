/** A backend server as a candidate for the next attempt. */
export interface ServerCandidate {
  readonly serverId: string;
  readonly origin: string;
  readonly dataCentre: string;
  /** Attempts that this host runs on the server now. */
  readonly runningAttempts: number;
  /** Share of its normal load that the server should get, 0 to 1. */
  readonly weight: number;
  /** True where the next retryable request should go to the server as a trial request, to probe it. */
  readonly isTrial: boolean;
}

/** Load-balancing policy: selects the backend server of the next attempt among those with a free slot. */
export interface LoadBalancingPolicy {
  select(candidates: readonly ServerCandidate[]): ServerCandidate | undefined;
}
