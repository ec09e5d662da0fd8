import type {DiscoveredServer} from '@godwitspring/document';

/** Tracks the servers that joined after the first server list and have had no attempt. */
export class NewServers {
  /** When each of them becomes warm, in ms. */
  readonly #warmAtMs = new Map<string, number>();
  #knownIds: ReadonlySet<string> | undefined;

  /** Applies a new list of the servers in service; those that `isTried` knows are not new. */
  setServers(
    servers: readonly DiscoveredServer[],
    isTried: (serverId: string) => boolean,
    nowMs: number,
  ): void {
    const ids = new Set(servers.map(({id}) => id));
    for (const serverId of this.#warmAtMs.keys()) {
      if (!ids.has(serverId)) {
        this.#warmAtMs.delete(serverId);
      }
    }
    const knownIds = this.#knownIds;
    if (knownIds !== undefined) {
      for (const {id, coldForMs} of servers) {
        if (!knownIds.has(id) && !isTried(id)) {
          this.#warmAtMs.set(id, nowMs + coldForMs);
        }
      }
    }
    this.#knownIds = ids.size === 0 ? knownIds : ids;
  }

  /** True where a server that joined has had no attempt. */
  get isAnyUntried(): boolean {
    return this.#warmAtMs.size > 0;
  }

  /** Records an attempt on a server. */
  recordStart(serverId: string): void {
    this.#warmAtMs.delete(serverId);
  }

  /** Time since a new server became warm, in ms; undefined while it is cold and for all other servers. */
  newForMs(serverId: string, nowMs: number): number | undefined {
    const warmAtMs = this.#warmAtMs.get(serverId);
    return warmAtMs === undefined || warmAtMs > nowMs ? undefined : nowMs - warmAtMs;
  }
}
