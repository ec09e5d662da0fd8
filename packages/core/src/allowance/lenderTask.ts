import type {CoreTask} from '../host/coreTask.ts';
import {lenderLeaseMs} from '../membership/membershipOptions.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {allowanceOptions} from './allowanceOptions.ts';
import type {AllowanceOptions, RequiredAllowanceOptions} from './allowanceOptions.ts';

interface Loan {
  readonly borrowerId: string;
  readonly nonce: number;
  /** Moment by which the borrower has surely stopped using the share. */
  untilMs: number;
  /** Since when the borrower has shown no sign of our answers; undefined while it does. */
  unheardSinceMs: number | undefined;
}

/**
 * Lends this host's share of every allowance, bucket by bucket, to the homes that ask.
 *
 * The share of a bucket is with one holder at a time: the borrower until its lease has surely ended,
 * after which it lies idle here. The saved tokens go with the share: a loan tells how long the share
 * lay idle, and a share that comes back starts from nothing.
 */
export class LenderTask implements CoreTask {
  readonly accepts = ['peerMessageReceived', 'membershipChanged', 'freshUntil'] as const;

  readonly #options: AllowanceOptions;
  readonly #loans = new Map<number, Loan>();
  readonly #idleSinceMs = new Map<number, number>();
  #ownShare = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  /** Loans of an earlier process on this host have surely ended from this moment on. */
  #lendsFromMs: number | undefined;

  constructor(options: Partial<AllowanceOptions> & RequiredAllowanceOptions) {
    this.#options = allowanceOptions(options);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'membershipChanged':
        return this.#onShare(message.ownShare, nowMs);
      case 'freshUntil':
        return this.#onFresh(message.untilMs, nowMs);
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      default:
        return [];
    }
  }

  #onShare(ownShare: number, nowMs: number): readonly CoreMessage[] {
    this.#lendsFromMs ??= nowMs + this.#leaseMs();
    if (this.#ownShare === 0 && ownShare > 0) {
      this.#restartIdle(nowMs);
    }
    this.#ownShare = ownShare;
    return [];
  }

  #onFresh(untilMs: number, nowMs: number): readonly CoreMessage[] {
    if (nowMs > this.#freshUntilMs) {
      this.#restartIdle(nowMs);
    }
    this.#freshUntilMs = untilMs;
    return [];
  }

  #leaseMs(): number {
    return lenderLeaseMs(this.#options.bounds, this.#options.allowanceClass);
  }

  /** A share saves nothing while the host may not act. */
  #restartIdle(nowMs: number): void {
    for (let bucket = 0; bucket < this.#options.bucketCount; bucket += 1) {
      this.#idleSinceMs.set(bucket, Math.max(nowMs, this.#idleSinceMs.get(bucket) ?? nowMs));
    }
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (!('allowanceClass' in message) || message.allowanceClass !== this.#options.allowanceClass) {
      return [];
    }
    switch (message.type) {
      case 'loanAsk':
        return this.#onAsk(fromHostId, message, nowMs);
      case 'loanReturn':
        this.#onReturn(fromHostId, message, nowMs);
        return [];
      default:
        return [];
    }
  }

  #onAsk(
    fromHostId: string,
    {nonce, heardNonce, buckets}: {nonce: number; heardNonce: number; buckets: readonly number[]},
    nowMs: number,
  ): readonly CoreMessage[] {
    const mayLend =
      nowMs <= this.#freshUntilMs && this.#ownShare > 0 && nowMs >= (this.#lendsFromMs ?? nowMs);
    if (!mayLend) {
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
    const answer: PeerMessage = {
      type: 'loanAnswer',
      allowanceClass,
      nonce,
      share: this.#ownShare,
      loans,
    };
    return [{type: 'sendToPeer', toHostId: fromHostId, message: answer}];
  }

  /** Lends or renews; gives how long the share lay idle, or undefined where it cannot be lent. */
  #lend(
    bucket: number,
    borrowerId: string,
    nonce: number,
    heardNonce: number,
    nowMs: number,
  ): number | undefined {
    const untilMs = nowMs + this.#leaseMs();
    const loan = this.#loans.get(bucket);
    if (loan !== undefined && loan.untilMs > nowMs) {
      return this.#renew(bucket, loan, {borrowerId, nonce, heardNonce, nowMs, untilMs});
    }
    const idleSinceMs = Math.max(
      loan?.untilMs ?? Number.NEGATIVE_INFINITY,
      this.#idleSinceMs.get(bucket) ?? nowMs,
      this.#lendsFromMs ?? nowMs,
    );
    this.#loans.set(bucket, {borrowerId, nonce, untilMs, unheardSinceMs: undefined});
    return Math.max(0, nowMs - idleSinceMs);
  }

  #renew(
    bucket: number,
    loan: Loan,
    ask: {
      borrowerId: string;
      nonce: number;
      heardNonce: number;
      nowMs: number;
      untilMs: number;
    },
  ): number | undefined {
    const {borrowerId, nonce, heardNonce, nowMs, untilMs} = ask;
    if (loan.borrowerId !== borrowerId) {
      return undefined;
    }
    const unheardSinceMs = heardNonce >= loan.nonce ? undefined : (loan.unheardSinceMs ?? nowMs);
    if (unheardSinceMs !== undefined && nowMs - unheardSinceMs > this.#leaseMs()) {
      return undefined;
    }
    this.#loans.set(bucket, {
      borrowerId,
      nonce: Math.max(nonce, loan.nonce),
      untilMs: Math.max(untilMs, loan.untilMs),
      unheardSinceMs,
    });
    return 0;
  }

  #onReturn(
    fromHostId: string,
    {buckets, upToNonce}: {buckets: readonly number[]; upToNonce: number},
    nowMs: number,
  ): void {
    for (const bucket of buckets) {
      const loan = this.#loans.get(bucket);
      if (loan?.borrowerId === fromHostId && loan.nonce <= upToNonce && loan.untilMs > nowMs) {
        this.#loans.delete(bucket);
        this.#idleSinceMs.set(bucket, nowMs);
      }
    }
  }
}
