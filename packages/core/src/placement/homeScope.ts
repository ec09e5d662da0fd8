import type {DiscoveredServer} from '@godwitspring/document';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RegisteredServersChanged} from '../messages/hostMessages.ts';

/** Servers in service from which on a backend is divided: one home can place the requests of fewer servers. */
export const minServers = 40;
/** Servers in service that a data centre needs for a home of its own; fewer leave too little choice. */
const minServersOfScope = 8;
/** Data centres with that many servers from which on a backend is divided. */
const minScopes = 2;

/** Text whose rendezvous hash decides the home of a backend, or of its servers in a data centre. */
export function placementHomeKey(backendId: string, scope: string | undefined): string {
  return scope === undefined ? `backend@${backendId}` : `place/${backendId}@${scope}`;
}

/**
 * Data centres that have a home of their own among the servers of one backend, in alphabetical order; none where
 * the backend is not divided.
 */
export function findScopes(
  servers: readonly DiscoveredServer[],
  outOfService: readonly string[] = [],
): readonly string[] {
  const countByDataCentre = new Map<string, number>();
  let inService = 0;
  for (const {state, dataCentre} of servers) {
    if (state === 'in-service' && !outOfService.includes(dataCentre)) {
      countByDataCentre.set(dataCentre, (countByDataCentre.get(dataCentre) ?? 0) + 1);
      inService += 1;
    }
  }
  const scopes = [...countByDataCentre.keys()]
    .filter((dataCentre) => (countByDataCentre.get(dataCentre) ?? 0) >= minServersOfScope)
    .sort();
  return inService >= minServers && scopes.length >= minScopes ? scopes : [];
}

/**
 * Decides which backends are divided, so that each data centre has its own home, and which home serves which
 * servers. The decision follows from the list of servers alone, so that hosts with the same list agree.
 *
 * Load pattern: a backend with so many servers and requests that a single home cannot place them, or whose
 * queries between data centres are costly.
 */
export class HomeScopes {
  readonly #hash: HashFunction;
  readonly #scopesByBackend = new Map<string, readonly string[]>();
  /** Scopes by backend and data centre, as far as they were computed for the current list. */
  readonly #computedScopes = new Map<string, string>();

  constructor(hash: HashFunction) {
    this.#hash = hash;
  }

  /** Applies a list of servers; returns true where it changes how any backend is divided. */
  setServers({servers, outOfService}: RegisteredServersChanged): boolean {
    const serversByBackend = new Map<string, DiscoveredServer[]>();
    for (const server of servers) {
      const ofBackend = serversByBackend.get(server.backendId) ?? [];
      ofBackend.push(server);
      serversByBackend.set(server.backendId, ofBackend);
    }
    let isChanged = false;
    for (const backendId of new Set([
      ...serversByBackend.keys(),
      ...this.#scopesByBackend.keys(),
    ])) {
      const scopes = findScopes(serversByBackend.get(backendId) ?? [], outOfService);
      isChanged ||= scopes.join(' ') !== this.scopesOf(backendId).join(' ');
      if (scopes.length === 0) {
        this.#scopesByBackend.delete(backendId);
      } else {
        this.#scopesByBackend.set(backendId, scopes);
      }
    }
    if (isChanged) {
      this.#computedScopes.clear();
    }
    return isChanged;
  }

  /** Data centres that have a home of their own for a backend; none where it is not divided. */
  scopesOf(backendId: string): readonly string[] {
    return this.#scopesByBackend.get(backendId) ?? [];
  }

  /**
   * Data centre whose home serves the hosts and servers of a data centre; undefined where the backend is not
   * divided. A data centre without a home of its own belongs to the one that ranks first for it.
   */
  scopeOf(backendId: string, dataCentre: string): string | undefined {
    const scopes = this.scopesOf(backendId);
    if (scopes.length === 0 || scopes.includes(dataCentre)) {
      return scopes.length === 0 ? undefined : dataCentre;
    }
    const key = `${backendId}@${dataCentre}`;
    let computed = this.#computedScopes.get(key);
    if (computed === undefined) {
      computed = this.#firstRanked(key, scopes);
      this.#computedScopes.set(key, computed);
    }
    return computed;
  }

  /**
   * True where the home of a scope serves a server; the home of an undivided backend serves all. Where this host
   * does not know the scope, its list is older or newer than that of the host that queried: the home then serves
   * the servers in that data centre.
   */
  serves(scope: string | undefined, {backendId, dataCentre}: DiscoveredServer): boolean {
    return scope === undefined || (this.scopeOf(backendId, dataCentre) ?? dataCentre) === scope;
  }

  #firstRanked(key: string, scopes: readonly string[]): string {
    let first = '';
    let firstWeight = Number.NEGATIVE_INFINITY;
    for (const scope of scopes) {
      const weight = this.#hash(`${key}>${scope}`);
      if (weight > firstWeight) {
        first = scope;
        firstWeight = weight;
      }
    }
    return first;
  }
}
