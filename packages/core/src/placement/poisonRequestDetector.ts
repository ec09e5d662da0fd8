/** Servers whose connections one request must break before it is blocked as the cause. */
const serversToBlock = 3;
/** Time for which a request that broke a connection is remembered, in ms. */
const retentionMs = 60_000;

/**
 * Detects poison requests, which crash the servers that run them. A request is identified by the digest of
 * its method, path, caller and body.
 */
export class PoisonRequestDetector {
  readonly #crashes = new Map<string, {serverIds: Set<string>; untilMs: number}>();

  /** Records that a server broke the connection while it ran a request. */
  recordCrash(requestDigest: string, serverId: string, nowMs: number): void {
    if (requestDigest === '') {
      return;
    }
    this.#removeExpired(nowMs);
    const crash = this.#crashes.get(requestDigest) ?? {serverIds: new Set(), untilMs: 0};
    crash.serverIds.add(serverId);
    crash.untilMs = nowMs + retentionMs;
    this.#crashes.set(requestDigest, crash);
  }

  /** Stops suspecting a request, because it was answered successfully. */
  clear(requestDigest: string): void {
    this.#crashes.delete(requestDigest);
  }

  /** True where the request broke the connections of too many servers to be sent to another one. */
  isBlocked(requestDigest: string, nowMs: number): boolean {
    const crash = this.#crashes.get(requestDigest);
    return crash !== undefined && crash.untilMs > nowMs && crash.serverIds.size >= serversToBlock;
  }

  /** Number of servers whose connections the request broke. */
  crashCount(requestDigest: string): number {
    return this.#crashes.get(requestDigest)?.serverIds.size ?? 0;
  }

  #removeExpired(nowMs: number): void {
    for (const [requestDigest, {untilMs}] of this.#crashes) {
      if (untilMs > nowMs) {
        return;
      }
      this.#crashes.delete(requestDigest);
    }
  }
}
