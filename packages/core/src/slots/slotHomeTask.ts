import type {FleetDocument, HostList} from '@godwitspring/document';
import {HomePlacement} from '../allowance/homePlacement.ts';
import {backendKey} from '../health/healthOptions.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {DocumentIndex} from '../routing/documentIndex.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import type {RandomSource} from '../time/randomSource.ts';
import {SlotLedger} from './slotLedger.ts';

export interface SlotHomeOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  readonly bucketCount: number;
  readonly firstNonce: number;
  /** Time after which a slot is free again that its host neither gave back nor kept, in ms. Default: 2,000. */
  readonly slotLifeMs: number;
  /** Longest wait of an ask for a free slot, in ms. Default: 300. */
  readonly askLifeMs: number;
}

export const DEFAULT_SLOT_HOME_OPTIONS = {
  bucketCount: 6,
  firstNonce: 1,
  slotLifeMs: 2_000,
  askLifeMs: 300,
} as const;

type RequiredSlotHomeOptions = Pick<SlotHomeOptions, 'selfId' | 'hash' | 'random'>;
type SlotAsk = Extract<PeerMessage, {type: 'slotAsk'}>;

interface WaitingAsk {
  readonly hostId: string;
  readonly ask: SlotAsk;
  readonly expiresAtMs: number;
}

interface SlotBackend {
  readonly ledger: SlotLedger;
  waiting: WaitingAsk[];
}

const timerId = 'slotHome.tick';
const tickMs = 100;

/**
 * Home of some backends' slots: hands each to one host at a time.
 *
 * A second home, in a split, hands the same slots out again; the servers then shed, which costs service
 * but breaks no promise. When slots are short, hosts with the most give one back for each that waits.
 */
export class SlotHomeTask implements CoreTask {
  readonly accepts = [
    'documentInForce',
    'membershipChanged',
    'serversWithheld',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: SlotHomeOptions;
  readonly #placement: HomePlacement;
  readonly #backends = new Map<string, SlotBackend>();
  #list: HostList | undefined;
  #reachable: ReadonlySet<string> = new Set();
  #nextSlotId: number;
  #isTicking = false;

  constructor(options: Partial<SlotHomeOptions> & RequiredSlotHomeOptions) {
    this.#options = {...DEFAULT_SLOT_HOME_OPTIONS, ...options};
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#nextSlotId = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'documentInForce':
        this.#onDocument(message.document);
        return [];
      case 'membershipChanged':
        this.#list = message.list;
        this.#reachable = new Set(message.reachableHostIds);
        this.#placement.place(message.reachableHostIds);
        return this.#sweep(nowMs);
      case 'serversWithheld':
        this.#backends.get(message.backendId)?.ledger.withhold(message.serverIds);
        return [];
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): void {
    const index = new DocumentIndex(document);
    for (const backend of document.backends) {
      const known = this.#backends.get(backend.id) ?? {ledger: new SlotLedger(), waiting: []};
      const servers = index
        .serversInService(backend)
        .map(({id, dataCentre}) => ({serverId: id, dataCentre}));
      known.ledger.setServers(servers, backend.slotsPerServer);
      this.#backends.set(backend.id, known);
    }
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'slotAsk':
        return this.#onAsk(fromHostId, message, nowMs);
      case 'slotReturn': {
        const backend = this.#backends.get(message.backendId);
        for (const slotId of message.slotIds) {
          backend?.ledger.release(slotId, fromHostId);
        }
        return backend === undefined ? [] : this.#serve(backend, nowMs);
      }
      case 'slotKeep': {
        const ledger = this.#backends.get(message.backendId)?.ledger;
        for (const slotId of message.slotIds) {
          ledger?.keep(slotId, fromHostId, nowMs + this.#options.slotLifeMs);
        }
        return [];
      }
      default:
        return [];
    }
  }

  #onAsk(hostId: string, ask: SlotAsk, nowMs: number): readonly CoreMessage[] {
    const {backendId, askId} = ask;
    const backend = this.#backends.get(backendId);
    const isHome = this.#placement.homeOf(this.#placement.bucketOf(backendKey(backendId)));
    if (backend === undefined || isHome !== this.#options.selfId) {
      return [];
    }
    const waiting: WaitingAsk = {hostId, ask, expiresAtMs: nowMs + this.#options.askLifeMs};
    const granted = backend.waiting.length === 0 ? this.#grant(backend, waiting, nowMs) : undefined;
    if (granted !== undefined) {
      return [granted];
    }
    backend.waiting.push(waiting);
    const queued: PeerMessage = {type: 'slotAnswer', askId, backendId};
    return [
      {type: 'sendToPeer', toHostId: hostId, message: queued},
      ...this.#recall(backend, waiting),
      ...this.#armTimer(nowMs),
    ];
  }

  #recall({ledger}: SlotBackend, {hostId, ask}: WaitingAsk): readonly CoreMessage[] {
    const recalled = ledger.recall(hostId);
    if (recalled === undefined) {
      return [];
    }
    const {backendId} = ask;
    const message: PeerMessage = {type: 'slotRecall', backendId, slotIds: [recalled.slotId]};
    return [{type: 'sendToPeer', toHostId: recalled.hostId, message}];
  }

  #grant({ledger}: SlotBackend, {hostId, ask}: WaitingAsk, nowMs: number): CoreMessage | undefined {
    const dataCentre = this.#list?.hosts.find(({id}) => id === hostId)?.dataCentre ?? '';
    const free = ledger.free(ask.avoidedIds, dataCentre);
    const one = free[this.#options.random.below(Math.max(1, free.length))];
    const other = free[this.#options.random.below(Math.max(1, free.length))];
    if (one === undefined || other === undefined) {
      return undefined;
    }
    const isOtherFreer = ledger.usedOf(other.serverId) < ledger.usedOf(one.serverId);
    const {serverId} = isOtherFreer ? other : one;
    const slotId = this.#nextSlotId;
    this.#nextSlotId += 1;
    ledger.use({slotId, serverId, hostId, expiresAtMs: nowMs + this.#options.slotLifeMs});
    const {askId, backendId} = ask;
    const message: PeerMessage = {type: 'slotAnswer', askId, backendId, slot: {slotId, serverId}};
    return {type: 'sendToPeer', toHostId: hostId, message};
  }

  /** Gives freed slots to the asks that wait, the longest wait first. */
  #serve(backend: SlotBackend, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const left: WaitingAsk[] = [];
    for (const waiting of backend.waiting) {
      if (waiting.expiresAtMs <= nowMs) {
        continue;
      }
      const granted = this.#grant(backend, waiting, nowMs);
      if (granted === undefined) {
        left.push(waiting);
        continue;
      }
      messages.push(granted);
    }
    backend.waiting = left;
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTicking) {
      return [];
    }
    this.#isTicking = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + tickMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTicking = false;
    const messages = this.#sweep(nowMs);
    const isBusy = [...this.#backends.values()].some(
      ({ledger, waiting}) => ledger.usedCount > 0 || waiting.length > 0,
    );
    return isBusy ? [...messages, ...this.#armTimer(nowMs)] : messages;
  }

  #sweep(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const backend of this.#backends.values()) {
      backend.ledger.sweep((hostId) => this.#reachable.has(hostId), nowMs);
      messages.push(...this.#serve(backend, nowMs));
    }
    return messages;
  }
}
