import type {PlaceAsk} from '../messages/peerMessages.ts';

/** A request that waits at the home of its backend. */
export interface WaitingAsk {
  readonly hostId: string;
  readonly ask: PlaceAsk;
  readonly arrivedAtMs: number;
  /** Moment after which an answer would come too late, in ms. */
  readonly uselessAtMs: number;
}

/** Time over which the share of a customer in the work is remembered, in ms. */
const shareMemoryMs = 2_000;

/**
 * Requests that wait for a server: urgent ones first, then the customer that got least lately, then the
 * oldest.
 *
 * Load pattern: more work than the sound servers bear, most of it from one customer. Nobody is left out:
 * a customer that sends many times its usual waits behind those that do not.
 */
export class WaitingLine {
  readonly #waiting = new Map<string, WaitingAsk>();
  readonly #servedByCustomer = new Map<string, {weight: number; atMs: number}>();

  get size(): number {
    return this.#waiting.size;
  }

  has(key: string): boolean {
    return this.#waiting.has(key);
  }

  add(key: string, waiting: WaitingAsk): void {
    this.#waiting.set(key, waiting);
  }

  remove(key: string): void {
    this.#waiting.delete(key);
  }

  /** Requests that would be served before a new one of this rank and customer. */
  countBefore({priority, customerId}: PlaceAsk, nowMs: number): number {
    const served = this.#served(customerId, nowMs);
    let count = 0;
    for (const {ask} of this.#waiting.values()) {
      const isEqual = ask.priority === priority && this.#served(ask.customerId, nowMs) <= served;
      count += ask.priority < priority || isEqual ? 1 : 0;
    }
    return count;
  }

  /** Waiting requests in the order in which they should be served. */
  inOrder(nowMs: number): [string, WaitingAsk][] {
    const ordered = [...this.#waiting];
    ordered.sort(
      ([, one], [, other]) =>
        one.ask.priority - other.ask.priority ||
        this.#served(one.ask.customerId, nowMs) - this.#served(other.ask.customerId, nowMs) ||
        one.arrivedAtMs - other.arrivedAtMs,
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
