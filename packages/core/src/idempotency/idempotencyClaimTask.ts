import type {HostList} from '@godwitspring/document';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {ClaimAnswer, ClaimAsk, ClaimEnded, StoredResponse} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import {replicaMajority, replicasOf} from './idempotencyReplicas.ts';

/** Settings of the entry host's side of idempotency keys. */
export interface IdempotencyClaimOptions {
  /** Id of this host. */
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Maximum wait for the replies of the replicas, in ms. Default: 400. */
  readonly replyTimeoutMs: number;
  /** Part of every claim id; differs between processes on the same host. Default: 1. */
  readonly firstNonce: number;
}

/** Defaults of {@link IdempotencyClaimOptions}. */
export const DEFAULT_IDEMPOTENCY_CLAIM_OPTIONS = {replyTimeoutMs: 400, firstNonce: 1} as const;

const timerPrefix = 'claim:';

/** Reservation of an idempotency key for the run of one request. */
interface Claim {
  readonly requestId: number;
  readonly claimId: string;
  readonly customerId: string;
  readonly idempotencyKey: string;
  /** Hosts that hold a replica of the key. */
  readonly replicaIds: readonly string[];
  readonly repliedHostIds: Set<string>;
  /** Replicas that reserved the key for this claim. */
  claimedCount: number;
  /** True once a majority of the replicas reserved the key. */
  isGranted: boolean;
}

/** Error returned to the caller, by the state in which a replica found the key. */
const errorKindByState: Readonly<Record<'running' | 'unknown' | 'other-request', ErrorKind>> = {
  running: 'repeat-in-progress',
  unknown: 'repeat-unknown',
  'other-request': 'repeat-unknown',
};

/**
 * Idempotency keys on an entry host: lets a request run only if a majority of the replicas of its key, two
 * of three, have reserved the key for it. A replica reserves a key only if it stores no unexpired record
 * of another claim on it.
 *
 * The request is refused if a replica replies first that the key is in use, or if too few replicas reply
 * in time or can vote.
 */
export class IdempotencyClaimTask implements CoreTask {
  readonly accepts = [
    'claimWanted',
    'claimFinalized',
    'membershipChanged',
    'peerMessageReceived',
    'timerFired',
  ] as const;

  readonly #options: IdempotencyClaimOptions;
  readonly #claims = new Map<string, Claim>();
  readonly #claimIdByRequest = new Map<number, string>();
  #hostList: HostList | undefined;

  constructor(
    options: Partial<IdempotencyClaimOptions> & Pick<IdempotencyClaimOptions, 'selfId' | 'hash'>,
  ) {
    this.#options = {...DEFAULT_IDEMPOTENCY_CLAIM_OPTIONS, ...options};
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'claimWanted':
        return this.#onClaimWanted(message, nowMs);
      case 'claimFinalized':
        return this.#endClaim(message.requestId, message.state, message.answer);
      case 'membershipChanged':
        this.#hostList = message.list;
        return [];
      case 'peerMessageReceived':
        return message.message.type === 'claimAnswer'
          ? this.#onReply(message.fromHostId, message.message)
          : [];
      case 'timerFired':
        return message.timerId.startsWith(timerPrefix)
          ? this.#onTimeout(message.timerId.slice(timerPrefix.length))
          : [];
      default:
        return [];
    }
  }

  #onClaimWanted(
    wanted: Extract<CoreMessage, {type: 'claimWanted'}>,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {requestId, customerId, idempotencyKey, requestDigest, deadlineAtMs} = wanted;
    const {selfId, hash, replyTimeoutMs, firstNonce} = this.#options;
    const replicaIds =
      this.#hostList === undefined
        ? []
        : replicasOf(this.#hostList, `${customerId}|${idempotencyKey}`, hash);
    if (replicaIds.length === 0) {
      return [{type: 'claimRefused', requestId, kind: 'repeat-unknown'}];
    }
    const claimId = `${selfId}/${firstNonce}/${requestId}`;
    const claim: Claim = {
      requestId,
      claimId,
      customerId,
      idempotencyKey,
      replicaIds,
      repliedHostIds: new Set(),
      claimedCount: 0,
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
      {type: 'timerWanted', timerId: `${timerPrefix}${claimId}`, atMs: nowMs + replyTimeoutMs},
      ...replicaIds.map((toHostId): CoreMessage => ({type: 'sendToPeer', toHostId, message})),
    ];
  }

  /** Counts a replica's reply: grants the claim with a majority, refuses it if the key is in use. */
  #onReply(
    fromHostId: string,
    {claimId, state, answer: response}: ClaimAnswer,
  ): readonly CoreMessage[] {
    const claim = this.#claims.get(claimId);
    if (claim === undefined || claim.isGranted || claim.repliedHostIds.has(fromHostId)) {
      return [];
    }
    claim.repliedHostIds.add(fromHostId);
    if (state !== 'claimed' && state !== 'abstains') {
      return this.#refuse(claim, state, response);
    }
    claim.claimedCount += state === 'claimed' ? 1 : 0;
    if (claim.claimedCount >= replicaMajority(claim.replicaIds)) {
      claim.isGranted = true;
      return [{type: 'claimGranted', requestId: claim.requestId}];
    }
    return claim.repliedHostIds.size === claim.replicaIds.length
      ? this.#refuse(claim, 'unknown', undefined)
      : [];
  }

  /** Releases the key at the replicas and refuses the request, with the stored response if there is one. */
  #refuse(
    claim: Claim,
    state: 'running' | 'answered' | 'unknown' | 'other-request',
    response: StoredResponse | undefined,
  ): readonly CoreMessage[] {
    const kind = state === 'answered' ? 'repeat-unknown' : errorKindByState[state];
    const refused: CoreMessage = {
      type: 'claimRefused',
      requestId: claim.requestId,
      kind,
      answer: response,
    };
    return [...this.#endClaim(claim.requestId, 'not-run', undefined), refused];
  }

  #onTimeout(claimId: string): readonly CoreMessage[] {
    const claim = this.#claims.get(claimId);
    return claim === undefined || claim.isGranted ? [] : this.#refuse(claim, 'unknown', undefined);
  }

  /** Ends the claim of a request and notifies the replicas how its run ended. */
  #endClaim(
    requestId: number,
    state: ClaimEnded['state'],
    response: StoredResponse | undefined,
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
      answer: response,
    };
    return claim.replicaIds.map((toHostId): CoreMessage => ({
      type: 'sendToPeer',
      toHostId,
      message,
    }));
  }
}
