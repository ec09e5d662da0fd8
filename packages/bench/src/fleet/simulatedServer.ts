/** How a simulated backend server behaves; may be changed during a run. */
export interface ServerBehaviour {
  /** Service time of one request, in ms. */
  serviceMs: number;
  /** Share of the requests that fail, 0 to 1. */
  failureShare: number;
  /** True while it accepts connections. */
  isUp: boolean;
  /** True where its health endpoint reports that it is healthy. */
  saysHealthy: boolean;
  /** Number of requests that it processes concurrently; fewer while cold. */
  slots: number;
  /** Capacity of its queue; it sheds requests beyond that. */
  maxWaiting: number;
}

/** Response of the server to one request. */
export interface ServerResponse {
  /** HTTP status; 0 where the connection broke. */
  readonly status: number;
  /** True where the response reports that the request did not run. */
  readonly reportsNotRun: boolean;
}

/** Simulates a backend server in virtual time, with a fixed number of slots and a bounded queue. */
export class SimulatedServer {
  readonly behaviour: ServerBehaviour;
  /** Number of executions by request name. */
  readonly runsByRequest = new Map<string, number>();
  readonly #runningRequests = new Set<(response: ServerResponse) => void>();
  /** Failures due but not yet produced; spreads failures evenly, without randomness. */
  #accumulatedFailures = 0;
  readonly #queuedRequests: (() => void)[] = [];
  readonly #runAfter: (afterMs: number, run: () => void) => void;

  constructor(behaviour: ServerBehaviour, runAfter: (afterMs: number, run: () => void) => void) {
    this.behaviour = behaviour;
    this.#runAfter = runAfter;
  }

  get running(): number {
    return this.#runningRequests.size;
  }

  get waiting(): number {
    return this.#queuedRequests.length;
  }

  /**
   * Processes a request, queues it, or sheds it with status 503. Where the server crashes meanwhile, a
   * running request ends with status 0 and a queued request gets no response.
   */
  handle(requestName: string, respond: (response: ServerResponse) => void): void {
    if (this.#runningRequests.size < this.behaviour.slots) {
      this.#process(requestName, respond);
      return;
    }
    if (this.#queuedRequests.length >= this.behaviour.maxWaiting) {
      respond({status: 503, reportsNotRun: true});
      return;
    }
    this.#queuedRequests.push(() => {
      this.#process(requestName, respond);
    });
  }

  /** Breaks every connection, drops the queue and refuses connections for a while. */
  crash(forMs: number): void {
    const interrupted = [...this.#runningRequests];
    this.#runningRequests.clear();
    this.#queuedRequests.length = 0;
    this.behaviour.isUp = false;
    for (const respond of interrupted) {
      respond({status: 0, reportsNotRun: false});
    }
    this.#runAfter(forMs, () => {
      this.behaviour.isUp = true;
    });
  }

  #process(requestName: string, respond: (response: ServerResponse) => void): void {
    this.#runningRequests.add(respond);
    this.runsByRequest.set(requestName, (this.runsByRequest.get(requestName) ?? 0) + 1);
    this.#runAfter(this.behaviour.serviceMs, () => {
      if (!this.#runningRequests.delete(respond)) {
        return;
      }
      this.#queuedRequests.shift()?.();
      this.#accumulatedFailures += this.behaviour.failureShare;
      const mustFail = this.#accumulatedFailures >= 1;
      this.#accumulatedFailures -= mustFail ? 1 : 0;
      respond({status: mustFail ? 500 : 200, reportsNotRun: false});
    });
  }
}
