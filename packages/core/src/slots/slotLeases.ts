import {HomePlacement} from '../allowance/homePlacement.ts';
import {backendHomeKey} from '../health/healthOptions.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';

/** Identity and time limits of the slot leases of a host. */
export interface SlotLeasesOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Number of hash buckets into which the backends are grouped; each bucket has one home. Default: 6. */
  readonly bucketCount: number;
  /** First query id; random for each process, so that replies to an earlier process match no query. Default: 1. */
  readonly firstNonce: number;
  /** Time for which an idle slot is retained for the next request before it is released, in ms. Default: 25. */
  readonly idleSlotMs: number;
  /** Time for which a slot is reused before it is released, so that load is spread, in ms. Default: 500. */
  readonly maxReuseMs: number;
  /** Time without a reply to a query after which requests go on without the home, in ms. Default: 50. */
  readonly homeTimeoutMs: number;
  /**
   * Time after which a query that waits at the home is sent anew, in ms. Default: 350.
   *
   * It is also the time for which requests go on without a home that did not reply.
   */
  readonly queryTimeoutMs: number;
  /** Interval at which a lease is renewed at its home, in ms. Default: 700. */
  readonly renewIntervalMs: number;
}

export const DEFAULT_SLOT_LEASES_OPTIONS = {
  bucketCount: 6,
  firstNonce: 1,
  idleSlotMs: 25,
  maxReuseMs: 500,
  homeTimeoutMs: 50,
  queryTimeoutMs: 350,
  renewIntervalMs: 700,
} as const;

/** A slot that this host leases from the home of its backend. */
interface SlotLease {
  readonly slotId: number;
  readonly serverId: string;
  readonly backendId: string;
  readonly homeId: string;
  /** Time at which the grant of the home arrived, in ms. */
  readonly grantedAtMs: number;
  /** Time at which the slot was last granted or its use ended, in ms. */
  idleSinceMs: number;
  /** Time at which the lease was granted or last renewed, in ms. */
  renewedAtMs: number;
  /** True once the home recalled the slot; it is released when its request ends. */
  isRecalled: boolean;
}

/** A query for one slot that was sent to a home and not granted yet. */
interface PendingQuery {
  readonly backendId: string;
  readonly homeId: string;
  readonly sentAtMs: number;
  /** True once the home replied that the query waits. */
  isAcknowledged: boolean;
}

/**
 * Slots of backend servers that this entry host leases, in use or idle, and its pending queries for more.
 *
 * A slot is the right to run one request on a server. The home of a backend, the host that owns the
 * backend's hash bucket by rendezvous hashing, leases the slots of the backend's servers to the hosts.
 */
export class SlotLeases {
  readonly #options: SlotLeasesOptions;
  readonly #placement: HomePlacement;
  /** Idle slots by slot id. */
  readonly #idleSlots = new Map<number, SlotLease>();
  /** Slots in use by request id. */
  readonly #usedSlots = new Map<number, SlotLease>();
  /** Pending queries by query id. */
  readonly #queries = new Map<number, PendingQuery>();
  /** Time until which requests go on without a home that did not reply, by backend id, in ms. */
  readonly #homeSilentUntilMs = new Map<string, number>();
  #nextQueryId: number;

  constructor(options: Partial<SlotLeasesOptions> & Pick<SlotLeasesOptions, 'selfId' | 'hash'>) {
    this.#options = {...DEFAULT_SLOT_LEASES_OPTIONS, ...options};
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#nextQueryId = this.#options.firstNonce;
  }

  /** True where no slot is leased and no query is pending. */
  get isIdle(): boolean {
    return this.#idleSlots.size === 0 && this.#queries.size === 0 && this.#usedSlots.size === 0;
  }

  /** Assigns the homes of the backends among the hosts that can be reached. */
  setReachableHosts(reachableHostIds: readonly string[]): void {
    this.#placement.setReachableHosts(reachableHostIds);
  }

