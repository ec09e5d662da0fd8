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
  /** Time for which the share lay idle at the lender before the loan, in ms. */
  readonly idleMs: number;
}

/** Options of the borrower of loans. */
export interface LoanBorrowerOptions {
  /** The kind of fleet-wide limit whose shares are borrowed. */
  readonly allowanceClass: AllowanceClass;
  /** Time bounds of loans. */
  readonly bounds: LeaseBounds;
  /** First number of queries; differs between processes on the same host. */
  readonly firstNonce: number;
  /** Longest lifetime of grants that the home makes out of its shares, in ms. */
  readonly maxGrantLifeMs: number;
}

/** Largest number of sent queries that are remembered for their replies. */
const maxTrackedQueries = 4_096;

/** A query for loans that was sent to one host. */
interface SentLoanQuery {
  readonly lenderId: string;
  readonly sentAtMs: number;
  /** False once a reply was accepted, or since the loans were returned; later replies are then ignored. */
  isOpen: boolean;
}

/**
 * Borrows shares of a fleet-wide limit from all hosts on behalf of a home.
 *
 * A loan is a lease on a lender's share. Its time is counted from the query, not from the reply, and it ends
 * earlier than the lease by the longest lifetime of a grant, so that no grant outlives the share it was made
 * from.
 */
export class LoanBorrower {
  readonly #options: LoanBorrowerOptions;
  readonly #sentQueries = new Map<number, SentLoanQuery>();
  /** When the loans of each bucket were last queried, in ms. */
  readonly #lastQueryMs = new Map<number, number>();
  /** Number of the newest query that each lender answered; it acknowledges that reply in the next query. */
  readonly #newestReplyNonceByLender = new Map<string, number>();
  #nextNonce: number;

  constructor(options: LoanBorrowerOptions) {
    this.#options = options;
    this.#nextNonce = options.firstNonce;
  }

  /** Returns when the loans of a bucket were last queried, in ms; minus infinity if never. */
  lastQueryMs(bucket: number): number {
    return this.#lastQueryMs.get(bucket) ?? Number.NEGATIVE_INFINITY;
  }

  /** Queries every host of the list for its shares of the buckets. */
  requestLoans(
    list: HostList | undefined,
    buckets: readonly number[],
    nowMs: number,
  ): CoreMessage[] {
    const messages: CoreMessage[] = [];
    if (buckets.length === 0) {
      return messages;
    }
    for (const bucket of buckets) {
      this.#lastQueryMs.set(bucket, nowMs);
    }
    const {allowanceClass} = this.#options;
    for (const {id} of list?.hosts ?? []) {
      const nonce = this.#nextNonce;
      this.#nextNonce += 1;
      this.#sentQueries.set(nonce, {lenderId: id, sentAtMs: nowMs, isOpen: true});
      const heardNonce = this.#newestReplyNonceByLender.get(id) ?? 0;
      const message: PeerMessage = {
        type: 'loanAsk',
        allowanceClass,
        nonce,
        heardNonce,
        buckets: [...buckets],
      };
      messages.push({type: 'sendToPeer', toHostId: id, message});
    }
    this.#discardOldQueries();
    return messages;
  }

  /** Processes a reply and returns its loans, unless they have already ended. */
  receiveReply(
    fromHostId: string,
    {nonce, share, loans}: LoanAnswer,
    nowMs: number,
  ): GrantedLoan[] {
    const query = this.#sentQueries.get(nonce);
    if (query?.lenderId !== fromHostId || !query.isOpen) {
      return [];
    }
    query.isOpen = false;
    const {allowanceClass, bounds, maxGrantLifeMs} = this.#options;
    const usableMs =
      loanLeaseMs(bounds, allowanceClass) - maxGrantLifeMs * (1 + 2 * bounds.clockDrift);
    const endsAtMs = query.sentAtMs + usableMs;
    if (endsAtMs <= nowMs) {
      return [];
    }
    const newestNonce = this.#newestReplyNonceByLender.get(fromHostId) ?? 0;
    this.#newestReplyNonceByLender.set(fromHostId, Math.max(newestNonce, nonce));
    return loans.map(({bucket, idleMs}) => ({
      bucket,
      lenderId: fromHostId,
      share,
      endsAtMs,
      idleMs,
    }));
  }

  /** Returns when the query of this number was sent to the host, in ms; undefined if it was not. */
  querySentAtMs(nonce: number, lenderId: string): number | undefined {
    const query = this.#sentQueries.get(nonce);
    return query?.lenderId === lenderId ? query.sentAtMs : undefined;
  }

  /** Returns the loans of one bucket to their lenders; replies to queries sent so far are ignored from now on. */
  returnLoans(lenderIds: readonly string[], bucket: number): CoreMessage[] {
    for (const query of this.#sentQueries.values()) {
      query.isOpen = false;
    }
    const {allowanceClass} = this.#options;
    const upToNonce = this.#nextNonce - 1;
    const message: PeerMessage = {type: 'loanReturn', allowanceClass, upToNonce, buckets: [bucket]};
    return lenderIds.map((toHostId) => ({type: 'sendToPeer', toHostId, message}));
  }

  #discardOldQueries(): void {
    for (const oldNonce of this.#sentQueries.keys()) {
      if (this.#sentQueries.size <= maxTrackedQueries) {
        return;
      }
      this.#sentQueries.delete(oldNonce);
    }
  }
}
