import {HomePlacement} from '../allowance/homePlacement.ts';
import {backendKey} from '../health/healthOptions.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';

export interface FleetSlotsOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  readonly bucketCount: number;
  readonly firstNonce: number;
  /** Time for which an unused slot is kept for the next request, in ms. Default: 25. */
  readonly parkMs: number;
  /** Time for which a slot is used again and again, so that work spreads over the servers, in ms. Default: 500. */
  readonly tenureMs: number;
  /** Silence of a home after which requests go on without it, in ms. Default: 50. */
  readonly silenceMs: number;
  /** Time after which an ask that waits at the home is made anew, in ms. Default: 350. */
  readonly askLifeMs: number;
  /** Interval at which a home is told of slots that are held for long, in ms. Default: 700. */
  readonly keepIntervalMs: number;
}

export const DEFAULT_FLEET_SLOTS_OPTIONS = {
  bucketCount: 6,
  firstNonce: 1,
  parkMs: 25,
  tenureMs: 500,
  silenceMs: 50,
  askLifeMs: 350,
  keepIntervalMs: 700,
} as const;

interface HeldSlot {
  readonly slotId: number;
  readonly serverId: string;
  readonly backendId: string;
  readonly homeId: string;
  /** When the home handed the slot out, in ms. */
  readonly takenAtMs: number;
  parkedAtMs: number;
  /** When the home last heard that the slot is held, in ms. */
  keptAtMs: number;
  isRecalled: boolean;
}

interface PendingAsk {
  readonly backendId: string;
  readonly homeId: string;
  readonly askedAtMs: number;
  /** True once the home said that the ask waits. */
  isHeard: boolean;
}

/** Slots that an entry host holds, in use or parked, and its asks for more. */
export class FleetSlots {
  readonly #options: FleetSlotsOptions;
  readonly #placement: HomePlacement;
  readonly #parked = new Map<number, HeldSlot>();
  readonly #usedByRequest = new Map<number, HeldSlot>();
  readonly #asks = new Map<number, PendingAsk>();
  /** Until when requests of a backend go on without its home, in ms. */
  readonly #silentUntilMs = new Map<string, number>();
  #nextAskId: number;

  constructor(options: Partial<FleetSlotsOptions> & Pick<FleetSlotsOptions, 'selfId' | 'hash'>) {
    this.#options = {...DEFAULT_FLEET_SLOTS_OPTIONS, ...options};
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#nextAskId = this.#options.firstNonce;
  }

  get isIdle(): boolean {
    return this.#parked.size === 0 && this.#asks.size === 0 && this.#usedByRequest.size === 0;
  }

  place(reachableHostIds: readonly string[]): void {
    this.#placement.place(reachableHostIds);
  }

