import type {HostList} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {
  ClaimAnswer,
  ClaimAsk,
  ClaimEnded,
  KeptAnswer,
  PeerMessage,
} from '../messages/peerMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {keepersOf} from './keeperRing.ts';

export interface KeeperOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Time for which a key is kept, in ms. Default: 300,000. */
  readonly keepMs: number;
  /** Keys kept at once; the oldest goes first. Default: 20,000. */
  readonly maxKeys: number;
}

export const DEFAULT_KEEPER_OPTIONS = {keepMs: 300_000, maxKeys: 20_000} as const;

interface KeptKey {
  readonly claimId: string;
  readonly requestDigest: string;
  readonly keptAtMs: number;
  /** Moment at which a run without news counts as unknown, in ms. */
  readonly runsUntilMs: number;
  state: 'running' | 'answered' | 'unknown';
  answer: KeptAnswer | undefined;
}

/**
 * Keeps idempotency keys in memory, together with two other hosts.
 *
 * A keeper speaks for a key only if it was one of its keepers under every list of the last `keepMs`; it
 * abstains otherwise. Two of three must agree, so any two runs of a key within `keepMs` would need one
 * keeper that agreed to both.
 */
export class KeeperTask implements CoreTask {
  readonly accepts = ['membershipChanged', 'peerMessageReceived'] as const;

  readonly #options: KeeperOptions;
  readonly #keys = new Map<string, KeptKey>();
  readonly #lists: {readonly list: HostList; readonly sinceMs: number}[] = [];

  constructor(options: Partial<KeeperOptions> & Pick<KeeperOptions, 'selfId' | 'hash'>) {
    this.#options = {...DEFAULT_KEEPER_OPTIONS, ...options};
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'membershipChanged':
        this.#noteList(message.list, nowMs);
        return [];
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      default:
        return [];
    }
  }

  #noteList(list: HostList, nowMs: number): void {
    if (list.version === this.#lists.at(-1)?.list.version) {
      return;
    }
    this.#lists.push({list, sinceMs: nowMs});
    while ((this.#lists[1]?.sinceMs ?? nowMs) <= nowMs - this.#options.keepMs) {
      this.#lists.shift();
    }
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'claimAsk': {
        const answer: ClaimAnswer = {
          type: 'claimAnswer',
          claimId: message.claimId,
          ...this.#claim(message, nowMs),
        };
        return [{type: 'sendToPeer', toHostId: fromHostId, message: answer}];
      }
      case 'claimEnded':
        this.#end(message);
        return [];
      default:
        return [];
    }
  }

  #claim(ask: ClaimAsk, nowMs: number): Pick<ClaimAnswer, 'state' | 'answer'> {
    const name = `${ask.customerId}|${ask.idempotencyKey}`;
    const known = this.#keys.get(name);
    if (known !== undefined && nowMs - known.keptAtMs < this.#options.keepMs) {
      return this.#tell(known, ask, nowMs);
    }
    if (!this.#canSpeak(name, nowMs)) {
      return {state: 'abstains'};
    }
    this.#keys.delete(name);
    this.#keys.set(name, {
      claimId: ask.claimId,
      requestDigest: ask.requestDigest,
      keptAtMs: nowMs,
      runsUntilMs: nowMs + ask.timeoutMs,
      state: 'running',
      answer: undefined,
    });
    this.#forgetOldest(nowMs);
    return {state: 'claimed'};
  }

  #tell(known: KeptKey, ask: ClaimAsk, nowMs: number): Pick<ClaimAnswer, 'state' | 'answer'> {
    if (known.claimId === ask.claimId) {
      return {state: 'claimed'};
    }
    if (known.requestDigest !== ask.requestDigest) {
      return {state: 'other-request'};
    }
    const isOverdue = known.state === 'running' && nowMs >= known.runsUntilMs;
    return {state: isOverdue ? 'unknown' : known.state, answer: known.answer};
  }

  #canSpeak(name: string, nowMs: number): boolean {
    const {selfId, hash, keepMs} = this.#options;
    const firstSinceMs = this.#lists[0]?.sinceMs ?? nowMs;
    if (nowMs - firstSinceMs < keepMs) {
      return false;
    }
    return this.#lists.every(({list}) => keepersOf(list, name, hash).includes(selfId));
  }

  #end({claimId, customerId, idempotencyKey, state, answer}: ClaimEnded): void {
    const name = `${customerId}|${idempotencyKey}`;
    const known = this.#keys.get(name);
    if (known?.claimId !== claimId) {
      return;
    }
    if (state === 'not-run') {
      this.#keys.delete(name);
      return;
    }
    known.state = state;
    known.answer = answer;
  }

  /** Drops keys that are over; a full table drops no key early but makes this keeper abstain. */
  #forgetOldest(nowMs: number): void {
    const {keepMs, maxKeys} = this.#options;
    for (const [name, {keptAtMs}] of this.#keys) {
      const isOver = nowMs - keptAtMs >= keepMs;
      if (!isOver && this.#keys.size <= maxKeys) {
        return;
      }
      this.#keys.delete(name);
      if (!isOver) {
        this.#restart(nowMs);
      }
    }
  }

  /** After a key was lost early this keeper knows all keys again only when `keepMs` has passed. */
  #restart(nowMs: number): void {
    const newest = this.#lists.at(-1);
    this.#lists.length = 0;
    if (newest !== undefined) {
      this.#lists.push({list: newest.list, sinceMs: nowMs});
    }
  }
}
