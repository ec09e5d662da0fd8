import type {DiscoveredServer, FleetDocument, RegistryChange} from '@godwitspring/document';

/** A backend server that has an entry in the registry. */
interface RegisteredServer {
  readonly server: DiscoveredServer;
  /** When the server stops being cold (see `coldRequestsPerSecond`), on the own clock, in ms. */
  readonly coldUntilMs: number;
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
}

/**
 * Time for which removals are stored for peers that query the changes, in ms; a peer whose revision is older
 * gets the whole view.
 */
const removalMemoryMs = 60_000;

/**
 * Time after an unannounced removal for which the server may still be used as a last resort, in ms. Entries
 * may expire while the registry is unavailable although their server still runs. The time is below the
 * shortest time that operators set for a server to drain.
 */
const lapseGraceMs = 1_400;

/**
 * A host's copy of the registry: the newest document, the registered servers and the data centres that are
 * out of service.
 */
export class RegistryView {
  #document: FleetDocument | undefined;
  readonly #servers = new Map<string, RegisteredServer>();
  readonly #removedServers = new Map<string, RemovedServer>();
  readonly #outOfService = new Map<string, boolean>();
  #revision = 0;
  /** Oldest revision after which every change can still be listed. */
  #historyFromRevision = 0;

  /** Newest document received; undefined before the first. */
  get document(): FleetDocument | undefined {
    return this.#document;
  }

  /** Registry revision that the view reflects; 0 before the first update. */
  get revision(): number {
    return this.#revision;
  }

  /** Data centres that operators took out of service. */
  get outOfService(): string[] {
    return [...this.#outOfService].filter(([, isOut]) => isOut).map(([dataCentre]) => dataCentre);
  }

  /** Servers that have a registry entry, each with the cold time that remains. */
  servers(nowMs: number): DiscoveredServer[] {
    return [...this.#servers.values()].map(({server, coldUntilMs}) => ({
      ...server,
      coldForMs: Math.max(0, coldUntilMs - nowMs),
    }));
  }

  /** Servers whose entry was removed unannounced so lately that it may come back; usable as a last resort. */
  lapsedServers(nowMs: number): DiscoveredServer[] {
    const lapsedServers: DiscoveredServer[] = [];
    for (const {server, removedAtMs, isUnannounced} of this.#removedServers.values()) {
      if (isUnannounced && nowMs - removedAtMs < lapseGraceMs) {
        lapsedServers.push(server);
      }
    }
    return lapsedServers;
  }

  /**
   * Applies changes up to a revision; returns true if servers or data centres changed. If `isWhole`, the
   * changes list everything that the registry holds, and whatever they leave out is removed.
   */
  apply(
    {
      isWhole,
      revision,
      changes,
    }: {isWhole: boolean; revision: number; changes: readonly RegistryChange[]},
    nowMs: number,
  ): boolean {
    for (const change of changes) {
      if (change.kind === 'document') {
        this.#applyDocument(change.document);
      }
    }
    if (revision < this.#revision) {
      return false;
    }
    let hasChanged = isWhole && this.#removeUnlisted(changes, revision, nowMs);
    for (const change of changes) {
      hasChanged = this.#applyChange(change, nowMs) || hasChanged;
    }
    this.#revision = revision;
    if (isWhole) {
      this.#historyFromRevision = Math.max(this.#historyFromRevision, revision);
    }
    this.#discardOldRemovals(nowMs);
    return hasChanged;
  }

  /** Changes that a peer with the given document version and revision lacks. */
  changesSince(
    {documentVersion, revision}: {documentVersion: number; revision: number},
    nowMs: number,
  ): {isWhole: boolean; changes: RegistryChange[]} {
    const isWhole = revision < this.#historyFromRevision;
    const changes: RegistryChange[] = [];
    if (this.#document !== undefined && this.#document.version > documentVersion) {
      changes.push({kind: 'document', document: this.#document});
    }
    if (revision >= this.#revision) {
      return {isWhole: false, changes};
    }
    for (const server of this.servers(nowMs)) {
      if (isWhole || server.revision > revision) {
        changes.push({kind: 'server', server});
      }
    }
    for (const [serverId, removed] of this.#removedServers) {
      if (!isWhole && removed.revision > revision) {
        changes.push({kind: 'serverGone', serverId, revision: removed.revision});
      }
    }
    for (const [dataCentre, isOut] of this.#outOfService) {
      changes.push({kind: isOut ? 'dataCentreOut' : 'dataCentreBack', dataCentre});
    }
    return {isWhole, changes};
  }

  #applyDocument(document: FleetDocument): void {
    if (document.version > (this.#document?.version ?? 0)) {
      this.#document = document;
    }
  }

  #applyChange(change: RegistryChange, nowMs: number): boolean {
    switch (change.kind) {
      case 'document':
        return false;
      case 'server':
        return this.#applyServer(change.server, nowMs);
      case 'serverGone':
        return this.#removeServer(change.serverId, change.revision, nowMs);
      case 'dataCentreOut':
      case 'dataCentreBack': {
        const isOut = change.kind === 'dataCentreOut';
        const wasOut = this.#outOfService.get(change.dataCentre) ?? false;
        this.#outOfService.set(change.dataCentre, isOut);
        return isOut !== wasOut;
      }
    }
  }

  #applyServer(server: DiscoveredServer, nowMs: number): boolean {
    const current = this.#servers.get(server.id);
    if (current !== undefined && current.server.revision >= server.revision) {
      return false;
    }
    this.#removedServers.delete(server.id);
    this.#servers.set(server.id, {server, coldUntilMs: nowMs + server.coldForMs});
    return true;
  }

  #removeServer(serverId: string, revision: number, nowMs: number): boolean {
    const current = this.#servers.get(serverId);
    if (current === undefined || current.server.revision > revision) {
      return false;
    }
    this.#servers.delete(serverId);
    const isUnannounced = current.server.state === 'in-service';
    this.#removedServers.set(serverId, {
      server: current.server,
      revision,
      removedAtMs: nowMs,
      isUnannounced,
    });
    return true;
  }

  /** Removes what a read of the whole registry does not list. */
  #removeUnlisted(changes: readonly RegistryChange[], revision: number, nowMs: number): boolean {
    const listedServerIds = new Set<string>();
    const listedOutOfService = new Set<string>();
    for (const change of changes) {
      if (change.kind === 'server') {
        listedServerIds.add(change.server.id);
      }
      if (change.kind === 'dataCentreOut') {
        listedOutOfService.add(change.dataCentre);
      }
    }
    let hasChanged = false;
    for (const serverId of [...this.#servers.keys()]) {
      if (!listedServerIds.has(serverId)) {
        hasChanged = this.#removeServer(serverId, revision, nowMs) || hasChanged;
      }
    }
    for (const dataCentre of this.outOfService) {
      if (!listedOutOfService.has(dataCentre)) {
        this.#outOfService.set(dataCentre, false);
        hasChanged = true;
      }
    }
    return hasChanged;
  }

  #discardOldRemovals(nowMs: number): void {
    for (const [serverId, {removedAtMs, revision}] of this.#removedServers) {
      if (nowMs - removedAtMs > removalMemoryMs) {
        this.#removedServers.delete(serverId);
        this.#historyFromRevision = Math.max(this.#historyFromRevision, revision);
      }
    }
  }
}
