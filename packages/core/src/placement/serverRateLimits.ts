/** A limit that a server named. */
interface NamedLimit {
  readonly perSecond: number;
  /** When the server last named it, in ms. */
  readonly namedAtMs: number;
  /** Moment up to which the rate is used up by the attempts started so far, in ms. */
  usedUpToMs: number;
}

/**
 * Part of the limit that may be used in advance, in ms: evenly spaced attempts, but for a few that arrive
 * together.
 */
const burstMs = 500;
/**
 * Lowest rate at which attempts are sent to a server, in requests per second. A server that names less, such as
 * 0, is still tried now and then: only a response tells that the limit is over.
 */
const minPerSecond = 0.2;

/**
 * Spaces the attempts on servers that name a limit on the requests per second.
 *
 * Load pattern: some servers are overloaded and name a limit far below the rate that their free slots admit. Their
 * responses stay fast, so that neither risk nor slots hold attempts back.
 */
export class ServerRateLimits {
  readonly #limits = new Map<string, NamedLimit>();

  /** Limit of a server, in requests per second; undefined where it names none. */
  perSecond(serverId: string): number | undefined {
    return this.#limits.get(serverId)?.perSecond;
  }

  /** Records a limit that a server named at a moment; `share` is the part of it that may be used here, 0 to 1. */
  recordLimit(
    serverId: string,
    {perSecond, namedAtMs, share}: {perSecond: number; namedAtMs: number; share: number},
    nowMs: number,
  ): void {
    const current = this.#limits.get(serverId);
    if (current !== undefined && current.namedAtMs > namedAtMs) {
      return;
    }
    const usedUpToMs = current?.usedUpToMs ?? nowMs + intervalMs(perSecond, share);
    this.#limits.set(serverId, {perSecond, namedAtMs, usedUpToMs});
  }

  /** Records a response without a limit to an attempt; a limit that was named since its start stays in force. */
  recordNoLimit(serverId: string, attemptStartedAtMs: number): void {
    const current = this.#limits.get(serverId);
    if (current !== undefined && attemptStartedAtMs >= current.namedAtMs) {
      this.#limits.delete(serverId);
    }
  }

  /** True where the limit of a server, if it has one, leaves room for an attempt that starts now. */
  mayStart(serverId: string, nowMs: number): boolean {
    const limit = this.#limits.get(serverId);
    return limit === undefined || nowMs >= limit.usedUpToMs - burstMs;
  }

  /** Counts an attempt that starts now. */
  recordStart(serverId: string, share: number, nowMs: number): void {
    const limit = this.#limits.get(serverId);
    if (limit !== undefined) {
      limit.usedUpToMs = Math.max(nowMs, limit.usedUpToMs) + intervalMs(limit.perSecond, share);
    }
  }

  /** Takes back an attempt that was counted but never ran. */
  cancelStart(serverId: string, share: number): void {
    const limit = this.#limits.get(serverId);
    if (limit !== undefined) {
      limit.usedUpToMs -= intervalMs(limit.perSecond, share);
    }
  }

  /** Drops the limits of servers that are not listed any more. */
  retainServers(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.#limits.keys()) {
      if (!serverIds.has(serverId)) {
        this.#limits.delete(serverId);
      }
    }
  }
}

/** Time between attempts at the part of a limit that may be used, in ms. */
function intervalMs(perSecond: number, share: number): number {
  return 1_000 / (Math.max(minPerSecond, perSecond) * share);
}
