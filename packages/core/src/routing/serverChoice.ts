/** A backend server as a candidate for the next attempt. */
export interface ServerCandidate {
  readonly serverId: string;
  readonly origin: string;
  readonly dataCentre: string;
  /** Attempts that this host runs there now. */
  readonly runningAttempts: number;
  /** Share of its usual work that the server should get, 0 to 1. */
  readonly weight: number;
  /** True where the next repeatable request should go there, to try it. */
  readonly isTrial: boolean;
}

/** Chooses the backend server of the next attempt among those with a free slot. */
export interface ServerChoice {
  choose(candidates: readonly ServerCandidate[]): ServerCandidate | undefined;
}