  /** True while the home of the backend does not reply, so that requests go on without slots. */
  isHomeSilent(backendId: string, nowMs: number): boolean {
    return nowMs < (this.#homeSilentUntilMs.get(backendId) ?? Number.NEGATIVE_INFINITY);
  }

  /** Uses an idle slot for a request and returns its server; undefined where none is usable. */
  useIdleSlot(
    requestId: number,
    backendId: string,
    isUsable: (serverId: string) => boolean,
  ): string | undefined {
    for (const slot of this.#idleSlots.values()) {
      if (slot.backendId === backendId && isUsable(slot.serverId)) {
        this.#idleSlots.delete(slot.slotId);
        this.#usedSlots.set(requestId, slot);
        return slot.serverId;
      }
    }
    return undefined;
  }

  /** Ends the use of a slot: retains it as idle, or releases it where it was recalled or reused for long enough. */
  endUse(requestId: number, nowMs: number): readonly CoreMessage[] {
    const slot = this.#usedSlots.get(requestId);
    this.#usedSlots.delete(requestId);
    if (slot === undefined) {
      return [];
    }
    const isReuseOver = nowMs - slot.grantedAtMs >= this.#options.maxReuseMs;
    if (slot.isRecalled || isReuseOver) {
      return this.#releaseSlots([slot]);
    }
    slot.idleSinceMs = nowMs;
    this.#idleSlots.set(slot.slotId, slot);
    return [];
  }

  /** Creates a query to the home for each waiting request that has no pending query yet. */
  querySlots(
    backendId: string,
    waitingCount: number,
    avoidedIds: readonly string[],
    nowMs: number,
  ): CoreMessage[] {
    const homeId = this.#placement.homeOf(this.#placement.bucketOf(backendHomeKey(backendId)));
    const messages: CoreMessage[] = [];
    if (homeId === undefined) {
      return messages;
    }
    let pendingCount = 0;
    for (const query of this.#queries.values()) {
      pendingCount += query.backendId === backendId ? 1 : 0;
    }
    for (; pendingCount < waitingCount; pendingCount += 1) {
      const askId = this.#nextQueryId;
      this.#nextQueryId += 1;
      this.#queries.set(askId, {backendId, homeId, sentAtMs: nowMs, isAcknowledged: false});
      const message: PeerMessage = {type: 'slotAsk', askId, backendId, avoidedIds: [...avoidedIds]};
      messages.push({type: 'sendToPeer', toHostId: homeId, message});
    }
    return messages;
  }

  /** Handles the reply of a home to a query; true where it grants a slot. */
  onSlotReply(
    fromHostId: string,
    {askId, backendId, slot}: Extract<PeerMessage, {type: 'slotAnswer'}>,
    nowMs: number,
  ): boolean {
    const query = this.#queries.get(askId);
    if (query?.homeId === fromHostId) {
      query.isAcknowledged = true;
    }
    this.#homeSilentUntilMs.delete(backendId);
    if (slot === undefined) {
      return false;
    }
    this.#queries.delete(askId);
    const {slotId, serverId} = slot;
    const lease = {
      slotId,
      serverId,
      backendId,
      homeId: fromHostId,
      grantedAtMs: nowMs,
      idleSinceMs: nowMs,
      renewedAtMs: nowMs,
    };
    this.#idleSlots.set(slotId, {...lease, isRecalled: false});
    return true;
  }

  /** Releases recalled slots: idle ones at once, those in use when their requests end. */
  onSlotRecall(slotIds: readonly number[]): readonly CoreMessage[] {
    const released: SlotLease[] = [];
    for (const slotId of slotIds) {
      const idleSlot = this.#idleSlots.get(slotId);
      if (idleSlot !== undefined) {
        this.#idleSlots.delete(slotId);
        released.push(idleSlot);
      }
    }
    for (const slot of this.#usedSlots.values()) {
      slot.isRecalled ||= slotIds.includes(slot.slotId);
    }
    return this.#releaseSlots(released);
  }

  /** Releases slots that are idle for too long, drops queries that timed out, and renews leases. */
  sweep(nowMs: number): readonly CoreMessage[] {
    const {idleSlotMs, homeTimeoutMs, queryTimeoutMs} = this.#options;
    const released: SlotLease[] = [];
    for (const [slotId, slot] of this.#idleSlots) {
      if (nowMs - slot.idleSinceMs >= idleSlotMs) {
        this.#idleSlots.delete(slotId);
        released.push(slot);
      }
    }
    for (const [askId, {backendId, sentAtMs, isAcknowledged}] of this.#queries) {
      const waitedMs = nowMs - sentAtMs;
      if (!isAcknowledged && waitedMs >= homeTimeoutMs) {
        this.#queries.delete(askId);
        this.#homeSilentUntilMs.set(backendId, nowMs + queryTimeoutMs);
      }
      if (isAcknowledged && waitedMs >= queryTimeoutMs) {
        this.#queries.delete(askId);
      }
    }
    return [...this.#releaseSlots(released), ...this.#renewLeases(nowMs)];
  }

  #renewLeases(nowMs: number): readonly CoreMessage[] {
    const due: SlotLease[] = [];
    for (const slot of [...this.#usedSlots.values(), ...this.#idleSlots.values()]) {
      if (nowMs - slot.renewedAtMs >= this.#options.renewIntervalMs) {
        slot.renewedAtMs = nowMs;
        due.push(slot);
      }
    }
    return this.#createHomeMessages('slotKeep', due);
  }

  #releaseSlots(slots: readonly SlotLease[]): readonly CoreMessage[] {
    return this.#createHomeMessages('slotReturn', slots);
  }

  /** Creates one message for each home and backend, with the ids of its slots. */
  #createHomeMessages(
    type: 'slotReturn' | 'slotKeep',
    slots: readonly SlotLease[],
  ): readonly CoreMessage[] {
    const byHome = new Map<string, {homeId: string; backendId: string; slotIds: number[]}>();
    for (const {homeId, backendId, slotId} of slots) {
      const key = `${homeId} ${backendId}`;
      const group = byHome.get(key) ?? {homeId, backendId, slotIds: []};
      group.slotIds.push(slotId);
      byHome.set(key, group);
    }
    const messages: CoreMessage[] = [];
    for (const {homeId, backendId, slotIds} of byHome.values()) {
      const message: PeerMessage = {type, backendId, slotIds};
      messages.push({type: 'sendToPeer', toHostId: homeId, message});
    }
    return messages;
  }
}
