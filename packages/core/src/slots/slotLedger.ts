/** One slot that a host uses. */
interface UsedSlot {
  readonly slotId: number;
  readonly serverId: string;
  readonly hostId: string;
  expiresAtMs: number;
  isRecalled: boolean;
}

/** A server as the home of its backend hands out its slots. */
export interface LedgerServer {
  readonly serverId: string;
  readonly dataCentre: string;
}

/** Which host uses which slot of the servers of one backend. */
export class SlotLedger {
  readonly #used = new Map<number, UsedSlot>();
  readonly #usedByServer = new Map<string, number>();
  #servers: readonly LedgerServer[] = [];
  #slotsPerServer = 0;
  #withheld: ReadonlySet<string> = new Set();

  setServers(servers: readonly LedgerServer[], slotsPerServer: number): void {
    this.#servers = servers;
    this.#slotsPerServer = slotsPerServer;
  }

  withhold(serverIds: readonly string[]): void {
    this.#withheld = new Set(serverIds);
  }

  get usedCount(): number {
    return this.#used.size;
  }

  /** Servers with a free slot, those in the host's data centre alone where there are any. */
  free(avoidedIds: readonly string[], dataCentre: string): LedgerServer[] {
    const free = this.#servers.filter(
      ({serverId}) =>
        !this.#withheld.has(serverId) &&
        !avoidedIds.includes(serverId) &&
        (this.#usedByServer.get(serverId) ?? 0) < this.#slotsPerServer,
    );
    const near = free.filter((server) => server.dataCentre === dataCentre);
    return near.length > 0 ? near : free;
  }

  usedOf(serverId: string): number {
    return this.#usedByServer.get(serverId) ?? 0;
  }

  use(slot: Omit<UsedSlot, 'isRecalled'>): void {
    this.#used.set(slot.slotId, {...slot, isRecalled: false});
    this.#usedByServer.set(slot.serverId, this.usedOf(slot.serverId) + 1);
  }

  /** Notes that a host still uses a slot. */
  keep(slotId: number, hostId: string, expiresAtMs: number): void {
    const slot = this.#used.get(slotId);
    if (slot?.hostId === hostId) {
      slot.expiresAtMs = expiresAtMs;
    }
  }

  release(slotId: number, hostId: string): void {
    const slot = this.#used.get(slotId);
    if (slot?.hostId === hostId) {
      this.#drop(slot);
    }
  }

  /** Frees what expired and what hosts used that are gone. */
  sweep(isThere: (hostId: string) => boolean, nowMs: number): void {
    for (const slot of this.#used.values()) {
      if (slot.expiresAtMs <= nowMs || !isThere(slot.hostId)) {
        this.#drop(slot);
      }
    }
  }

  /** Takes a slot of the host with the most that were not asked back yet; undefined where all have one. */
  recall(forHostId: string): {hostId: string; slotId: number} | undefined {
    const heldByHost = new Map<string, UsedSlot[]>();
    for (const slot of this.#used.values()) {
      if (!slot.isRecalled) {
        heldByHost.set(slot.hostId, [...(heldByHost.get(slot.hostId) ?? []), slot]);
      }
    }
    let most: UsedSlot[] = [];
    for (const [hostId, held] of heldByHost) {
      if (hostId !== forHostId && held.length > most.length) {
        most = held;
      }
    }
    const [oldest] = most;
    if (oldest === undefined) {
      return undefined;
    }
    oldest.isRecalled = true;
    return {hostId: oldest.hostId, slotId: oldest.slotId};
  }

  #drop({slotId, serverId}: UsedSlot): void {
    this.#used.delete(slotId);
    const left = this.usedOf(serverId) - 1;
    if (left > 0) {
      this.#usedByServer.set(serverId, left);
      return;
    }
    this.#usedByServer.delete(serverId);
  }
}
