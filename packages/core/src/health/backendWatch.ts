import type {Backend, BackendServer} from '@godwitspring/document';
import {DocumentIndex} from '../routing/documentIndex.ts';
import type {FleetDocument} from '@godwitspring/document';

/** Servers of one backend that may get work, and since when each may. */
export interface WatchedBackend {
  readonly backend: Backend;
  readonly inService: readonly BackendServer[];
  /** Servers that came into service while this host watched, with the moment, in ms. */
  readonly freshSinceMs: ReadonlyMap<string, number>;
}

/** Follows which servers come into service from one version of the document to the next. */
export class BackendWatch {
  #backends = new Map<string, WatchedBackend>();

  get backends(): ReadonlyMap<string, WatchedBackend> {
    return this.#backends;
  }

  /** Takes a version; servers that were not in service in the last one are fresh. */
  take(document: FleetDocument, nowMs: number): void {
    const index = new DocumentIndex(document);
    const isFirst = this.#backends.size === 0;
    const backends = new Map<string, WatchedBackend>();
    for (const backend of document.backends) {
      const known = this.#backends.get(backend.id);
      const inService = index.serversInService(backend);
      const before = new Set(known?.inService.map(({id}) => id));
      const freshSinceMs = new Map<string, number>();
      for (const {id} of inService) {
        const since = before.has(id) ? known?.freshSinceMs.get(id) : nowMs;
        if (since !== undefined && !isFirst && nowMs - since < backend.warmUpMs) {
          freshSinceMs.set(id, since);
        }
      }
      backends.set(backend.id, {backend, inService, freshSinceMs});
    }
    this.#backends = backends;
  }
}