  /** True where the home does not answer, so that requests must go on without slots. */
  isSilent(backendId: string, nowMs: number): boolean {
    return nowMs < (this.#silentUntilMs.get(backendId) ?? Number.NEGATIVE_INFINITY);
  }

  /** Uses a parked slot for a request; gives its server. */
  take(
    requestId: number,
    backendId: string,
    isUsable: (serverId: string) => boolean,
  ): string | undefined {
    for (const slot of this.#parked.values()) {
      if (slot.backendId === backendId && isUsable(slot.serverId)) {
        this.#parked.delete(slot.slotId);
        this.#usedByRequest.set(requestId, slot);
        return slot.serverId;
      }
    }
    return undefined;
  }

  /** Ends the use of a slot: parks it, or gives it back where it was asked for. */
  free(requestId: number, nowMs: number): readonly CoreMessage[] {
    const slot = this.#usedByRequest.get(requestId);
    this.#usedByRequest.delete(requestId);
    if (slot === undefined) {
      return [];
    }
    const isOver = nowMs - slot.takenAtMs >= this.#options.tenureMs;
    if (slot.isRecalled || isOver) {
      return this.#giveBack([slot]);
    }
    slot.parkedAtMs = nowMs;
    this.#parked.set(slot.slotId, slot);
    return [];
  }

  /** Asks for as many slots as requests wait, less those asked for already. */
  want(
    backendId: string,
    waiting: number,
    avoidedIds: readonly string[],
    nowMs: number,
  ): CoreMessage[] {
    const homeId = this.#placement.homeOf(this.#placement.bucketOf(backendKey(backendId)));
    const messages: CoreMessage[] = [];
    if (homeId === undefined) {
      return messages;
    }
    let asked = 0;
    for (const ask of this.#asks.values()) {
      asked += ask.backendId === backendId ? 1 : 0;
    }
    for (; asked < waiting; asked += 1) {
      const askId = this.#nextAskId;
      this.#nextAskId += 1;
      this.#asks.set(askId, {backendId, homeId, askedAtMs: nowMs, isHeard: false});
      const message: PeerMessage = {type: 'slotAsk', askId, backendId, avoidedIds: [...avoidedIds]};
      messages.push({type: 'sendToPeer', toHostId: homeId, message});
    }
    return messages;
  }

  /** Takes an answer; true where it brought a slot. */
  onAnswer(
    fromHostId: string,
    {askId, backendId, slot}: Extract<PeerMessage, {type: 'slotAnswer'}>,
    nowMs: number,
  ): boolean {
    const ask = this.#asks.get(askId);
    if (ask?.homeId === fromHostId) {
      ask.isHeard = true;
    }
    this.#silentUntilMs.delete(backendId);
    if (slot === undefined) {
      return false;
    }
    this.#asks.delete(askId);
    const {slotId, serverId} = slot;
    const held = {
      slotId,
      serverId,
      backendId,
      homeId: fromHostId,
      takenAtMs: nowMs,
      parkedAtMs: nowMs,
      keptAtMs: nowMs,
    };
    this.#parked.set(slotId, {...held, isRecalled: false});
    return true;
  }

  /** Gives parked slots back at once and those in use at the end of their requests. */
  onRecall(slotIds: readonly number[]): readonly CoreMessage[] {
    const back: HeldSlot[] = [];
    for (const slotId of slotIds) {
      const parked = this.#parked.get(slotId);
      if (parked !== undefined) {
        this.#parked.delete(slotId);
        back.push(parked);
      }
    }
    for (const slot of this.#usedByRequest.values()) {
      slot.isRecalled ||= slotIds.includes(slot.slotId);
    }
    return this.#giveBack(back);
  }

  /** Gives back what lay parked too long and forgets asks that nobody answers. */
  sweep(nowMs: number): readonly CoreMessage[] {
    const {parkMs, silenceMs, askLifeMs} = this.#options;
    const back: HeldSlot[] = [];
    for (const [slotId, slot] of this.#parked) {
      if (nowMs - slot.parkedAtMs >= parkMs) {
        this.#parked.delete(slotId);
        back.push(slot);
      }
    }
    for (const [askId, {backendId, askedAtMs, isHeard}] of this.#asks) {
      const waitedMs = nowMs - askedAtMs;
      if (!isHeard && waitedMs >= silenceMs) {
        this.#asks.delete(askId);
        this.#silentUntilMs.set(backendId, nowMs + askLifeMs);
      }
      if (isHeard && waitedMs >= askLifeMs) {
        this.#asks.delete(askId);
      }
    }
    return [...this.#giveBack(back), ...this.#keep(nowMs)];
  }

  #keep(nowMs: number): readonly CoreMessage[] {
    const due: HeldSlot[] = [];
    for (const slot of [...this.#usedByRequest.values(), ...this.#parked.values()]) {
      if (nowMs - slot.keptAtMs >= this.#options.keepIntervalMs) {
        slot.keptAtMs = nowMs;
        due.push(slot);
      }
    }
    return this.#tell('slotKeep', due);
  }

  #giveBack(slots: readonly HeldSlot[]): readonly CoreMessage[] {
    return this.#tell('slotReturn', slots);
  }

  #tell(type: 'slotReturn' | 'slotKeep', slots: readonly HeldSlot[]): readonly CoreMessage[] {
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
