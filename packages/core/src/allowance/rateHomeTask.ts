import type {Customer, FleetDocument, HostList} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LoanAnswer, PeerMessage, TokenAnswer, TokenAsk} from '../messages/peerMessages.ts';
import type {MembershipChanged} from '../messages/hostMessages.ts';
import {resolveAllowanceOptions} from './allowanceOptions.ts';
import type {AllowanceOptions, RequiredAllowanceOptions} from './allowanceOptions.ts';
import {BucketBalance} from './bucketBalance.ts';
import {HomePlacement} from './homePlacement.ts';
import {LoanBorrower} from './loanBorrower.ts';

const timerId = 'home.tick';
/** Interval at which loans, releases and handovers are checked, in ms. */
const tickMs = 100;
/** Part of the reachable hosts' shares that a home must hold before its balances decide on refusals. */
const minHeldPart = 0.9;
/**
 * Time for which a drained bucket waits for the query of its next home, and for which tokens that were handed
 * over wait for the shares that cover them, in ms.
 */
const handoverWaitMs = 1_000;
/** Largest number of grants on which reports are awaited. */
const maxTrackedGrants = 4_096;
/** Largest number of handovers that are remembered to recognise duplicates. */
const maxSeenHandovers = 64;

/** Peer message by which a home hands its saved tokens over to the next home of a bucket. */
type StockHandover = Extract<PeerMessage, {type: 'stockHandover'}>;

/** Tokens that an earlier home handed over and that are not yet added to the balances. */
interface PendingHandover {
  readonly message: StockHandover;
  /** Moment of the query for loans that the handover answers, in ms. */
  readonly querySentAtMs: number;
}

/** A hash bucket of customers that this host is home of, or hands over to the next home. */
interface OwnedBucket {
  /** Shares and token balances of the bucket. */
  readonly bucketBalance: BucketBalance;
  /** Since when the home has granted nothing and waits for outstanding grants to end, in ms; else undefined. */
  drainingSinceMs: number | undefined;
  /** Since when no token that was handed out can be used any more, in ms; undefined before. */
  drainedSinceMs: number | undefined;
}

/**
 * Enforces the customers' rates for the whole fleet as the home of some hash buckets of customers: borrows the
 * shares of all hosts and grants tokens to the entry hosts that query it.
 *
 * A token expires no later than the share it was granted from, because the borrower of loans treats each loan as
 * ended earlier than its lease by the longest lifetime of a token.
 */
export class RateHomeTask implements CoreTask {
  readonly accepts = [
    'documentInForce',
    'membershipChanged',
    'freshUntil',
    'peerMessageReceived',
    'timerFired',
    'shutdownWanted',
    'statusWanted',
  ] as const;

  readonly #options: AllowanceOptions;
  readonly #placement: HomePlacement;
  readonly #buckets = new Map<number, OwnedBucket>();
  readonly #loanBorrower: LoanBorrower;
  /** Customer of each grant on which a report is awaited. */
  readonly #customerByGrant = new Map<number, string>();
  readonly #pendingHandovers: PendingHandover[] = [];
  readonly #seenHandovers = new Set<string>();
  #customersByBucket = new Map<number, Customer[]>();
  #hostList: HostList | undefined;
  #reachableHostIds: readonly string[] = [];
  #ownShare = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #nextGrantId: number;
  #isShuttingDown = false;
  #isTicking = false;

