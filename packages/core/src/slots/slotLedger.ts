/** A slot that is leased to a host. */
interface LeasedSlot {
  readonly slotId: number;
  readonly serverId: string;
  readonly hostId: string;
  expiresAtMs: number;
  /** True once the home recalled the slot from the host. */
  isRecalled: boolean;
}

/** A server in service whose slots can be leased. */
export interface SlotServer {
  readonly serverId: string;
  readonly dataCentre: string;
}

/** Records which host leases which slot of the servers of one backend. */
export class SlotLedger {
  /** Leased slots by slot id, oldest first. */
  readonly #leases = new Map<number, LeasedSlot>();
  readonly #leaseCountByServer = new Map<string, number>();
  #servers: readonly SlotServer[] = [];
  #slotsPerServer = 0;
  #withheld: ReadonlySet<string> = new Set();

  /** Replaces the servers in service and the number of slots of each. */
  setServers(servers: readonly SlotServer[], slotsPerServer: number): void {
    this.#servers = servers;
    this.#slotsPerServer = slotsPerServer;
  }

  /** Replaces the servers whose slots are not leased for now. */
  setWithheld(serverIds: readonly string[]): void {
    this.#withheld = new Set(serverIds);
  }

  get leaseCount(): number {
    return this.#leases.size;
  }

  /** Finds servers with a free slot: only those in the data centre of the host where there are any. */
  findFreeServers(avoidedIds: readonly string[], dataCentre: string): SlotServer[] {
    const free = this.#servers.filter(
      ({serverId}) =>
        !this.#withheld.has(serverId) &&
        !avoidedIds.includes(serverId) &&
        (this.#leaseCountByServer.get(serverId) ?? 0) < this.#slotsPerServer,
    );
    const local = free.filter((server) => server.dataCentre === dataCentre);
    return local.length > 0 ? local : free;
  }

  /** Number of leased slots of a server. */
  leaseCountOf(serverId: string): number {
    return this.#leaseCountByServer.get(serverId) ?? 0;
  }

  /** Records a new lease. */
  add(slot: Omit<LeasedSlot, 'isRecalled'>): void {
    this.#leases.set(slot.slotId, {...slot, isRecalled: false});
    this.#leaseCountByServer.set(slot.serverId, this.leaseCountOf(slot.serverId) + 1);
  }

  /** Extends a lease, if the host still has it. */
  renew(slotId: number, hostId: string, expiresAtMs: number): void {
    const slot = this.#leases.get(slotId);
    if (slot?.hostId === hostId) {
      slot.expiresAtMs = expiresAtMs;
    }
  }

  /** Ends a lease, if the host still has it. */
  release(slotId: number, hostId: string): void {
    const slot = this.#leases.get(slotId);
    if (slot?.hostId === hostId) {
      this.#remove(slot);
    }
  }

  /** Removes leases that expired and leases of hosts that cannot be reached. */
  removeExpired(isReachable: (hostId: string) => boolean, nowMs: number): void {
    for (const slot of this.#leases.values()) {
      if (slot.expiresAtMs <= nowMs || !isReachable(slot.hostId)) {
        this.#remove(slot);
      }
    }
  }

  /**
   * Marks the oldest lease of the host with the most leases as recalled, and returns it.
   *
   * Leases that were recalled before and leases of the host that the slot is for do not count; undefined where
   * no others are left.
   */
  recallOldest(forHostId: string): {hostId: string; slotId: number} | undefined {
    const leasesByHost = new Map<string, LeasedSlot[]>();
    for (const slot of this.#leases.values()) {
      if (!slot.isRecalled) {
        leasesByHost.set(slot.hostId, [...(leasesByHost.get(slot.hostId) ?? []), slot]);
      }
    }
    let mostLeases: LeasedSlot[] = [];
    for (const [hostId, leases] of leasesByHost) {
      if (hostId !== forHostId && leases.length > mostLeases.length) {
        mostLeases = leases;
      }
    }
    const [oldest] = mostLeases;
    if (oldest === undefined) {
      return undefined;
    }
    oldest.isRecalled = true;
    return {hostId: oldest.hostId, slotId: oldest.slotId};
  }

  #remove({slotId, serverId}: LeasedSlot): void {
    this.#leases.delete(slotId);
    const remaining = this.leaseCountOf(serverId) - 1;
    if (remaining > 0) {
      this.#leaseCountByServer.set(serverId, remaining);
      return;
    }
    this.#leaseCountByServer.delete(serverId);
  }
}
