import type {DiscoveredServer, FleetDocument, RegistryChange} from '@godwitspring/document';
import {DataCentreOutages} from './dataCentreOutages.ts';
import type {OutageChange} from './dataCentreOutages.ts';
import {RegisteredServers} from './registeredServers.ts';
import {isAfter} from './registryPosition.ts';
import type {RegistryPosition} from './registryPosition.ts';

/** Changes of the registry up to a position. */
export interface RegistryUpdate extends RegistryPosition {
  /** True if the changes list everything that the registry holds; whatever they leave out is gone. */
  readonly isWhole: boolean;
  readonly changes: readonly RegistryChange[];
  /** Whether the newest document cannot be read; undefined if the changes do not tell. */
  readonly isDocumentUnreadable?: boolean | undefined;
}

/** What a host has already, as it states in a query. */
export interface KnownRegistry extends RegistryPosition {
  readonly documentVersion: number;
  /** True if the peer needs everything, whatever its position. Default: false. */
  readonly needsWhole?: boolean;
}

/**
 * A host's copy of the registry: the newest document, the registered servers and the data centres that are
 * out of service.
 *
 * The registry may return from an earlier copy of itself, which begins a new epoch: what it holds then is older than
 * what this host knows, until operators and servers have published again (see `RegisteredServers`,
 * `DataCentreOutages`). The document only ever changes to a greater version.
 */
export class RegistryView {
  #document: FleetDocument | undefined;
  #isDocumentUnreadable = false;
  readonly #servers = new RegisteredServers();
  readonly #outages = new DataCentreOutages();
  #position: RegistryPosition = {epoch: 0, revision: 0};
  /** Oldest revision of the epoch after which every change can still be listed. */
  #historyFromRevision = 0;

  /** Newest document received; undefined before the first. */
  get document(): FleetDocument | undefined {
    return this.#document;
  }

  /** True if the registry holds a newer document that cannot be read, so that it is unknown which keys are in force. */
  get isDocumentUnreadable(): boolean {
    return this.#isDocumentUnreadable;
  }

  /** Position in the history of the registry that the view reflects. */
  get position(): RegistryPosition {
    return this.#position;
  }

  /** Data centres that operators took out of service. */
  get outOfService(): string[] {
    return this.#outages.outOfService;
  }

  /** Servers that have a registry entry, each with the cold time that remains. */
  servers(nowMs: number): DiscoveredServer[] {
    return this.#servers.list(nowMs);
  }

  /** Servers whose entry was removed unannounced so lately that it may come back; usable as a last resort. */
  lapsedServers(nowMs: number): DiscoveredServer[] {
    return this.#servers.listLapsed(nowMs);
  }

