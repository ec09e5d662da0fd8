import type {HostList} from '@godwitspring/document';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {AllowanceClass, LoanAnswer, PeerMessage} from '../messages/peerMessages.ts';
import type {LeaseBounds} from '../membership/membershipOptions.ts';
import {loanLeaseMs} from '../membership/membershipOptions.ts';

/** A loan that a home may use until `endsAtMs` on its own clock. */
export interface GrantedLoan {
  readonly bucket: number;
  readonly lenderId: string;
  readonly share: number;
  readonly endsAtMs: number;
  /** Time for which the share lay idle at the lender before, in ms. */
  readonly idleMs: number;
}

export interface LoanHolderOptions {
  readonly allowanceClass: AllowanceClass;
  readonly bounds: LeaseBounds;
  /** First number of asks; differs between processes at the same host. */
  readonly firstNonce: number;
  /** Longest life of what the home hands out of its shares, in ms. */
  readonly maxGrantLifeMs: number;
}

const maxKnownAsks = 4_096;

interface LoanAskRecord {
  readonly lenderId: string;
  readonly askedAtMs: number;
  /** False once an answer was taken, or would come too late to be used. */
  isOpen: boolean;
}

/**
 * Borrower's side of loans: asks all hosts and counts each loan from its ask.
 *
 * A loan ends early enough for the longest grant, so that nothing handed out outlives the share it
 * came from.
 */
export class LoanHolder {
  readonly #options: LoanHolderOptions;
  readonly #asks = new Map<number, LoanAskRecord>();
  readonly #lastAskMs = new Map<number, number>();
  readonly #heardNonceByLender = new Map<string, number>();
  #nextNonce: number;

  constructor(options: LoanHolderOptions) {
    this.#options = options;
    this.#nextNonce = options.firstNonce;
  }

  /** When the loans of a bucket were last asked for, in ms. */
  lastAskMs(bucket: number): number {
    return this.#lastAskMs.get(bucket) ?? Number.NEGATIVE_INFINITY;
  }

  /** Asks every host of the list for its shares in the buckets. */
  ask(list: HostList | undefined, buckets: readonly number[], nowMs: number): CoreMessage[] {
    const messages: CoreMessage[] = [];
    if (buckets.length === 0) {
      return messages;
    }
    for (const bucket of buckets) {
      this.#lastAskMs.set(bucket, nowMs);
    }
    const {allowanceClass} = this.#options;
    for (const {id} of list?.hosts ?? []) {
      const nonce = this.#nextNonce;
      this.#nextNonce += 1;
      this.#asks.set(nonce, {lenderId: id, askedAtMs: nowMs, isOpen: true});
      const heardNonce = this.#heardNonceByLender.get(id) ?? 0;
      const message: PeerMessage = {
        type: 'loanAsk',
        allowanceClass,
        nonce,
        heardNonce,
        buckets: [...buckets],
      };
      messages.push({type: 'sendToPeer', toHostId: id, message});
    }
    this.#forgetOldAsks();
    return messages;
  }

  /** Takes an answer; gives the loans in it that still run. */
  take(fromHostId: string, {nonce, share, loans}: LoanAnswer, nowMs: number): GrantedLoan[] {
    const ask = this.#asks.get(nonce);
    if (ask?.lenderId !== fromHostId || !ask.isOpen) {
      return [];
    }
    ask.isOpen = false;
    const {allowanceClass, bounds, maxGrantLifeMs} = this.#options;
    const heldMs =
      loanLeaseMs(bounds, allowanceClass) - maxGrantLifeMs * (1 + 2 * bounds.clockDrift);
    const endsAtMs = ask.askedAtMs + heldMs;
    if (endsAtMs <= nowMs) {
      return [];
    }
    const heard = this.#heardNonceByLender.get(fromHostId) ?? 0;
    this.#heardNonceByLender.set(fromHostId, Math.max(heard, nonce));
    return loans.map(({bucket, idleMs}) => ({
      bucket,
      lenderId: fromHostId,
      share,
      endsAtMs,
      idleMs,
    }));
  }

  /** When the ask of a number went to a host, in ms; undefined for one that did not. */
  askedAtMs(nonce: number, lenderId: string): number | undefined {
    const ask = this.#asks.get(nonce);
    return ask?.lenderId === lenderId ? ask.askedAtMs : undefined;
  }

  /** Gives the loans of one bucket back; answers that are still on their way are not taken any more. */
  giveBack(lenderIds: readonly string[], bucket: number): CoreMessage[] {
    for (const ask of this.#asks.values()) {
      ask.isOpen = false;
    }
    const {allowanceClass} = this.#options;
    const upToNonce = this.#nextNonce - 1;
    const message: PeerMessage = {type: 'loanReturn', allowanceClass, upToNonce, buckets: [bucket]};
    return lenderIds.map((toHostId) => ({type: 'sendToPeer', toHostId, message}));
  }

  #forgetOldAsks(): void {
    for (const oldNonce of this.#asks.keys()) {
      if (this.#asks.size <= maxKnownAsks) {
        return;
      }
      this.#asks.delete(oldNonce);
    }
  }
}
