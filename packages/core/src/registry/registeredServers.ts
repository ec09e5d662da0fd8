import type {DiscoveredServer} from '@godwitspring/document';

/** A backend server that has an entry in the registry. */
interface RegisteredServer {
  readonly server: DiscoveredServer;
  /** When the server stops being cold (see `coldRequestsPerSecond`), on the own clock, in ms. */
  readonly coldUntilMs: number;
  /**
   * Until when the server is used although the registry, which returned from a copy, does not list it, on the own
   * clock, in ms; undefined where the registry lists it.
   */
  readonly unconfirmedUntilMs: number | undefined;
}

/** A backend server whose registry entry was removed lately. */
interface RemovedServer {
  readonly server: DiscoveredServer;
  /** Registry revision of the removal. */
  readonly revision: number;
  /** When this host received the removal, on the own clock, in ms. */
  readonly removedAtMs: number;
  /** True if the server had not announced before that it was draining. */
  readonly isUnannounced: boolean;
  /** True if the registry returned from a copy since, which may list the server again. */
  readonly isOfFormerEpoch: boolean;
}

/** The removal of an entry. */
export interface ServerRemoval {
  readonly serverId: string;
  readonly revision: number;
  /** Last entry of the server; undefined if unknown. */
  readonly server?: DiscoveredServer | undefined;
}

/** Time for which removals are stored for peers that query the changes, in ms. */
const removalMemoryMs = 60_000;

/**
 * Time after an unannounced removal for which the server may still be used as a last resort, in ms. Entries
 * may expire while the registry is unavailable although their server still runs. The time is below the
 * shortest time that operators set for a server to drain.
 */
const lapseGraceMs = 1_400;

/** Time in which a running server writes its entry again after the registry returned from a copy, in ms. */
const restatementMs = 2_000;

/** Whether one entry of a server was written before another, by what the server states: its start and its writes. */
function isStatedBefore(one: DiscoveredServer, other: DiscoveredServer): boolean {
  const {startedAtUnixMs: oneStartMs = 0, writeCount: oneWrites = 0} = one;
  const {startedAtUnixMs: otherStartMs = 0, writeCount: otherWrites = 0} = other;
  if (oneStartMs !== otherStartMs) {
    return oneStartMs < otherStartMs;
  }
  if (oneWrites !== otherWrites) {
    return oneWrites < otherWrites;
  }
  return one.state === 'in-service' && other.state === 'draining';
}

/**
 * The backend servers that the registry lists, and those that it removed lately.
 *
 * Where the registry returns from a copy, it lists servers as they were before. What a server stated last then
 * holds on: a server that was draining or had left is not used because an old entry of it is back, and a server
 * that joined since is used until it has had the time to register again.
 */
export class RegisteredServers {
  readonly #servers = new Map<string, RegisteredServer>();
  readonly #removedServers = new Map<string, RemovedServer>();

