import type {DiscoveredServer} from '@godwitspring/document';
import type {ServerRisk} from './serverRisk.ts';

/** A server in service and what the home knows of it. */
export interface IndexedServer {
  readonly server: DiscoveredServer;
  readonly serverRisk: ServerRisk;
}

/**
 * The servers in service of a backend, and those of them that have a free slot.
 *
 * Load pattern: hundreds of requests wait and all slots are taken. Each end of an attempt frees one slot, and the home
 * looks at that server alone instead of at all servers for each request that waits.
 */
export class ServerIndex {
  readonly #serversById = new Map<string, IndexedServer>();
  readonly #freeById = new Map<string, IndexedServer>();

  /** Sets the servers in service; `riskOf` gives the estimate of each. */
  setServers(servers: readonly DiscoveredServer[], riskOf: (serverId: string) => ServerRisk): void {
    this.#serversById.clear();
    this.#freeById.clear();
    for (const server of servers) {
      this.#serversById.set(server.id, {server, serverRisk: riskOf(server.id)});
      this.update(server.id);
    }
  }

  /** Applies that an attempt started or ended on a server; ignored for servers that are not in service. */
  update(serverId: string): void {
    const indexed = this.#serversById.get(serverId);
    if (indexed !== undefined && indexed.serverRisk.runningCount < indexed.server.slots) {
      this.#freeById.set(serverId, indexed);
    } else {
      this.#freeById.delete(serverId);
    }
  }

  /** Servers in service. */
  get servers(): Iterable<IndexedServer> {
    return this.#serversById.values();
  }

  /** Slots of a server; undefined where it is not in service. */
  slotsOf(serverId: string): number | undefined {
    return this.#serversById.get(serverId)?.server.slots;
  }

  /** Number of servers in service. */
  get size(): number {
    return this.#serversById.size;
  }

  /** True where each server in service is in the list. */
  isEveryServerAmong(serverIds: readonly string[]): boolean {
    if (serverIds.length < this.#serversById.size) {
      return false;
    }
    const ids = new Set(serverIds);
    return [...this.#serversById.keys()].every((serverId) => ids.has(serverId));
  }

  /** Number of servers with a free slot. */
  get freeCount(): number {
    return this.#freeById.size;
  }

  /** Servers with a free slot. */
  get freeServers(): Iterable<IndexedServer> {
    return this.#freeById.values();
  }
}
