/**
 * What a connection does: `idle` without a request or with an unfinished head, `receiving` while its caller sends a
 * body, `sending` while its caller reads a response, `running` while its caller waits.
 */
export type ConnectionActivity = 'idle' | 'receiving' | 'sending' | 'running';

/** What is known of a connection when one has to be closed. */
export interface ConnectionView {
  readonly activity: ConnectionActivity;
  /** Last moment at which a byte was received from the caller or taken by it, in ms. */
  readonly progressAtMs: number;
  /** Memory held for the connection, in bytes. */
  readonly heldBytes: number;
}

/** Resource that is short; `exceeded-memory` where more is held already than the limit. */
export type ScarceResource = 'memory' | 'exceeded-memory' | 'connections';

/** Chooses the connections that are closed when a resource is short. */
export interface EvictionPolicy {
  /** Orders the connections that may be closed, the first one first. */
  candidates<View extends ConnectionView>(
    connections: Iterable<View>,
    scarce: ScarceResource,
    nowMs: number,
  ): View[];
}

/** Times without progress after which a connection may be closed. */
export interface LongestStallOptions {
  readonly memoryStallMs: number;
  readonly connectionStallMs: number;
}

/**
 * Closes the connection that has gone longest without progress. A connection whose caller waits for the host is never
 * closed. Addresses crowds that hold memory or descriptors and stop.
 */
export class LongestStall implements EvictionPolicy {
  readonly #options: LongestStallOptions;

  constructor(options: LongestStallOptions) {
    this.#options = options;
  }

  candidates<View extends ConnectionView>(
    connections: Iterable<View>,
    scarce: ScarceResource,
    nowMs: number,
  ): View[] {
    const {memoryStallMs, connectionStallMs} = this.#options;
    const isForMemory = scarce !== 'connections';
    const latestMs = nowMs - (scarce === 'memory' ? memoryStallMs : connectionStallMs);
    const stalled: View[] = [];
    for (const view of connections) {
      const isUseful = !isForMemory || view.heldBytes > 0;
      if (view.activity !== 'running' && isUseful && view.progressAtMs <= latestMs) {
        stalled.push(view);
      }
    }
    return stalled.sort((one, other) => one.progressAtMs - other.progressAtMs);
  }
}
