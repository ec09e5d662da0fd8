import type {FleetDocument, HostList} from '@godwitspring/document';
import {HomePlacement} from '../allowance/homePlacement.ts';
import {backendHomeKey} from '../health/healthOptions.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {DocumentIndex} from '../routing/documentIndex.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {SlotLedger} from './slotLedger.ts';

/** Identity and time limits of the home of slots. */
export interface SlotHomeOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  /** Number of hash buckets into which the backends are grouped; each bucket has one home. Default: 6. */
  readonly bucketCount: number;
  /** First slot id; random for each process, so that late messages match no slot. Default: 1. */
  readonly firstNonce: number;
  /** Life of a lease that its host neither renews nor releases, in ms; then the slot is free again. Default: 2,000. */
  readonly leaseMs: number;
  /** Longest wait of a query for a free slot, in ms. Default: 300. */
  readonly queryTimeoutMs: number;
}

export const DEFAULT_SLOT_HOME_OPTIONS = {
  bucketCount: 6,
  firstNonce: 1,
  leaseMs: 2_000,
  queryTimeoutMs: 300,
} as const;

type RequiredSlotHomeOptions = Pick<SlotHomeOptions, 'selfId' | 'hash' | 'random'>;
type SlotAsk = Extract<PeerMessage, {type: 'slotAsk'}>;

/** A query of a host that waits for a free slot. */
interface WaitingQuery {
  readonly hostId: string;
  readonly query: SlotAsk;
  readonly expiresAtMs: number;
}

/** Leased slots of one backend and the queries that wait for one, oldest first. */
interface BackendSlots {
  readonly ledger: SlotLedger;
  waiting: WaitingQuery[];
}

const timerId = 'slotHome.tick';
/** Interval of the check for expired leases and queries while there are any, in ms. */
const sweepIntervalMs = 100;

