import type {HostList} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {
  ClaimAnswer,
  ClaimAsk,
  ClaimEnded,
  StoredResponse,
  PeerMessage,
} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import {replicasOf} from './idempotencyReplicas.ts';

/** Settings of the replicas of idempotency keys on one host. */
export interface IdempotencyReplicaOptions {
  /** Id of this host. */
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Time for which a key is stored, in ms. Default: 300,000. */
  readonly keepMs: number;
  /** Keys stored at once; the oldest is dropped first. Default: 20,000. */
  readonly maxKeys: number;
}

/** Defaults of {@link IdempotencyReplicaOptions}. */
export const DEFAULT_IDEMPOTENCY_REPLICA_OPTIONS = {keepMs: 300_000, maxKeys: 20_000} as const;

/** What this host stores about one idempotency key. */
interface KeyRecord {
  readonly claimId: string;
  readonly requestDigest: string;
  readonly storedAtMs: number;
  /** Moment from which the outcome of a run that was not reported as ended counts as unknown, in ms. */
  readonly runDeadlineMs: number;
  state: 'running' | 'answered' | 'unknown';
  response: StoredResponse | undefined;
}

/**
 * Replicas of idempotency keys on one host. Each key is replicated in the memory of three hosts.
 *
 * A host votes on a key only if it was among the key's replicas under every host list of the last
 * `keepMs`; otherwise it abstains. Two of three replicas must agree, so any two runs of a key within
 * `keepMs` would need one replica that agreed to both.
 */
export class IdempotencyReplicaTask implements CoreTask {
  readonly accepts = ['membershipChanged', 'peerMessageReceived'] as const;

  readonly #options: IdempotencyReplicaOptions;
  readonly #records = new Map<string, KeyRecord>();
  /** Host lists that were in force during the last `keepMs`, oldest first. */
  readonly #lists: {readonly list: HostList; readonly sinceMs: number}[] = [];

  constructor(
    options: Partial<IdempotencyReplicaOptions> &
      Pick<IdempotencyReplicaOptions, 'selfId' | 'hash'>,
  ) {
    this.#options = {...DEFAULT_IDEMPOTENCY_REPLICA_OPTIONS, ...options};
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'membershipChanged':
        this.#recordList(message.list, nowMs);
        return [];
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      default:
        return [];
    }
  }

  #recordList(list: HostList, nowMs: number): void {
    if (list.version === this.#lists.at(-1)?.list.version) {
      return;
    }
    this.#lists.push({list, sinceMs: nowMs});
    while ((this.#lists[1]?.sinceMs ?? nowMs) <= nowMs - this.#options.keepMs) {
      this.#lists.shift();
    }
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'claimAsk': {
        const reply: ClaimAnswer = {
          type: 'claimAnswer',
          claimId: message.claimId,
          ...this.#onClaim(message, nowMs),
        };
        return [{type: 'sendToPeer', toHostId: fromHostId, message: reply}];
      }
      case 'claimEnded':
        this.#onClaimEnded(message);
        return [];
      default:
        return [];
    }
  }

  /** Decides on a claim: reserves an unknown key, or replies what is stored about a known one. */
  #onClaim(query: ClaimAsk, nowMs: number): Pick<ClaimAnswer, 'state' | 'answer'> {
    const recordKey = `${query.customerId}|${query.idempotencyKey}`;
    const record = this.#records.get(recordKey);
    if (record !== undefined && nowMs - record.storedAtMs < this.#options.keepMs) {
      return this.#replyFor(record, query, nowMs);
    }
    if (!this.#isAuthoritative(recordKey, nowMs)) {
      return {state: 'abstains'};
    }
    this.#records.delete(recordKey);
    this.#records.set(recordKey, {
      claimId: query.claimId,
      requestDigest: query.requestDigest,
      storedAtMs: nowMs,
      runDeadlineMs: nowMs + query.timeoutMs,
      state: 'running',
      response: undefined,
    });
    this.#evictOldest(nowMs);
    return {state: 'claimed'};
  }

  #replyFor(
    record: KeyRecord,
    query: ClaimAsk,
    nowMs: number,
  ): Pick<ClaimAnswer, 'state' | 'answer'> {
    if (record.claimId === query.claimId) {
      return {state: 'claimed'};
    }
    if (record.requestDigest !== query.requestDigest) {
      return {state: 'other-request'};
    }
    const isOverdue = record.state === 'running' && nowMs >= record.runDeadlineMs;
    return {state: isOverdue ? 'unknown' : record.state, answer: record.response};
  }

  /** True if this host was a replica of the key for the whole of the last `keepMs`. */
  #isAuthoritative(recordKey: string, nowMs: number): boolean {
    const {selfId, hash, keepMs} = this.#options;
    const historyStartMs = this.#lists[0]?.sinceMs ?? nowMs;
    if (nowMs - historyStartMs < keepMs) {
      return false;
    }
    return this.#lists.every(({list}) => replicasOf(list, recordKey, hash).includes(selfId));
  }

  /** Stores how the run under a claim ended; a request that did not run releases its key. */
  #onClaimEnded({claimId, customerId, idempotencyKey, state, answer}: ClaimEnded): void {
    const recordKey = `${customerId}|${idempotencyKey}`;
    const record = this.#records.get(recordKey);
    if (record?.claimId !== claimId) {
      return;
    }
    if (state === 'not-run') {
      this.#records.delete(recordKey);
      return;
    }
    record.state = state;
    record.response = answer;
  }

  /**
   * Drops expired keys. A full table also drops the oldest keys early; the host then abstains on unknown
   * keys for `keepMs`, so that a dropped key cannot be reserved here again in that time.
   */
  #evictOldest(nowMs: number): void {
    const {keepMs, maxKeys} = this.#options;
    for (const [recordKey, {storedAtMs}] of this.#records) {
      const isExpired = nowMs - storedAtMs >= keepMs;
      if (!isExpired && this.#records.size <= maxKeys) {
        return;
      }
      this.#records.delete(recordKey);
      if (!isExpired) {
        this.#restartHistory(nowMs);
      }
    }
  }

  /** After a key was dropped early, this host has seen all keys in use again only once `keepMs` has passed. */
  #restartHistory(nowMs: number): void {
    const newest = this.#lists.at(-1);
    this.#lists.length = 0;
    if (newest !== undefined) {
      this.#lists.push({list: newest.list, sinceMs: nowMs});
    }
  }
}
