import type {Backend, BackendServer} from '@godwitspring/document';
import {DocumentIndex} from '../routing/documentIndex.ts';
import type {FleetDocument} from '@godwitspring/document';

/** The servers of one backend that may receive requests, and which of them are new. */
export interface TrackedBackend {
  readonly backend: Backend;
  /** Servers that may receive new requests. */
  readonly inService: readonly BackendServer[];
  /**
   * Servers that entered service after the first document version and were still within their warm-up
   * time at the last update: server id to the moment at which the server entered service, in ms.
   */
  readonly newSinceMs: ReadonlyMap<string, number>;
}

/** Tracks which servers enter service between versions of the document. */
export class InServiceTracker {
  #backends = new Map<string, TrackedBackend>();

  /** The backends of the last version, by id. */
  get backends(): ReadonlyMap<string, TrackedBackend> {
    return this.#backends;
  }

  /**
   * Applies a version of the document. A server that was not in service in the previous version is new;
   * in the first version no server is.
   */
  update(document: FleetDocument, nowMs: number): void {
    const index = new DocumentIndex(document);
    const isFirstVersion = this.#backends.size === 0;
    const backends = new Map<string, TrackedBackend>();
    for (const backend of document.backends) {
      const previous = this.#backends.get(backend.id);
      const inService = index.serversInService(backend);
      const previousIds = new Set(previous?.inService.map(({id}) => id));
      const newSinceMs = new Map<string, number>();
      for (const {id} of inService) {
        const sinceMs = previousIds.has(id) ? previous?.newSinceMs.get(id) : nowMs;
        if (sinceMs !== undefined && !isFirstVersion && nowMs - sinceMs < backend.warmUpMs) {
          newSinceMs.set(id, sinceMs);
        }
      }
      backends.set(backend.id, {backend, inService, newSinceMs});
    }
    this.#backends = backends;
  }
}
