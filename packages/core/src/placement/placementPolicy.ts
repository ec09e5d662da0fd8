/** A server that could take the next attempt, as the home of its backend sees it. */
export interface PlacementCandidate {
  readonly serverId: string;
  /** Likelihood that an attempt that starts now fails, 0 to 1. */
  readonly risk: number;
  /** Attempts that run there. */
  readonly running: number;
  /** Attempts started there in the last two seconds. */
  readonly recentStarts: number;
  /** Start of the newest attempt there, in ms; negative infinity for none. */
  readonly lastStartMs: number;
  /** True where the asking host has an idle connection to the server. */
  readonly isConnected: boolean;
  /** True where host and server stand in the same data centre. */
  readonly isLocal: boolean;
}

/** What a policy may consider besides the candidates. */
export interface PlacementSituation {
  readonly nowMs: number;
  /** Servers in service, with a free slot or without. */
  readonly serverCount: number;
  /** Size of the request's body, in bytes. */
  readonly bodyBytes: number;
  /** Share of the backend's attempts of the last seconds that failed, 0 to 1. */
  readonly failedShare: number;
  /** True where the fleet has repeats to spare for attempts that may fail. */
  readonly hasSpareRepeats: boolean;
}

/** Chooses the server of the next attempt. */
export interface PlacementPolicy {
  choose(
    candidates: readonly PlacementCandidate[],
    situation: PlacementSituation,
  ): PlacementCandidate | undefined;
}
