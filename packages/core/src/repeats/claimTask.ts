import type {HostList} from '@godwitspring/document';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {ClaimAnswer, ClaimAsk, ClaimEnded, KeptAnswer} from '../messages/peerMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {keeperMajority, keepersOf} from './keeperRing.ts';

export interface ClaimOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Longest wait for the keepers, in ms. Default: 400. */
  readonly answerTimeoutMs: number;
  /** Part of the names of claims; differs between processes at the same host. Default: 1. */
  readonly firstNonce: number;
}

export const DEFAULT_CLAIM_OPTIONS = {answerTimeoutMs: 400, firstNonce: 1} as const;

const timerPrefix = 'claim:';

interface Claim {
  readonly requestId: number;
  readonly claimId: string;
  readonly customerId: string;
  readonly idempotencyKey: string;
  readonly keeperIds: readonly string[];
  readonly heardFrom: Set<string>;
  claimed: number;
  isGranted: boolean;
}

const kindByState: Readonly<Record<'running' | 'unknown' | 'other-request', ErrorKind>> = {
  running: 'repeat-in-progress',
  unknown: 'repeat-unknown',
  'other-request': 'repeat-unknown',
};

/** Entry side of idempotency keys: lets a request run only when two of three keepers never saw its key. */
export class ClaimTask implements CoreTask {
  readonly accepts = [
    'claimWanted',
    'claimSettled',
    'membershipChanged',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: ClaimOptions;
  readonly #claims = new Map<string, Claim>();
  readonly #claimIdByRequest = new Map<number, string>();
  #list: HostList | undefined;

  constructor(options: Partial<ClaimOptions> & Pick<ClaimOptions, 'selfId' | 'hash'>) {
    this.#options = {...DEFAULT_CLAIM_OPTIONS, ...options};
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'claimWanted':
        return this.#onWanted(message, nowMs);
      case 'claimSettled':
        return this.#onSettled(message.requestId, message.state, message.answer);
      case 'membershipChanged':
        this.#list = message.list;
        return [];
      case 'peerMessageReceived':
        return message.message.type === 'claimAnswer'
          ? this.#onAnswer(message.fromHostId, message.message)
          : [];
      case 'timerFired':
        return message.timerId.startsWith(timerPrefix)
          ? this.#onTimeout(message.timerId.slice(timerPrefix.length))
          : [];
      default:
        return [];
    }
  }

  #onWanted(
    wanted: Extract<CoreMessage, {type: 'claimWanted'}>,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {requestId, customerId, idempotencyKey, requestDigest, deadlineAtMs} = wanted;
    const {selfId, hash, answerTimeoutMs, firstNonce} = this.#options;
    const keeperIds =
      this.#list === undefined
        ? []
        : keepersOf(this.#list, `${customerId}|${idempotencyKey}`, hash);
    const claimId = `${selfId}/${firstNonce}/${requestId}`;
    const claim: Claim = {
      requestId,
      claimId,
      customerId,
      idempotencyKey,
      keeperIds,
      heardFrom: new Set(),
      claimed: 0,
      isGranted: false,
    };
    this.#claims.set(claimId, claim);
    this.#claimIdByRequest.set(requestId, claimId);
    const message: ClaimAsk = {
      type: 'claimAsk',
      claimId,
      customerId,
      idempotencyKey,
      requestDigest,
      timeoutMs: Math.max(0, deadlineAtMs - nowMs),
    };
    return [
      {type: 'timerWanted', timerId: `${timerPrefix}${claimId}`, atMs: nowMs + answerTimeoutMs},
      ...keeperIds.map((toHostId): CoreMessage => ({type: 'sendToPeer', toHostId, message})),
    ];
  }

  #onAnswer(fromHostId: string, {claimId, state, answer}: ClaimAnswer): readonly CoreMessage[] {
    const claim = this.#claims.get(claimId);
    if (claim === undefined || claim.isGranted || claim.heardFrom.has(fromHostId)) {
      return [];
    }
    claim.heardFrom.add(fromHostId);
    if (state !== 'claimed' && state !== 'abstains') {
      return this.#refuse(claim, state, answer);
    }
    claim.claimed += state === 'claimed' ? 1 : 0;
    if (claim.claimed >= keeperMajority(claim.keeperIds)) {
      claim.isGranted = true;
      return [{type: 'claimGranted', requestId: claim.requestId}];
    }
    return claim.heardFrom.size === claim.keeperIds.length
      ? this.#refuse(claim, 'unknown', undefined)
      : [];
  }

  #refuse(
    claim: Claim,
    state: 'running' | 'answered' | 'unknown' | 'other-request',
    answer: KeptAnswer | undefined,
  ): readonly CoreMessage[] {
    const kind = state === 'answered' ? 'repeat-unknown' : kindByState[state];
    const refused: CoreMessage = {type: 'claimRefused', requestId: claim.requestId, kind, answer};
    return [...this.#onSettled(claim.requestId, 'not-run', undefined), refused];
  }

  #onTimeout(claimId: string): readonly CoreMessage[] {
    const claim = this.#claims.get(claimId);
    return claim === undefined || claim.isGranted ? [] : this.#refuse(claim, 'unknown', undefined);
  }

  #onSettled(
    requestId: number,
    state: ClaimEnded['state'],
    answer: KeptAnswer | undefined,
  ): readonly CoreMessage[] {
    const claimId = this.#claimIdByRequest.get(requestId);
    const claim = claimId === undefined ? undefined : this.#claims.get(claimId);
    this.#claimIdByRequest.delete(requestId);
    if (claim === undefined) {
      return [];
    }
    this.#claims.delete(claim.claimId);
    const {customerId, idempotencyKey} = claim;
    const message: ClaimEnded = {
      type: 'claimEnded',
      claimId: claim.claimId,
      customerId,
      idempotencyKey,
      state,
      answer,
    };
    return claim.keeperIds.map((toHostId): CoreMessage => ({
      type: 'sendToPeer',
      toHostId,
      message,
    }));
  }
}
