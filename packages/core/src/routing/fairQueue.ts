/** A request that waits for a backend server with a free slot. */
export interface WaitingRequest {
  readonly requestId: number;
  /** Customer in whose queue the request waits; requests of routes without a key share one queue. */
  readonly customerId: string;
  /** True where the request may run twice without harm. */
  readonly isRepeatable: boolean;
  /** Servers that the request was sent to before. */
  readonly excludedServerIds: readonly string[];
  /** Time at which the request is removed from the queue if it has no server yet, in ms. */
  readonly expiresAtMs: number;
}

/** Bounds of the queue. */
export interface FairQueueOptions {
  /** Largest number of waiting requests. Default: 256. */
  readonly maxWaiting: number;
  /** Largest number of waiting requests of one customer. Default: 64. */
  readonly maxWaitingPerCustomer: number;
}

export const DEFAULT_FAIR_QUEUE_OPTIONS: FairQueueOptions = {
  maxWaiting: 256,
  maxWaitingPerCustomer: 64,
};

/**
 * Bounded queue that serves customers in turn (deficit round robin with a quantum of one request).
 *
 * When the queue is full, the newest request of the customer with the most waiting requests is dropped.
 */
export class FairQueue {
  readonly #options: FairQueueOptions;
  /** Waiting requests by customer, in the order in which the customers are served. */
  readonly #queueByCustomer = new Map<string, WaitingRequest[]>();
  #size = 0;

  constructor(options: Partial<FairQueueOptions> = {}) {
    this.#options = {...DEFAULT_FAIR_QUEUE_OPTIONS, ...options};
  }

  get size(): number {
    return this.#size;
  }

  /** The request that is served next; undefined where none waits. */
  get first(): WaitingRequest | undefined {
    for (const [first] of this.#queueByCustomer.values()) {
      return first;
    }
    return undefined;
  }

  /** Adds a request; returns the request dropped for it, which may be the same one. */
  add(request: WaitingRequest): WaitingRequest | undefined {
    const queue = this.#queueByCustomer.get(request.customerId) ?? [];
    if (queue.length >= this.#options.maxWaitingPerCustomer) {
      return request;
    }
    queue.push(request);
    this.#queueByCustomer.set(request.customerId, queue);
    this.#size += 1;
    return this.#size > this.#options.maxWaiting ? this.#dropFromLongest() : undefined;
  }

  /** Removes and returns the next request that is servable, and moves its customer to the end of the turn order. */
  dequeue(isServable: (request: WaitingRequest) => boolean): WaitingRequest | undefined {
    for (const [customerId, queue] of this.#queueByCustomer) {
      const index = queue.findIndex((request) => isServable(request));
      if (index < 0) {
        continue;
      }
      const [request] = queue.splice(index, 1);
      this.#size -= 1;
      this.#queueByCustomer.delete(customerId);
      if (queue.length > 0) {
        this.#queueByCustomer.set(customerId, queue);
      }
      return request;
    }
    return undefined;
  }

  /** Removes a request; false where it does not wait. */
  remove(requestId: number): boolean {
    return this.dequeue((request) => request.requestId === requestId) !== undefined;
  }

  /** Removes and returns every request that waited for too long. */
  removeExpired(nowMs: number): WaitingRequest[] {
    const expired: WaitingRequest[] = [];
    for (;;) {
      const request = this.dequeue(({expiresAtMs}) => expiresAtMs <= nowMs);
      if (request === undefined) {
        return expired;
      }
      expired.push(request);
    }
  }

  /** Drops the newest request of the customer with the most waiting requests. */
  #dropFromLongest(): WaitingRequest | undefined {
    let longest: WaitingRequest[] = [];
    for (const queue of this.#queueByCustomer.values()) {
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
      this.#queueByCustomer.delete(dropped.customerId);
    }
    return dropped;
  }
}