  constructor(options: Partial<AllowanceOptions> & RequiredAllowanceOptions) {
    this.#options = resolveAllowanceOptions(options);
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#loanBorrower = new LoanBorrower(this.#options);
    this.#nextGrantId = this.#options.firstNonce;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'documentInForce':
        return this.#onDocument(message.document, nowMs);
      case 'membershipChanged':
        return this.#onMembership(message, nowMs);
      case 'freshUntil':
        this.#freshUntilMs = message.untilMs;
        return [];
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTick(nowMs) : [];
      case 'shutdownWanted':
        this.#isShuttingDown = true;
        return this.#updateOwnedBuckets(nowMs);
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const [bucket, {bucketBalance, drainingSinceMs}] of this.#buckets) {
      bucketBalance.advance(nowMs);
      const {share, loans} = bucketBalance;
      const isHandingOver = drainingSinceMs !== undefined;
      value[`bucket-${bucket}`] = {
        share,
        lenders: loans.lenderIds.length,
        isHandingOver,
        lowest: bucketBalance.lowest(nowMs),
      };
    }
    return {type: 'statusReported', askId, section: 'rateHome', value};
  }

  #onDocument(document: FleetDocument, nowMs: number): readonly CoreMessage[] {
    this.#customersByBucket = new Map();
    for (const customer of document.customers) {
      const bucket = this.#placement.bucketOf(customer.id);
      const customers = this.#customersByBucket.get(bucket) ?? [];
      customers.push(customer);
      this.#customersByBucket.set(bucket, customers);
    }
    for (const [bucket, {bucketBalance}] of this.#buckets) {
      bucketBalance.replaceCustomers(this.#customersByBucket.get(bucket) ?? [], nowMs);
    }
    return [];
  }

  #onMembership(message: MembershipChanged, nowMs: number): readonly CoreMessage[] {
    this.#hostList = message.list;
    this.#ownShare = message.ownShare;
    this.#reachableHostIds = message.reachableHostIds;
    this.#placement.setReachableHosts(message.reachableHostIds);
    const messages: CoreMessage[] = [...this.#updateOwnedBuckets(nowMs)];
    if (!this.#isTicking) {
      this.#isTicking = true;
      messages.push({type: 'timerWanted', timerId, atMs: nowMs + tickMs});
    }
    return messages;
  }

  /** Acquires the buckets that are now assigned to this host and starts to drain those that no longer are. */
  #updateOwnedBuckets(nowMs: number): readonly CoreMessage[] {
    const assigned = new Set(
      this.#isShuttingDown ? [] : this.#placement.bucketsOf(this.#options.selfId),
    );
    const acquired: number[] = [];
    for (const bucket of assigned) {
      const owned = this.#buckets.get(bucket);
      if (owned !== undefined) {
        owned.drainingSinceMs = undefined;
        owned.drainedSinceMs = undefined;
        continue;
      }
      this.#acquireBucket(bucket, nowMs);
      acquired.push(bucket);
    }
    for (const [bucket, state] of this.#buckets) {
      if (!assigned.has(bucket)) {
        state.drainingSinceMs ??= nowMs;
      }
    }
    return acquired.length === 0 ? [] : this.#requestLoans(acquired, nowMs);
  }

  #acquireBucket(bucket: number, nowMs: number): void {
    const {minGrantLifeMs, maxGrantLifeMs, bounds} = this.#options;
    const options = {minGrantLifeMs, maxGrantLifeMs, clockDrift: bounds.clockDrift};
    const balance = new BucketBalance(this.#customersByBucket.get(bucket) ?? [], options, nowMs);
    this.#buckets.set(bucket, {
      bucketBalance: balance,
      drainingSinceMs: undefined,
      drainedSinceMs: undefined,
    });
  }

  #requestLoans(buckets: readonly number[], nowMs: number): readonly CoreMessage[] {
    return this.#ownShare === 0
      ? []
      : this.#loanBorrower.requestLoans(this.#hostList, buckets, nowMs);
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'loanAnswer':
        this.#onLoanReply(fromHostId, message, nowMs);
        return [];
      case 'tokenAsk':
        return this.#onTokenQuery(fromHostId, message, nowMs);
      case 'loanAsk':
        return message.allowanceClass === 'rates'
          ? this.#onSuccessorQuery(fromHostId, message.nonce, message.buckets, nowMs)
          : [];
      case 'stockHandover':
        this.#onHandover(fromHostId, message);
        return [];
      default:
        return [];
    }
  }

  #onLoanReply(fromHostId: string, reply: LoanAnswer, nowMs: number): void {
    if (reply.allowanceClass !== 'rates') {
      return;
    }
    for (const loan of this.#loanBorrower.receiveReply(fromHostId, reply, nowMs)) {
      this.#buckets.get(loan.bucket)?.bucketBalance.addLoan(loan, nowMs);
    }
  }

  #onTokenQuery(fromHostId: string, query: TokenAsk, nowMs: number): readonly CoreMessage[] {
    for (const {grantId, used} of query.settled) {
      this.#onUseReport(grantId, used, nowMs);
    }
    const grants: TokenAnswer['grants'] = [];
    for (const want of query.wants) {
      grants.push(this.#grant(want, nowMs));
    }
    if (grants.length === 0) {
      return [];
    }
    const message: TokenAnswer = {type: 'tokenAnswer', askId: query.askId, grants};
    return [{type: 'sendToPeer', toHostId: fromHostId, message}];
  }

  #onUseReport(grantId: number, used: number, nowMs: number): void {
    const customerId = this.#customerByGrant.get(grantId);
    if (customerId === undefined) {
      return;
    }
    this.#customerByGrant.delete(grantId);
    const bucket = this.#buckets.get(this.#placement.bucketOf(customerId));
    bucket?.bucketBalance.recordUse(customerId, grantId, used, nowMs);
  }

  #grant(want: TokenAsk['wants'][number], nowMs: number): TokenAnswer['grants'][number] {
    const {customerId} = want;
    const grantId = this.#nextGrantId;
    this.#nextGrantId += 1;
    const emptyGrant = {customerId, grantId, count: 0, lifeMs: 0, isSettled: false};
    const bucket = this.#buckets.get(this.#placement.bucketOf(customerId));
    const canGrant = nowMs <= this.#freshUntilMs && bucket?.drainingSinceMs === undefined;
    if (bucket === undefined || !canGrant) {
      return emptyGrant;
    }
    const offer = bucket.bucketBalance.grant(grantId, want, nowMs);
    if (offer === undefined) {
      return emptyGrant;
    }
    if (offer.count > 0) {
      this.#customerByGrant.set(grantId, customerId);
      this.#discardOldGrants();
    }
    return {customerId, grantId, isSettled: this.#isSettled(bucket), ...offer};
  }

  /** Discards the oldest grants above the limit: reports on grants long past their lifetime are of no use. */
  #discardOldGrants(): void {
    for (const grantId of this.#customerByGrant.keys()) {
      if (this.#customerByGrant.size <= maxTrackedGrants) {
        return;
      }
      this.#customerByGrant.delete(grantId);
    }
  }

  /** Returns whether enough shares are held for the balances to decide on refusals. */
  #isSettled({bucketBalance}: OwnedBucket): boolean {
    return bucketBalance.share >= minHeldPart * this.#ownShare * this.#reachableHostIds.length;
  }

  #onHandover(fromHostId: string, message: StockHandover): void {
    const handoverKey = `${fromHostId}:${message.nonce}:${message.bucket}`;
    const querySentAtMs = this.#loanBorrower.querySentAtMs(message.nonce, fromHostId);
    if (querySentAtMs === undefined || this.#seenHandovers.has(handoverKey)) {
      return;
    }
    this.#seenHandovers.add(handoverKey);
    for (const oldest of this.#seenHandovers) {
      if (this.#seenHandovers.size <= maxSeenHandovers) {
        break;
      }
      this.#seenHandovers.delete(oldest);
    }
    this.#pendingHandovers.push({message, querySentAtMs});
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [{type: 'timerWanted', timerId, atMs: nowMs + tickMs}];
    const owned: number[] = [];
    let isRenewalDue = false;
    for (const [bucket, state] of this.#buckets) {
      state.bucketBalance.advance(nowMs);
      if (state.drainingSinceMs !== undefined) {
        messages.push(...this.#releaseIfDrained(bucket, state, nowMs));
        continue;
      }
      const intervalMs = this.#isSettled(state) ? this.#options.renewIntervalMs : 2 * tickMs;
      owned.push(bucket);
      isRenewalDue ||= nowMs - this.#loanBorrower.lastQueryMs(bucket) >= intervalMs;
    }
    if (isRenewalDue) {
      messages.push(...this.#requestLoans(owned, nowMs));
    }
    this.#applyHandovers(nowMs);
    return messages;
  }

  /** Records when a bucket is drained, and releases it if no other host has queried its loans for a while. */
  #releaseIfDrained(bucket: number, state: OwnedBucket, nowMs: number): readonly CoreMessage[] {
    if (state.drainedSinceMs === undefined) {
      state.drainedSinceMs = state.bucketBalance.hasOutstanding(nowMs) ? undefined : nowMs;
      return [];
    }
    return nowMs - state.drainedSinceMs >= handoverWaitMs ? this.#releaseBucket(bucket, state) : [];
  }

  /** Stops owning a bucket and returns its loans to their lenders. */
  #releaseBucket(bucket: number, {bucketBalance}: OwnedBucket): readonly CoreMessage[] {
    this.#buckets.delete(bucket);
    return this.#loanBorrower.returnLoans(bucketBalance.loans.lenderIds, bucket);
  }

  /** Hands drained buckets, with their tokens, over to the host that queries their loans. */
  #onSuccessorQuery(
    fromHostId: string,
    nonce: number,
    buckets: readonly number[],
    nowMs: number,
  ): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    if (fromHostId === this.#options.selfId) {
      return messages;
    }
    for (const bucket of buckets) {
      const state = this.#buckets.get(bucket);
      if (state?.drainedSinceMs === undefined) {
        continue;
      }
      const {share} = state.bucketBalance;
      const balances = state.bucketBalance.removeBalances(nowMs);
      messages.push(...this.#releaseBucket(bucket, state));
      const message: PeerMessage = {type: 'stockHandover', nonce, bucket, share, stock: balances};
      messages.push({type: 'sendToPeer', toHostId: fromHostId, message});
    }
    return messages;
  }

  /** Adds tokens that were handed over once this home holds enough shares, or when they have waited for long. */
  #applyHandovers(nowMs: number): void {
    const handovers = this.#pendingHandovers.splice(0);
    for (const handover of handovers) {
      const {bucket, share, stock: balances} = handover.message;
      const state = this.#buckets.get(bucket);
      const elapsedMs = nowMs - handover.querySentAtMs;
      const isCovered = state !== undefined && this.#isSettled(state);
      if (!isCovered && elapsedMs < handoverWaitMs) {
        this.#pendingHandovers.push(handover);
        continue;
      }
      for (const balance of balances) {
        state?.bucketBalance.addHandedOverTokens(balance, {share, elapsedMs}, nowMs);
      }
    }
  }
}