  /**
   * Applies changes up to a position; returns true if servers or data centres changed. Changes of a new epoch are
   * ignored until everything that the registry holds in it is known.
   */
  apply(update: RegistryUpdate, nowMs: number): boolean {
    const {isWhole, epoch, revision, changes} = update;
    for (const change of changes) {
      if (change.kind === 'document') {
        this.#applyDocument(change.document);
      }
    }
    const isNewEpoch = epoch > this.#position.epoch;
    if (isAfter(this.#position, update) || (isNewEpoch && !isWhole)) {
      return false;
    }
    if (isNewEpoch) {
      this.#servers.beginEpoch(nowMs);
      this.#outages.beginEpoch(nowMs);
    }
    let hasChanged = isWhole && this.#removeUnlisted(changes, revision, nowMs);
    for (const change of changes) {
      hasChanged = this.#applyChange(change, nowMs) || hasChanged;
    }
    this.#position = {epoch, revision};
    this.#isDocumentUnreadable = update.isDocumentUnreadable ?? this.#isDocumentUnreadable;
    if (isWhole) {
      this.#historyFromRevision = isNewEpoch
        ? revision
        : Math.max(this.#historyFromRevision, revision);
    }
    const forgottenRevision = this.#servers.discardOldRemovals(nowMs);
    this.#historyFromRevision = Math.max(this.#historyFromRevision, forgottenRevision);
    return hasChanged;
  }

  /** Ends what was believed since the registry returned from a copy and was not published again in time. */
  endExpired(nowMs: number): boolean {
    const haveServersChanged = this.#servers.removeExpired(this.#position.revision, nowMs);
    return this.#outages.endExpired(nowMs) || haveServersChanged;
  }

  /** Changes that a peer lacks. */
  changesSince(
    {documentVersion, epoch, revision, needsWhole = false}: KnownRegistry,
    nowMs: number,
  ): {isWhole: boolean; changes: RegistryChange[]} {
    const changes: RegistryChange[] = [];
    // A peer without a document states version 0, which a document may have too.
    const lacksDocument = documentVersion === 0 || (this.#document?.version ?? 0) > documentVersion;
    if (this.#document !== undefined && lacksDocument) {
      changes.push({kind: 'document', document: this.#document});
    }
    const isAhead = isAfter({epoch, revision}, this.#position);
    if (isAhead || (!needsWhole && !isAfter(this.#position, {epoch, revision}))) {
      return {isWhole: false, changes};
    }
    const isWhole =
      needsWhole || epoch < this.#position.epoch || revision < this.#historyFromRevision;
    for (const server of this.servers(nowMs)) {
      if (isWhole && this.#servers.isUnconfirmed(server.id)) {
        changes.push({kind: 'server', server, isUnconfirmed: true});
      } else if (isWhole || server.revision > revision) {
        changes.push({kind: 'server', server});
      }
    }
    // Also with the whole: a registry that returns from a copy may list servers again that left.
    for (const removal of this.#servers.removalsAfter(isWhole ? 0 : revision)) {
      changes.push({kind: 'serverGone', ...removal});
    }
    for (const {dataCentre, isOut, revision: outRevision, isUnconfirmed} of this.#outages.list()) {
      if (isUnconfirmed && !isWhole) {
        continue;
      }
      const kind = isOut ? 'dataCentreOut' : 'dataCentreBack';
      changes.push({
        kind,
        dataCentre,
        revision: outRevision,
        isUnconfirmed: isUnconfirmed ? true : undefined,
      });
    }
    return {isWhole, changes};
  }

  #applyDocument(document: FleetDocument): void {
    if (this.#document === undefined || document.version > this.#document.version) {
      this.#document = document;
    }
  }

  #applyChange(change: RegistryChange, nowMs: number): boolean {
    switch (change.kind) {
      case 'document':
        return false;
      case 'server':
        return change.isUnconfirmed === true
          ? this.#servers.setUnconfirmed(change.server, nowMs)
          : this.#servers.set(change.server, nowMs);
      case 'serverGone':
        return this.#servers.remove(change, nowMs);
      case 'dataCentreOut':
      case 'dataCentreBack': {
        const {kind, dataCentre, revision} = change;
        const outage: OutageChange = {dataCentre, isOut: kind === 'dataCentreOut', revision};
        return change.isUnconfirmed === true
          ? this.#outages.setUnconfirmed(outage, nowMs)
          : this.#outages.set(outage);
      }
    }
  }

  /** Removes what a read of the whole registry does not list. */
  #removeUnlisted(changes: readonly RegistryChange[], revision: number, nowMs: number): boolean {
    const serverIds = new Set<string>();
    const outOfService = new Set<string>();
    for (const change of changes) {
      if (change.kind === 'server') {
        serverIds.add(change.server.id);
      }
      if (change.kind === 'dataCentreOut') {
        outOfService.add(change.dataCentre);
      }
    }
    const haveServersChanged = this.#servers.removeUnlisted(serverIds, revision, nowMs);
    return this.#outages.endUnlisted(outOfService) || haveServersChanged;
  }
}
