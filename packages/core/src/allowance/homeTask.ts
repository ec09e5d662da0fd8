import type {Customer, FleetDocument, HostList} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LoanAnswer, PeerMessage, TokenAnswer, TokenAsk} from '../messages/peerMessages.ts';
import type {MembershipChanged} from '../messages/hostMessages.ts';
import {allowanceOptions} from './allowanceOptions.ts';
import type {AllowanceOptions, RequiredAllowanceOptions} from './allowanceOptions.ts';
import {BucketStock} from './bucketStock.ts';
import {HomePlacement} from './homePlacement.ts';
import {LoanHolder} from './loanHolder.ts';

const timerId = 'home.tick';
const tickMs = 100;
/** Part of the reachable shares that a home must hold to judge a customer. */
const settledPart = 0.9;
/** Time for which stock handed over waits for the shares that cover it, in ms. */
const handoverWaitMs = 1_000;
const maxKnownGrants = 4_096;
const maxHandovers = 64;

type StockHandover = Extract<PeerMessage, {type: 'stockHandover'}>;

interface Handover {
  readonly message: StockHandover;
  /** Moment of the ask that the handover follows, in ms. */
  readonly askedAtMs: number;
}

interface Bucket {
  readonly stock: BucketStock;
  /** Set while the home hands nothing out and waits for the last grants to end. */
  drainingSinceMs: number | undefined;
  /** Since when nothing that was handed out can be used any more. */
  drainedSinceMs: number | undefined;
}

/**
 * Home of some buckets of customers: borrows the shares of all hosts and hands tokens to the entry
 * hosts that have demand.
 *
 * A token lives no longer than the share it came from (see `LoanHolder`).
 */
export class HomeTask implements CoreTask {
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
  readonly #buckets = new Map<number, Bucket>();
  readonly #holder: LoanHolder;
  readonly #grantCustomers = new Map<number, string>();
  readonly #handovers: Handover[] = [];
  readonly #seenHandovers = new Set<string>();
  #customersByBucket = new Map<number, Customer[]>();
  #list: HostList | undefined;
  #reachableHostIds: readonly string[] = [];
  #ownShare = 0;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #nextGrantId: number;
  #isLeaving = false;
  #isTicking = false;