/**
 * Leases the slots of backend servers to hosts, each slot to one host at a time.
 *
 * A slot is the right to run one request on a server. This host is the home of some backends: the host
 * that owns their hash bucket by rendezvous hashing and decides on their slots for the whole fleet.
 *
 * In a network partition a second home may lease the same slots again. The servers then shed the excess
 * requests, which costs service but breaks no guarantee. When slots are short, one slot is recalled for each
 * query that has to wait, from the host with the most leases.
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
  readonly #backends = new Map<string, BackendSlots>();
  #hostList: HostList | undefined;
  #reachableHostIds: ReadonlySet<string> = new Set();
  #nextSlotId: number;
  #isTimerSet = false;

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
        this.#hostList = message.list;
        this.#reachableHostIds = new Set(message.reachableHostIds);
        this.#placement.setReachableHosts(message.reachableHostIds);
        return this.#sweep(nowMs);
      case 'serversWithheld':
        this.#backends.get(message.backendId)?.ledger.setWithheld(message.serverIds);
        return [];
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): void {
    const index = new DocumentIndex(document);
    for (const backend of document.backends) {
      const backendSlots = this.#backends.get(backend.id) ?? {
        ledger: new SlotLedger(),
        waiting: [],
      };
      const servers = index
        .serversInService(backend)
        .map(({id, dataCentre}) => ({serverId: id, dataCentre}));
      backendSlots.ledger.setServers(servers, backend.slotsPerServer);
      this.#backends.set(backend.id, backendSlots);
    }
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'slotAsk':
        return this.#onSlotQuery(fromHostId, message, nowMs);
      case 'slotReturn': {
        const backend = this.#backends.get(message.backendId);
        for (const slotId of message.slotIds) {
          backend?.ledger.release(slotId, fromHostId);
        }
        return backend === undefined ? [] : this.#serveWaiting(backend, nowMs);
      }
      case 'slotKeep': {
        const ledger = this.#backends.get(message.backendId)?.ledger;
        for (const slotId of message.slotIds) {
          ledger?.renew(slotId, fromHostId, nowMs + this.#options.leaseMs);
        }
        return [];
      }
      default:
        return [];
    }
  }

  #onSlotQuery(hostId: string, query: SlotAsk, nowMs: number): readonly CoreMessage[] {
    const {backendId, askId} = query;
    const backend = this.#backends.get(backendId);
    const homeId = this.#placement.homeOf(this.#placement.bucketOf(backendHomeKey(backendId)));
    if (backend === undefined || homeId !== this.#options.selfId) {
      return [];
    }
    const waiting: WaitingQuery = {
      hostId,
      query,
      expiresAtMs: nowMs + this.#options.queryTimeoutMs,
    };
    const granted =
      backend.waiting.length === 0 ? this.#tryGrant(backend, waiting, nowMs) : undefined;
    if (granted !== undefined) {
      return [granted];
    }
    backend.waiting.push(waiting);
    const queued: PeerMessage = {type: 'slotAnswer', askId, backendId};
    return [
      {type: 'sendToPeer', toHostId: hostId, message: queued},
      ...this.#recallSlot(backend, waiting),
      ...this.#armTimer(nowMs),
    ];
  }

  /** Recalls a slot from another host for a query that waits. */
  #recallSlot({ledger}: BackendSlots, {hostId, query}: WaitingQuery): readonly CoreMessage[] {
    const recalled = ledger.recallOldest(hostId);
    if (recalled === undefined) {
      return [];
    }
    const {backendId} = query;
    const message: PeerMessage = {type: 'slotRecall', backendId, slotIds: [recalled.slotId]};
    return [{type: 'sendToPeer', toHostId: recalled.hostId, message}];
  }

  /** Grants a slot of the less used of two servers drawn at random; undefined where no slot is free. */
  #tryGrant(
    {ledger}: BackendSlots,
    {hostId, query}: WaitingQuery,
    nowMs: number,
  ): CoreMessage | undefined {
    const dataCentre = this.#hostList?.hosts.find(({id}) => id === hostId)?.dataCentre ?? '';
    const free = ledger.findFreeServers(query.avoidedIds, dataCentre);
    const first = free[this.#options.random.nextInt(Math.max(1, free.length))];
    const second = free[this.#options.random.nextInt(Math.max(1, free.length))];
    if (first === undefined || second === undefined) {
      return undefined;
    }
    const isSecondFreer =
      ledger.leaseCountOf(second.serverId) < ledger.leaseCountOf(first.serverId);
    const {serverId} = isSecondFreer ? second : first;
    const slotId = this.#nextSlotId;
    this.#nextSlotId += 1;
    ledger.add({slotId, serverId, hostId, expiresAtMs: nowMs + this.#options.leaseMs});
    const {askId, backendId} = query;
    const message: PeerMessage = {type: 'slotAnswer', askId, backendId, slot: {slotId, serverId}};
    return {type: 'sendToPeer', toHostId: hostId, message};
  }

  /** Grants free slots to waiting queries, oldest first; drops queries that expired. */
  #serveWaiting(backend: BackendSlots, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const remaining: WaitingQuery[] = [];
    for (const waiting of backend.waiting) {
      if (waiting.expiresAtMs <= nowMs) {
        continue;
      }
      const granted = this.#tryGrant(backend, waiting, nowMs);
      if (granted === undefined) {
        remaining.push(waiting);
        continue;
      }
      messages.push(granted);
    }
    backend.waiting = remaining;
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    if (this.#isTimerSet) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepIntervalMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    const messages = this.#sweep(nowMs);
    const isBusy = [...this.#backends.values()].some(
      ({ledger, waiting}) => ledger.leaseCount > 0 || waiting.length > 0,
    );
    return isBusy ? [...messages, ...this.#armTimer(nowMs)] : messages;
  }

  /** Removes leases that expired or whose host cannot be reached, and grants the freed slots. */
  #sweep(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const backend of this.#backends.values()) {
      backend.ledger.removeExpired((hostId) => this.#reachableHostIds.has(hostId), nowMs);
      messages.push(...this.#serveWaiting(backend, nowMs));
    }
    return messages;
  }
}
