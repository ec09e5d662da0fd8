import type {HostList} from '@godwitspring/document';

/** Time after which nothing of a process that said it leaves is under way any more, in ms. */
const leavingMs = 1_500;

/** When each host last gave a sign of life; for service only, no promise rests on it. */
export class LivenessTable {
  readonly #seenAtMs = new Map<string, number>();
  /** Hosts that said they are leaving, with the moment, in ms. */
  readonly #leftAtMs = new Map<string, number>();

  /** Notes a sign of life; of a host that left, only one of a process that began later. */
  note(hostId: string, seenAtMs: number): void {
    if (seenAtMs < (this.#leftAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY) + leavingMs) {
      return;
    }
    this.#leftAtMs.delete(hostId);
    const known = this.#seenAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY;
    this.#seenAtMs.set(hostId, Math.max(known, seenAtMs));
  }

  leave(hostId: string, nowMs: number): void {
    this.#leftAtMs.set(hostId, nowMs);
    this.#seenAtMs.delete(hostId);
  }

  /** Live hosts of a list that gave a sign of life within `silenceMs`, and the asking host itself. */
  reachable(list: HostList, selfId: string, silenceMs: number, nowMs: number): string[] {
    const reachable: string[] = [];
    for (const {id, state} of list.hosts) {
      const seenAtMs = id === selfId ? nowMs : (this.#seenAtMs.get(id) ?? Number.NEGATIVE_INFINITY);
      if (state === 'live' && !this.#leftAtMs.has(id) && nowMs - seenAtMs <= silenceMs) {
        reachable.push(id);
      }
    }
    return reachable;
  }
}
