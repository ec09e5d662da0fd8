import type {CoreTask} from '../host/coreTask.ts';
import {lenderLeaseMs} from '../membership/membershipOptions.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {resolveAllowanceOptions} from './allowanceOptions.ts';
import type {AllowanceOptions, RequiredAllowanceOptions} from './allowanceOptions.ts';

/** A share that is lent to the home of one hash bucket. */
interface Loan {
  readonly borrowerId: string;
  /** Number of the newest query of the borrower that this loan answers. */
  readonly nonce: number;
  /** Moment by which the borrower is certain to have stopped using the share, in ms. */
  endsAtMs: number;
  /** Since when the borrower's queries have not acknowledged the replies, in ms; undefined while they do. */
  unacknowledgedSinceMs: number | undefined;
}

/**
 * Lends this host's share of one class of fleet-wide limits to the homes that query it, one hash bucket at a
 * time. The home of a bucket is the host that decides on the bucket's keys for the whole fleet.
 *
 * The share of a bucket has one holder at a time: the borrower until its lease is certain to have ended, and
 * then this host, where the share lies idle. Saved tokens move with the share: a loan states how long the
 * share lay idle, and a share that is returned starts without any.
 */
export class LenderTask implements CoreTask {
  readonly accepts = ['peerMessageReceived', 'membershipChanged', 'freshUntil'] as const;

  readonly #options: AllowanceOptions;
  /** Current loan of each bucket. */
  readonly #loans = new Map<number, Loan>();
  /** Since when the share of each bucket has been idle, in ms. */
  readonly #idleSinceMs = new Map<number, number>();
  #ownShare = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  /** Moment from which loans granted by an earlier process on this host are certain to have ended, in ms. */
  #canLendFromMs: number | undefined;

  constructor(options: Partial<AllowanceOptions> & RequiredAllowanceOptions) {
    this.#options = resolveAllowanceOptions(options);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'membershipChanged':
        return this.#onMembershipChanged(message.ownShare, nowMs);
      case 'freshUntil':
        return this.#onFreshUntil(message.untilMs, nowMs);
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      default:
        return [];
    }
  }

  #onMembershipChanged(ownShare: number, nowMs: number): readonly CoreMessage[] {
    this.#canLendFromMs ??= nowMs + this.#leaseMs();
    if (this.#ownShare === 0 && ownShare > 0) {
      this.#restartIdleTime(nowMs);
    }
    this.#ownShare = ownShare;
    return [];
  }

  #onFreshUntil(untilMs: number, nowMs: number): readonly CoreMessage[] {
    if (nowMs > this.#freshUntilMs) {
      this.#restartIdleTime(nowMs);
    }
    this.#freshUntilMs = untilMs;
    return [];
  }

  #leaseMs(): number {
    return lenderLeaseMs(this.#options.bounds, this.#options.allowanceClass);
  }

  /** Restarts the idle time of all buckets: a share accrues no tokens while this host may not act. */
  #restartIdleTime(nowMs: number): void {
    for (let bucket = 0; bucket < this.#options.bucketCount; bucket += 1) {
      this.#idleSinceMs.set(bucket, Math.max(nowMs, this.#idleSinceMs.get(bucket) ?? nowMs));
    }
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (!('allowanceClass' in message) || message.allowanceClass !== this.#options.allowanceClass) {
      return [];
    }
    switch (message.type) {
      case 'loanAsk':
        return this.#onLoanQuery(fromHostId, message, nowMs);
      case 'loanReturn':
        this.#onLoanReturn(fromHostId, message, nowMs);
        return [];
      default:
        return [];
    }
  }

  #onLoanQuery(
    fromHostId: string,
    {nonce, heardNonce, buckets}: {nonce: number; heardNonce: number; buckets: readonly number[]},
    nowMs: number,
  ): readonly CoreMessage[] {
    const canLend =
      nowMs <= this.#freshUntilMs && this.#ownShare > 0 && nowMs >= (this.#canLendFromMs ?? nowMs);
    if (!canLend) {
      return [];
    }
    const loans: {bucket: number; idleMs: number}[] = [];
    for (const bucket of buckets) {
      const idleMs = this.#lend(bucket, fromHostId, nonce, heardNonce, nowMs);
      if (idleMs !== undefined) {
        loans.push({bucket, idleMs});
      }
    }
    const {allowanceClass} = this.#options;
    const reply: PeerMessage = {
      type: 'loanAnswer',
      allowanceClass,
      nonce,
      share: this.#ownShare,
      loans,
    };
    return [{type: 'sendToPeer', toHostId: fromHostId, message: reply}];
  }

  /** Lends a share or renews its loan; returns how long the share lay idle, or undefined if it cannot be lent. */
  #lend(
    bucket: number,
    borrowerId: string,
    nonce: number,
    heardNonce: number,
    nowMs: number,
  ): number | undefined {
    const endsAtMs = nowMs + this.#leaseMs();
    const loan = this.#loans.get(bucket);
    if (loan !== undefined && loan.endsAtMs > nowMs) {
      return this.#renew(bucket, loan, {borrowerId, nonce, heardNonce, nowMs, endsAtMs});
    }
    const idleSinceMs = Math.max(
      loan?.endsAtMs ?? Number.NEGATIVE_INFINITY,
      this.#idleSinceMs.get(bucket) ?? nowMs,
      this.#canLendFromMs ?? nowMs,
    );
    this.#loans.set(bucket, {borrowerId, nonce, endsAtMs, unacknowledgedSinceMs: undefined});
    return Math.max(0, nowMs - idleSinceMs);
  }

  /**
   * Renews a loan for the host that already has it; returns 0, the idle time of a share in use, or undefined if
   * it cannot be renewed. A borrower that has not acknowledged a reply for longer than a lease gets no renewal.
   */
  #renew(
    bucket: number,
    loan: Loan,
    query: {
      borrowerId: string;
      nonce: number;
      heardNonce: number;
      nowMs: number;
      endsAtMs: number;
    },
  ): number | undefined {
    const {borrowerId, nonce, heardNonce, nowMs, endsAtMs} = query;
    if (loan.borrowerId !== borrowerId) {
      return undefined;
    }
    const unacknowledgedSinceMs =
      heardNonce >= loan.nonce ? undefined : (loan.unacknowledgedSinceMs ?? nowMs);
    if (unacknowledgedSinceMs !== undefined && nowMs - unacknowledgedSinceMs > this.#leaseMs()) {
      return undefined;
    }
    this.#loans.set(bucket, {
      borrowerId,
      nonce: Math.max(nonce, loan.nonce),
      endsAtMs: Math.max(endsAtMs, loan.endsAtMs),
      unacknowledgedSinceMs,
    });
    return 0;
  }

  #onLoanReturn(
    fromHostId: string,
    {buckets, upToNonce}: {buckets: readonly number[]; upToNonce: number},
    nowMs: number,
  ): void {
    for (const bucket of buckets) {
      const loan = this.#loans.get(bucket);
      if (loan?.borrowerId === fromHostId && loan.nonce <= upToNonce && loan.endsAtMs > nowMs) {
        this.#loans.delete(bucket);
        this.#idleSinceMs.set(bucket, nowMs);
      }
    }
  }
}
