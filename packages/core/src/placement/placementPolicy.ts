/** A server that could run the next attempt, as the home of its backend sees it. */
export interface PlacementCandidate {
  readonly serverId: string;
  /** Estimated probability that an attempt that starts now fails, 0 to 1. */
  readonly risk: number;
  /** Attempts currently running on the server. */
  readonly running: number;
  /** Attempts started on the server in the last two seconds. */
  readonly recentStarts: number;
  /** Start of the newest attempt on the server, in ms; negative infinity for none. */
  readonly lastStartMs: number;
  /** True where the entry host has an idle connection to the server over a path that is not suspect. */
  readonly isConnected: boolean;
  /** True where the entry host and the server are in the same data centre. */
  readonly isLocal: boolean;
  /**
   * Time since a server that joined became warm, in ms, while it has had no attempt; undefined for all other
   * servers.
   */
  readonly newForMs: number | undefined;
  /**
   * Expected duration of an attempt that starts now, as a multiple of the typical one; undefined where it is not
   * known.
   */
  readonly speedFactor?: number | undefined;
}

/** What a policy may consider besides the candidates. */
export interface PlacementContext {
  readonly nowMs: number;
  /** Servers in service, with or without a free slot. */
  readonly serverCount: number;
  /** Size of the request's body, in bytes. */
  readonly bodyBytes: number;
  /** Share of the backend's recent attempts that failed, 0 to 1. */
  readonly failedShare: number;
  /** True where the attempt may be retried if it fails. */
  readonly isRepeatable: boolean;
  /** Share of the backend's recent requests that failed, were turned away or are overdue, 0 to 1. */
  readonly unservedShare: number;
  /** Share of the healthy servers on which an attempt started recently, 0 to 1; computed on demand. */
  readonly usedHealthyShare: () => number;
  /** True where the retry budget leaves room for attempts that may fail. */
  readonly hasSpareRetries: boolean;
  /**
   * Typical duration of the request as a share of the time that its target latency leaves beyond it; 0 where
   * durations do not count.
   */
  readonly slownessWeight?: number;
}

/** Selects the server of the next attempt; undefined where none should be used. */
export interface PlacementPolicy {
  /** Name of the policy in the log. */
  readonly name: string;
  select(
    candidates: readonly PlacementCandidate[],
    context: PlacementContext,
  ): PlacementCandidate | undefined;
}
