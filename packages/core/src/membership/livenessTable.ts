import type {HostList} from '@godwitspring/document';

/** Time after a host's `leaving` message after which nothing that its process sent is in transit, in ms. */
const leavingTransitMs = 1_500;

/**
 * When each host last gave a sign of life, on the own clock. It decides only where homes are placed, that is
 * which hosts own the keys of rendezvous hashing; no safety property depends on it.
 */
export class LivenessTable {
  readonly #seenAtMs = new Map<string, number>();
  /** When the `leaving` message of each host that is shutting down arrived, in ms. */
  readonly #shutDownAtMs = new Map<string, number>();

  /** Records a sign of life; for a host that shut down, only one of a process that started later. */
  record(hostId: string, seenAtMs: number): void {
    if (
      seenAtMs <
      (this.#shutDownAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY) + leavingTransitMs
    ) {
      return;
    }
    this.#shutDownAtMs.delete(hostId);
    const previousAtMs = this.#seenAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY;
    this.#seenAtMs.set(hostId, Math.max(previousAtMs, seenAtMs));
  }

  /** Records that a host is shutting down. */
  recordShutdown(hostId: string, nowMs: number): void {
    this.#shutDownAtMs.set(hostId, nowMs);
    this.#seenAtMs.delete(hostId);
  }

  /** Live hosts of a list that gave a sign of life within `maxSilenceMs`, and the own host. */
  reachable(list: HostList, selfId: string, maxSilenceMs: number, nowMs: number): string[] {
    const reachable: string[] = [];
    for (const {id, state} of list.hosts) {
      const seenAtMs = id === selfId ? nowMs : (this.#seenAtMs.get(id) ?? Number.NEGATIVE_INFINITY);
      if (state === 'live' && !this.#shutDownAtMs.has(id) && nowMs - seenAtMs <= maxSilenceMs) {
        reachable.push(id);
      }
    }
    return reachable;
  }
}