  /** Servers that have an entry, each with the cold time that remains. */
  list(nowMs: number): DiscoveredServer[] {
    return [...this.#servers.values()].map(({server, coldUntilMs}) => ({
      ...server,
      coldForMs: Math.max(0, coldUntilMs - nowMs),
    }));
  }

  /** True if the registry does not list a server that is used, since it returned from a copy. */
  isUnconfirmed(serverId: string): boolean {
    return this.#servers.get(serverId)?.unconfirmedUntilMs !== undefined;
  }

  /** Servers whose entry was removed unannounced so lately that it may come back; usable as a last resort. */
  listLapsed(nowMs: number): DiscoveredServer[] {
    const lapsedServers: DiscoveredServer[] = [];
    for (const {server, removedAtMs, isUnannounced} of this.#removedServers.values()) {
      if (isUnannounced && nowMs - removedAtMs < lapseGraceMs) {
        lapsedServers.push(server);
      }
    }
    return lapsedServers;
  }

  /** Removals after a revision. */
  removalsAfter(revision: number): ServerRemoval[] {
    const removals: ServerRemoval[] = [];
    for (const [serverId, removed] of this.#removedServers) {
      if (!removed.isOfFormerEpoch && removed.revision > revision) {
        removals.push({serverId, revision: removed.revision, server: removed.server});
      }
    }
    return removals;
  }

  /** Begins a new epoch: the registry returned from a copy, and no longer vouches for any entry. */
  beginEpoch(nowMs: number): void {
    for (const [serverId, registered] of this.#servers) {
      const server = {...registered.server, revision: 0};
      const unconfirmedUntilMs = nowMs + restatementMs;
      this.#servers.set(serverId, {...registered, server, unconfirmedUntilMs});
    }
    for (const [serverId, removed] of this.#removedServers) {
      this.#removedServers.set(serverId, {...removed, isOfFormerEpoch: true});
    }
  }

  /** Adds or updates an entry; returns true if the servers changed. */
  set(server: DiscoveredServer, nowMs: number): boolean {
    const current = this.#servers.get(server.id);
    const isUnconfirmed = current?.unconfirmedUntilMs !== undefined;
    if (current !== undefined && isUnconfirmed && isStatedBefore(server, current.server)) {
      // The registry lists an old entry: the server is there, in its newest known state.
      const known = {...current.server, revision: server.revision};
      this.#servers.set(server.id, {...current, server: known, unconfirmedUntilMs: undefined});
      return true;
    }
    if (current !== undefined && !isUnconfirmed && !isNewer(server, current.server)) {
      return false;
    }
    const removed = this.#removedServers.get(server.id);
    if (removed?.isOfFormerEpoch === true && !isStatedBefore(removed.server, server)) {
      return false;
    }
    this.#removedServers.delete(server.id);
    this.#servers.set(server.id, {
      server,
      coldUntilMs: nowMs + server.coldForMs,
      unconfirmedUntilMs: undefined,
    });
    return true;
  }

  /** Adds a server that another host uses although the registry does not list it; returns true if it was added. */
  setUnconfirmed(server: DiscoveredServer, nowMs: number): boolean {
    if (this.#servers.has(server.id) || this.#removedServers.has(server.id)) {
      return false;
    }
    this.#servers.set(server.id, {
      server: {...server, revision: 0},
      coldUntilMs: nowMs + server.coldForMs,
      unconfirmedUntilMs: nowMs + restatementMs,
    });
    return true;
  }

  /** Removes an entry; returns true if there was one. */
  remove({serverId, revision, server}: ServerRemoval, nowMs: number): boolean {
    const current = this.#servers.get(serverId);
    if (current === undefined && server !== undefined && !this.#removedServers.has(serverId)) {
      this.#rememberRemoval(server, revision, nowMs);
      return false;
    }
    if (current === undefined || current.server.revision > revision) {
      return false;
    }
    this.#servers.delete(serverId);
    this.#removedServers.set(serverId, {
      server: current.server,
      revision,
      removedAtMs: nowMs,
      isUnannounced: current.server.state === 'in-service',
      isOfFormerEpoch: false,
    });
    return true;
  }

  /** Records that a server left before this host knew it. */
  #rememberRemoval(server: DiscoveredServer, revision: number, nowMs: number): void {
    this.#removedServers.set(server.id, {
      server,
      revision,
      removedAtMs: nowMs,
      isUnannounced: false,
      isOfFormerEpoch: false,
    });
  }

  /** Removes the servers that a read of the whole registry does not list; returns true if there were any. */
  removeUnlisted(listedIds: ReadonlySet<string>, revision: number, nowMs: number): boolean {
    let hasChanged = false;
    for (const [serverId, {unconfirmedUntilMs}] of [...this.#servers]) {
      if (unconfirmedUntilMs === undefined && !listedIds.has(serverId)) {
        hasChanged = this.remove({serverId, revision}, nowMs) || hasChanged;
      }
    }
    return hasChanged;
  }

  /** Removes servers that did not register again in time; returns true if there were any. */
  removeExpired(revision: number, nowMs: number): boolean {
    let hasChanged = false;
    for (const [serverId, {unconfirmedUntilMs}] of [...this.#servers]) {
      if (unconfirmedUntilMs !== undefined && unconfirmedUntilMs <= nowMs) {
        hasChanged = this.remove({serverId, revision}, nowMs) || hasChanged;
      }
    }
    return hasChanged;
  }

  /** Forgets old removals; returns the newest revision of those forgotten, 0 for none. */
  discardOldRemovals(nowMs: number): number {
    let newestRevision = 0;
    for (const [serverId, {removedAtMs, revision, isOfFormerEpoch}] of this.#removedServers) {
      if (nowMs - removedAtMs > removalMemoryMs) {
        this.#removedServers.delete(serverId);
        newestRevision = isOfFormerEpoch ? newestRevision : Math.max(newestRevision, revision);
      }
    }
    return newestRevision;
  }
}

/** True if an entry replaces another one of the same epoch. */
function isNewer(one: DiscoveredServer, other: DiscoveredServer): boolean {
  return one.revision === other.revision
    ? isStatedBefore(other, one)
    : one.revision > other.revision;
}