  constructor(options: Partial<AllowanceOptions> & RequiredAllowanceOptions) {
    this.#options = allowanceOptions(options);
    this.#placement = new HomePlacement(this.#options.hash, this.#options.bucketCount);
    this.#holder = new LoanHolder(this.#options);
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
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTick(nowMs) : [];
      case 'shutdownWanted':
        this.#isLeaving = true;
        return this.#reviseBuckets(nowMs);
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return [];
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const [bucket, {stock, drainingSinceMs}] of this.#buckets) {
      stock.advance(nowMs);
      const {share, loans} = stock;
      const isHandingOver = drainingSinceMs !== undefined;
      value[`bucket-${bucket}`] = {
        share,
        lenders: loans.lenderIds.length,
        isHandingOver,
        lowest: stock.lowest(nowMs),
      };
    }
    return {type: 'statusTold', askId, section: 'rateHome', value};
  }

  #onDocument(document: FleetDocument, nowMs: number): readonly CoreMessage[] {
    this.#customersByBucket = new Map();
    for (const customer of document.customers) {
      const bucket = this.#placement.bucketOf(customer.id);
      const customers = this.#customersByBucket.get(bucket) ?? [];
      customers.push(customer);
      this.#customersByBucket.set(bucket, customers);
    }
    for (const [bucket, {stock}] of this.#buckets) {
      stock.replaceCustomers(this.#customersByBucket.get(bucket) ?? [], nowMs);
    }
    return [];
  }

  #onMembership(message: MembershipChanged, nowMs: number): readonly CoreMessage[] {
    this.#list = message.list;
    this.#ownShare = message.ownShare;
    this.#reachableHostIds = message.reachableHostIds;
    this.#placement.place(message.reachableHostIds);
    const messages: CoreMessage[] = [...this.#reviseBuckets(nowMs)];
    if (!this.#isTicking) {
      this.#isTicking = true;
      messages.push({type: 'timerWanted', timerId, atMs: nowMs + tickMs});
    }
    return messages;
  }

  /** Takes up the buckets that fell to this host and starts to give up those that did not. */
  #reviseBuckets(nowMs: number): readonly CoreMessage[] {
    const mine = new Set(this.#isLeaving ? [] : this.#placement.bucketsOf(this.#options.selfId));
    const taken: number[] = [];
    for (const bucket of mine) {
      const known = this.#buckets.get(bucket);
      if (known !== undefined) {
        known.drainingSinceMs = undefined;
        known.drainedSinceMs = undefined;
        continue;
      }
      this.#takeUp(bucket, nowMs);
      taken.push(bucket);
    }
    for (const [bucket, state] of this.#buckets) {
      if (!mine.has(bucket)) {
        state.drainingSinceMs ??= nowMs;
      }
    }
    return taken.length === 0 ? [] : this.#askLoans(taken, nowMs);
  }

  #takeUp(bucket: number, nowMs: number): void {
    const {minGrantLifeMs, maxGrantLifeMs, bounds} = this.#options;
    const options = {minGrantLifeMs, maxGrantLifeMs, clockDrift: bounds.clockDrift};
    const stock = new BucketStock(this.#customersByBucket.get(bucket) ?? [], options, nowMs);
    this.#buckets.set(bucket, {
      stock,
      drainingSinceMs: undefined,
      drainedSinceMs: undefined,
    });
  }

  #askLoans(buckets: readonly number[], nowMs: number): readonly CoreMessage[] {
    return this.#ownShare === 0 ? [] : this.#holder.ask(this.#list, buckets, nowMs);
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'loanAnswer':
        this.#onLoans(fromHostId, message, nowMs);
        return [];
      case 'tokenAsk':
        return this.#onTokenAsk(fromHostId, message, nowMs);
      case 'loanAsk':
        return message.allowanceClass === 'rates'
          ? this.#onSuccessor(fromHostId, message.nonce, message.buckets, nowMs)
          : [];
      case 'stockHandover':
        this.#onHandover(fromHostId, message);
        return [];
      default:
        return [];
    }
  }

  #onLoans(fromHostId: string, answer: LoanAnswer, nowMs: number): void {
    if (answer.allowanceClass !== 'rates') {
      return;
    }
    for (const loan of this.#holder.take(fromHostId, answer, nowMs)) {
      this.#buckets.get(loan.bucket)?.stock.hold(loan, nowMs);
    }
  }

  #onTokenAsk(fromHostId: string, ask: TokenAsk, nowMs: number): readonly CoreMessage[] {
    for (const {grantId, used} of ask.settled) {
      this.#onReport(grantId, used, nowMs);
    }
    const grants: TokenAnswer['grants'] = [];
    for (const want of ask.wants) {
      grants.push(this.#grant(want, nowMs));
    }
    if (grants.length === 0) {
      return [];
    }
    const message: TokenAnswer = {type: 'tokenAnswer', askId: ask.askId, grants};
    return [{type: 'sendToPeer', toHostId: fromHostId, message}];
  }

  #onReport(grantId: number, used: number, nowMs: number): void {
    const customerId = this.#grantCustomers.get(grantId);
    if (customerId === undefined) {
      return;
    }
    this.#grantCustomers.delete(grantId);
    const bucket = this.#buckets.get(this.#placement.bucketOf(customerId));
    bucket?.stock.report(customerId, grantId, used, nowMs);
  }

  #grant(want: TokenAsk['wants'][number], nowMs: number): TokenAnswer['grants'][number] {
    const {customerId} = want;
    const grantId = this.#nextGrantId;
    this.#nextGrantId += 1;
    const nothing = {customerId, grantId, count: 0, lifeMs: 0, isSettled: false};
    const bucket = this.#buckets.get(this.#placement.bucketOf(customerId));
    const mayGrant = nowMs <= this.#freshUntilMs && bucket?.drainingSinceMs === undefined;
    if (bucket === undefined || !mayGrant) {
      return nothing;
    }
    const offer = bucket.stock.grant(grantId, want, nowMs);
    if (offer === undefined) {
      return nothing;
    }
    if (offer.count > 0) {
      this.#grantCustomers.set(grantId, customerId);
      this.#forgetOldGrants();
    }
    return {customerId, grantId, isSettled: this.#isSettled(bucket), ...offer};
  }

  /** Reports on grants that are far older than their life are of no more use. */
  #forgetOldGrants(): void {
    for (const grantId of this.#grantCustomers.keys()) {
      if (this.#grantCustomers.size <= maxKnownGrants) {
        return;
      }
      this.#grantCustomers.delete(grantId);
    }
  }

  #isSettled({stock}: Bucket): boolean {
    return stock.share >= settledPart * this.#ownShare * this.#reachableHostIds.length;
  }

  #onHandover(fromHostId: string, message: StockHandover): void {
    const name = `${fromHostId}:${message.nonce}:${message.bucket}`;
    const askedAtMs = this.#holder.askedAtMs(message.nonce, fromHostId);
    if (askedAtMs === undefined || this.#seenHandovers.has(name)) {
      return;
    }
    this.#seenHandovers.add(name);
    for (const oldest of this.#seenHandovers) {
      if (this.#seenHandovers.size <= maxHandovers) {
        break;
      }
      this.#seenHandovers.delete(oldest);
    }
    this.#handovers.push({message, askedAtMs});
  }

  #onTick(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [{type: 'timerWanted', timerId, atMs: nowMs + tickMs}];
    const mine: number[] = [];
    let isDue = false;
    for (const [bucket, state] of this.#buckets) {
      state.stock.advance(nowMs);
      if (state.drainingSinceMs !== undefined) {
        messages.push(...this.#giveUpIfDrained(bucket, state, nowMs));
        continue;
      }
      const intervalMs = this.#isSettled(state) ? this.#options.renewIntervalMs : 2 * tickMs;
      mine.push(bucket);
      isDue ||= nowMs - this.#holder.lastAskMs(bucket) >= intervalMs;
    }
    if (isDue) {
      messages.push(...this.#askLoans(mine, nowMs));
    }
    this.#applyHandovers(nowMs);
    return messages;
  }

  /** Notes when a bucket is drained; gives its loans back when no successor asks for long. */
  #giveUpIfDrained(bucket: number, state: Bucket, nowMs: number): readonly CoreMessage[] {
    if (state.drainedSinceMs === undefined) {
      state.drainedSinceMs = state.stock.hasOutstanding(nowMs) ? undefined : nowMs;
      return [];
    }
    return nowMs - state.drainedSinceMs >= handoverWaitMs ? this.#giveUp(bucket, state) : [];
  }

  #giveUp(bucket: number, {stock}: Bucket): readonly CoreMessage[] {
    this.#buckets.delete(bucket);
    return this.#holder.giveBack(stock.loans.lenderIds, bucket);
  }

  /** Hands drained buckets to the host that asks for their loans. */
  #onSuccessor(
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
      const {share} = state.stock;
      const stock = state.stock.takeStock(nowMs);
      messages.push(...this.#giveUp(bucket, state));
      const message: PeerMessage = {type: 'stockHandover', nonce, bucket, share, stock};
      messages.push({type: 'sendToPeer', toHostId: fromHostId, message});
    }
    return messages;
  }

  /** Takes over handed stock once this home holds the shares that cover it. */
  #applyHandovers(nowMs: number): void {
    const waiting = this.#handovers.splice(0);
    for (const handover of waiting) {
      const {bucket, share, stock} = handover.message;
      const state = this.#buckets.get(bucket);
      const elapsedMs = nowMs - handover.askedAtMs;
      const isCovered = state !== undefined && this.#isSettled(state);
      if (!isCovered && elapsedMs < handoverWaitMs) {
        this.#handovers.push(handover);
        continue;
      }
      for (const tokens of stock) {
        state?.stock.addStock(tokens, {share, elapsedMs}, nowMs);
      }
    }
  }
}
