import type {DiscoveredServer, FleetDocument, RegistryChange} from '@godwitspring/document';

interface KnownServer {
  readonly server: DiscoveredServer;
  /** End of the server's cold time on the own clock, in ms. */
  readonly coldUntilMs: number;
}

interface Departure {
  readonly server: DiscoveredServer;
  readonly revision: number;
  readonly atMs: number;
  /** True where the server had not said before that it was draining. */
  readonly isSudden: boolean;
}

/** Departures kept for peers that ask for what is new; older askers get the whole view, in ms. */
const departureMemoryMs = 60_000;

/**
 * Entries may lapse while the registry is away though their server lives. For this time after a sudden
 * departure a server may serve as a last resort; it is below the shortest drain bound, in ms.
 */
const lapseGraceMs = 1_400;

/** What a host knows of the registry: the newest document, the servers and the data centres that are out. */
export class RegistryView {
  #document: FleetDocument | undefined;
  readonly #servers = new Map<string, KnownServer>();
  readonly #departures = new Map<string, Departure>();
  readonly #outOfService = new Map<string, boolean>();
  #revision = 0;
  /** Changes after this revision are all remembered. */
  #rememberedFrom = 0;

  get document(): FleetDocument | undefined {
    return this.#document;
  }

  get revision(): number {
    return this.#revision;
  }

  get outOfService(): string[] {
    return [...this.#outOfService].filter(([, isOut]) => isOut).map(([dataCentre]) => dataCentre);
  }

  /** Servers that have an entry, with the cold time that is left. */
  servers(nowMs: number): DiscoveredServer[] {
    return [...this.#servers.values()].map(({server, coldUntilMs}) => ({
      ...server,
      coldForMs: Math.max(0, coldUntilMs - nowMs),
    }));
  }

  /** Servers whose entry went away so lately that it may come back. */
  lapsed(nowMs: number): DiscoveredServer[] {
    const lapsed: DiscoveredServer[] = [];
    for (const {server, atMs, isSudden} of this.#departures.values()) {
      if (isSudden && nowMs - atMs < lapseGraceMs) {
        lapsed.push(server);
      }
    }
    return lapsed;
  }

  /** Applies changes up to a revision; true where anything but the document changed. */
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
        this.#takeDocument(change.document);
      }
    }
    if (revision < this.#revision) {
      return false;
    }
    let hasChanged = isWhole && this.#dropUnnamed(changes, revision, nowMs);
    for (const change of changes) {
      hasChanged = this.#applyOne(change, nowMs) || hasChanged;
    }
    this.#revision = revision;
    if (isWhole) {
      this.#rememberedFrom = Math.max(this.#rememberedFrom, revision);
    }
    this.#forgetOldDepartures(nowMs);
    return hasChanged;
  }

  /** What a peer that holds less is to be told. */
  changesSince(
    {documentVersion, revision}: {documentVersion: number; revision: number},
    nowMs: number,
  ): {isWhole: boolean; changes: RegistryChange[]} {
    const isWhole = revision < this.#rememberedFrom;
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
    for (const [serverId, departure] of this.#departures) {
      if (!isWhole && departure.revision > revision) {
        changes.push({kind: 'serverGone', serverId, revision: departure.revision});
      }
    }
    for (const [dataCentre, isOut] of this.#outOfService) {
      changes.push({kind: isOut ? 'dataCentreOut' : 'dataCentreBack', dataCentre});
    }
    return {isWhole, changes};
  }

  #takeDocument(document: FleetDocument): void {
    if (document.version > (this.#document?.version ?? 0)) {
      this.#document = document;
    }
  }

  #applyOne(change: RegistryChange, nowMs: number): boolean {
    switch (change.kind) {
      case 'document':
        return false;
      case 'server':
        return this.#takeServer(change.server, nowMs);
      case 'serverGone':
        return this.#dropServer(change.serverId, change.revision, nowMs);
      case 'dataCentreOut':
      case 'dataCentreBack': {
        const isOut = change.kind === 'dataCentreOut';
        const wasOut = this.#outOfService.get(change.dataCentre) ?? false;
        this.#outOfService.set(change.dataCentre, isOut);
        return isOut !== wasOut;
      }
    }
  }

  #takeServer(server: DiscoveredServer, nowMs: number): boolean {
    const known = this.#servers.get(server.id);
    if (known !== undefined && known.server.revision >= server.revision) {
      return false;
    }
    this.#departures.delete(server.id);
    this.#servers.set(server.id, {server, coldUntilMs: nowMs + server.coldForMs});
    return true;
  }

  #dropServer(serverId: string, revision: number, nowMs: number): boolean {
    const known = this.#servers.get(serverId);
    if (known === undefined || known.server.revision > revision) {
      return false;
    }
    this.#servers.delete(serverId);
    const isSudden = known.server.state === 'in-service';
    this.#departures.set(serverId, {server: known.server, revision, atMs: nowMs, isSudden});
    return true;
  }

  /** A whole read names all that is there: the rest is gone. */
  #dropUnnamed(changes: readonly RegistryChange[], revision: number, nowMs: number): boolean {
    const named = new Set<string>();
    const namedOut = new Set<string>();
    for (const change of changes) {
      if (change.kind === 'server') {
        named.add(change.server.id);
      }
      if (change.kind === 'dataCentreOut') {
        namedOut.add(change.dataCentre);
      }
    }
    let hasChanged = false;
    for (const serverId of [...this.#servers.keys()]) {
      if (!named.has(serverId)) {
        hasChanged = this.#dropServer(serverId, revision, nowMs) || hasChanged;
      }
    }
    for (const dataCentre of this.outOfService) {
      if (!namedOut.has(dataCentre)) {
        this.#outOfService.set(dataCentre, false);
        hasChanged = true;
      }
    }
    return hasChanged;
  }

  #forgetOldDepartures(nowMs: number): void {
    for (const [serverId, {atMs, revision}] of this.#departures) {
      if (nowMs - atMs > departureMemoryMs) {
        this.#departures.delete(serverId);
        this.#rememberedFrom = Math.max(this.#rememberedFrom, revision);
      }
    }
  }
}
