/** Servers to which no connection could be opened from which on the host counts as cut off. */
const serversToCount = 2;
/** Time in which these failures must fall, in ms. */
const evidenceMs = 3_000;

/**
 * Tells whether this host is cut off from the backend servers, by whether new connections to them open.
 *
 * Load pattern: a host reaches its callers, the registry and the other hosts, but no backend server. Connections to
 * servers hang, are reset, or live on while new ones are refused.
 */
export class ServerReachability {
  readonly #failedAtMs = new Map<string, number>();
  #isCutOff = false;

  /** True from the moment at which connections to several servers failed until one opens. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Records whether a connection to a server opened; returns true where `isCutOff` changed. */
  recordDial(serverId: string, isConnected: boolean, nowMs: number): boolean {
    const wasCutOff = this.#isCutOff;
    if (isConnected) {
      this.#failedAtMs.clear();
      this.#isCutOff = false;
      return wasCutOff;
    }
    this.#failedAtMs.set(serverId, nowMs);
    for (const [failedId, atMs] of this.#failedAtMs) {
      if (nowMs - atMs > evidenceMs) {
        this.#failedAtMs.delete(failedId);
      }
    }
    this.#isCutOff ||= this.#failedAtMs.size >= serversToCount;
    return this.#isCutOff !== wasCutOff;
  }
}
