import type {PlaceAsk} from '../messages/peerMessages.ts';

/** A request that waits at the home of its backend. */
export interface WaitingAsk {
  readonly hostId: string;
  readonly ask: PlaceAsk;
  readonly arrivedAtMs: number;
  /** Moment at which the request leaves a crowded line, in ms. */
  readonly impatientAtMs: number;
  /** Moment after which an answer would come too late, in ms. */
  readonly uselessAtMs: number;
}

/** Time over which the share of a customer in the work is remembered, in ms. */
const shareMemoryMs = 2_000;

/**
 * Requests that wait for a server: urgent ones first, then the customer that got least lately, then the
 * oldest, or in a crowded rank the newest.
 *
 * Load pattern: more work than the sound servers bear, most of it from one customer. Nobody is left out:
 * a customer that sends many times its usual waits behind those that do not.
 */
export class WaitingLine {
  readonly #waiting = new Map<string, WaitingAsk>();
  readonly #servedByCustomer = new Map<string, {weight: number; atMs: number}>();
  /** Priorities of which more requests wait than can be served before their target. */
  readonly crowdedRanks = new Set<number>();

  /** Waiting requests in the order of their arrival. */
  get entries(): [string, WaitingAsk][] {
    return [...this.#waiting];
  }

  get size(): number {
    return this.#waiting.size;
  }

  has(key: string): boolean {
    return this.#waiting.has(key);
  }

  add(key: string, waiting: WaitingAsk): void {
    this.#waiting.set(key, waiting);
  }

  /** Takes a request out of the line; undefined where it does not wait. */
  remove(key: string): WaitingAsk | undefined {
    const waiting = this.#waiting.get(key);
    this.#waiting.delete(key);
    return waiting;
  }

  /** Waiting requests in the order in which they should be served. */
  inOrder(nowMs: number): [string, WaitingAsk][] {
    const ordered = [...this.#waiting];
    ordered.sort(
      ([, one], [, other]) =>
        one.ask.priority - other.ask.priority ||
        this.#served(one.ask.customerId, nowMs) - this.#served(other.ask.customerId, nowMs) ||
        (one.arrivedAtMs - other.arrivedAtMs) * (this.crowdedRanks.has(one.ask.priority) ? -1 : 1),
    );
    return ordered;
  }

  /** Counts work given to a customer. */
  noteServed(customerId: string, nowMs: number): void {
    this.#servedByCustomer.set(customerId, {
      weight: this.#served(customerId, nowMs) + 1,
      atMs: nowMs,
    });
  }

  #served(customerId: string, nowMs: number): number {
    const served = this.#servedByCustomer.get(customerId);
    return served === undefined
      ? 0
      : served.weight * Math.exp(-(nowMs - served.atMs) / shareMemoryMs);
  }
}
