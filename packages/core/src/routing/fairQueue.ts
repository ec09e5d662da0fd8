/** One request that waits for a free slot. */
export interface WaitingRequest {
  readonly requestId: number;
  /** Customer that the wait is counted for; open routes share one. */
  readonly customerId: string;
  readonly isRepeatable: boolean;
  readonly excludedServerIds: readonly string[];
  /** Moment at which waiting ends without a slot, in ms. */
  readonly expiresAtMs: number;
}

export interface FairQueueOptions {
  /** Requests that may wait in all. Default: 256. */
  readonly maxWaiting: number;
  /** Requests of one customer that may wait. Default: 64. */
  readonly maxWaitingPerCustomer: number;
}

export const DEFAULT_FAIR_QUEUE_OPTIONS: FairQueueOptions = {
  maxWaiting: 256,
  maxWaitingPerCustomer: 64,
};

/**
 * Bounded queue that serves customers in turn (deficit round robin with a quantum of one request).
 *
 * When it is full the customer with the most waiting requests loses its newest one.
 */
export class FairQueue {
  readonly #options: FairQueueOptions;
  /** Waiting requests by customer, in the order in which customers are served next. */
  readonly #queues = new Map<string, WaitingRequest[]>();
  #size = 0;

  constructor(options: Partial<FairQueueOptions> = {}) {
    this.#options = {...DEFAULT_FAIR_QUEUE_OPTIONS, ...options};
  }

  get size(): number {
    return this.#size;
  }

  /** The request that is next in turn. */
  get first(): WaitingRequest | undefined {
    for (const [first] of this.#queues.values()) {
      return first;
    }
    return undefined;
  }

  /** Adds a request; gives the one that lost its place, which may be the same. */
  add(request: WaitingRequest): WaitingRequest | undefined {
    const queue = this.#queues.get(request.customerId) ?? [];
    if (queue.length >= this.#options.maxWaitingPerCustomer) {
      return request;
    }
    queue.push(request);
    this.#queues.set(request.customerId, queue);
    this.#size += 1;
    return this.#size > this.#options.maxWaiting ? this.#dropFromLongest() : undefined;
  }

  /** Takes the next request in turn that `isServable`, and moves its customer to the back. */
  take(isServable: (request: WaitingRequest) => boolean): WaitingRequest | undefined {
    for (const [customerId, queue] of this.#queues) {
      const index = queue.findIndex((request) => isServable(request));
      if (index < 0) {
        continue;
      }
      const [request] = queue.splice(index, 1);
      this.#size -= 1;
      this.#queues.delete(customerId);
      if (queue.length > 0) {
        this.#queues.set(customerId, queue);
      }
      return request;
    }
    return undefined;
  }

  remove(requestId: number): boolean {
    return this.take((request) => request.requestId === requestId) !== undefined;
  }

  /** Takes out every request whose wait is over. */
  takeExpired(nowMs: number): WaitingRequest[] {
    const expired: WaitingRequest[] = [];
    for (;;) {
      const request = this.take(({expiresAtMs}) => expiresAtMs <= nowMs);
      if (request === undefined) {
        return expired;
      }
      expired.push(request);
    }
  }

  #dropFromLongest(): WaitingRequest | undefined {
    let longest: WaitingRequest[] = [];
    for (const queue of this.#queues.values()) {
      if (queue.length > longest.length) {
        longest = queue;
      }
    }
    const dropped = longest.pop();
    if (dropped === undefined) {
      return undefined;
    }
    this.#size -= 1;
    if (longest.length === 0) {
      this.#queues.delete(dropped.customerId);
    }
    return dropped;
  }
}
