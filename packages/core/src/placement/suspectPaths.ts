/**
 * Time for which the paths of a host stay suspect after a server was silent to it but answered others, in ms:
 * network cuts last some ten seconds.
 */
const suspicionMs = 8_000;
/**
 * Successes of other hosts, started after the silent attempt, that show that the path failed and not the
 * server.
 */
const successesToBlamePath = 2;
/** Time for which a silent attempt is retained to be compared with such successes, in ms. */
const silenceRetentionMs = 3_000;
/** Successes retained for each server: enough to find those of other hosts. */
const retainedSuccesses = 4;

/** An attempt of a host, by the time at which it started. */
interface HostAttempt {
  readonly hostId: string;
  readonly startedAtMs: number;
}

/** A host whose network paths are suspect. */
interface SuspectHost {
  untilMs: number;
  /** Servers that answered the host since its paths became suspect. */
  readonly respondingServerIds: Set<string>;
}

/**
 * Tracks hosts whose network paths to servers are suspect: a server was silent to them but answered others.
 *
 * Load pattern: packets between some hosts and some servers are lost, in one direction or both, while all
 * hosts still reach each other. The servers look healthy to the rest of the fleet, and every request that
 * such a host sends over an existing connection is lost. A new connection shows at once whether the path
 * works.
 */
export class SuspectPaths {
  readonly #suspectHosts = new Map<string, SuspectHost>();
  readonly #successes = new Map<string, HostAttempt[]>();
  readonly #silentAttempts = new Map<string, HostAttempt[]>();
  /** When a server was last found silent to each host, in ms. */
  readonly #lastSilenceAtMsByHost = new Map<string, number>();

  /** Records that a server answered an attempt of a host. */
  recordSuccess(serverId: string, attempt: HostAttempt, nowMs: number): void {
    this.#suspectHosts.get(attempt.hostId)?.respondingServerIds.add(serverId);
    const successes = this.#successes.get(serverId) ?? [];
    successes.push(attempt);
    this.#successes.set(serverId, successes.slice(-retainedSuccesses));
    this.#evaluate(serverId, nowMs);
  }

  /** Records that a server was silent to an attempt of a host, or could not be reached. */
  recordSilence(serverId: string, attempt: HostAttempt, nowMs: number): void {
    this.#suspectHosts.get(attempt.hostId)?.respondingServerIds.delete(serverId);
    this.#lastSilenceAtMsByHost.set(attempt.hostId, nowMs);
    const silentAttempts = this.#silentAttempts.get(serverId) ?? [];
    silentAttempts.push(attempt);
    this.#silentAttempts.set(serverId, silentAttempts);
    this.#evaluate(serverId, nowMs);
  }

  /** Removes the records of servers that no longer exist. */
  retainServers(serverIds: ReadonlySet<string>): void {
    for (const attemptsByServer of [this.#successes, this.#silentAttempts]) {
      for (const serverId of attemptsByServer.keys()) {
        if (!serverIds.has(serverId)) {
          attemptsByServer.delete(serverId);
        }
      }
    }
  }

  /** True where an attempt of a host on a server may be lost on the network path. */
  isSuspect(hostId: string, serverId: string, nowMs: number): boolean {
    const host = this.#suspectHosts.get(hostId);
    return host !== undefined && host.untilMs > nowMs && !host.respondingServerIds.has(serverId);
  }

  /** True where a server was silent to a host so recently that its paths to others may be cut as well. */
  hadRecentSilence(hostId: string, nowMs: number): boolean {
    const lastSilenceAtMs = this.#lastSilenceAtMsByHost.get(hostId) ?? Number.NEGATIVE_INFINITY;
    return nowMs - lastSilenceAtMs < silenceRetentionMs;
  }

  /** Marks the paths of each host suspect to which the server was silent while it answered others. */
  #evaluate(serverId: string, nowMs: number): void {
    const silentAttempts = (this.#silentAttempts.get(serverId) ?? []).filter(
      ({startedAtMs}) => nowMs - startedAtMs < silenceRetentionMs,
    );
    const unexplained: HostAttempt[] = [];
    for (const attempt of silentAttempts) {
      if (this.#isAnsweringOthers(serverId, attempt)) {
        this.#markSuspect(attempt.hostId, nowMs);
      } else {
        unexplained.push(attempt);
      }
    }
    if (unexplained.length === 0) {
      this.#silentAttempts.delete(serverId);
    } else {
      this.#silentAttempts.set(serverId, unexplained);
    }
  }

  /** True where the server answered enough attempts that other hosts started after the silent one. */
  #isAnsweringOthers(serverId: string, {hostId, startedAtMs}: HostAttempt): boolean {
    let count = 0;
    for (const success of this.#successes.get(serverId) ?? []) {
      count += success.hostId !== hostId && success.startedAtMs >= startedAtMs ? 1 : 0;
    }
    return count >= successesToBlamePath;
  }

  #markSuspect(hostId: string, nowMs: number): void {
    for (const [otherId, {untilMs}] of this.#suspectHosts) {
      if (untilMs <= nowMs) {
        this.#suspectHosts.delete(otherId);
      }
    }
    const host = this.#suspectHosts.get(hostId) ?? {untilMs: 0, respondingServerIds: new Set()};
    host.untilMs = nowMs + suspicionMs;
    this.#suspectHosts.set(hostId, host);
  }
}
