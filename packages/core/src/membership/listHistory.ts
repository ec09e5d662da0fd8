import type {HostList} from '@godwitspring/document';
import type {EvidenceTable} from './evidenceTable.ts';

function shareUnder(list: HostList, hostId: string): number {
  return list.hosts.some(({id}) => id === hostId) ? 1 / list.hosts.length : 0;
}

/**
 * The lists that another host may still act on, and the share that this host has under all of them.
 *
 * Under each list every member has an equal share, so the shares of one list add up to the whole. A
 * host takes the least of its shares under the lists it keeps. An older list is dropped only after a
 * majority of its members acted on the newest and the retirement time has passed since; by then every
 * host that still acts on the older list has stopped. All acting hosts thus keep one list in common,
 * under which their shares add up to at most the whole.
 */
export class ListHistory {
  readonly #selfId: string;
  readonly #retirementMs: number;
  #lists: HostList[] = [];
  #adoptedAtMs = Number.POSITIVE_INFINITY;
  #majorityAtMs: number | undefined;
  #newcomersAtMs: number | undefined;
  #isSettled = false;

  constructor(selfId: string, retirementMs: number) {
    this.#selfId = selfId;
    this.#retirementMs = retirementMs;
  }

  /** Lists that still bind, oldest first. */
  get lists(): readonly HostList[] {
    return this.#lists;
  }

  get newest(): HostList | undefined {
    return this.#lists.at(-1);
  }

  get oldest(): HostList | undefined {
    return this.#lists[0];
  }

  /** True once this host knows of every list that still binds. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /**
   * Takes a newer list; false where it is not newer.
   *
   * A host that missed a list in between does not know all that binds and is no longer settled.
   */
  adopt(list: HostList, nowMs: number): boolean {
    const known = this.newest;
    if (known !== undefined && list.version <= known.version) {
      return false;
    }
    if (known !== undefined && list.version > known.version + 1) {
      this.#isSettled = false;
    }
    this.#lists.push(list);
    this.#adoptedAtMs = nowMs;
    this.#majorityAtMs = undefined;
    this.#newcomersAtMs = undefined;
    return true;
  }

  /** Takes over the lists of a settled, fresh peer, once this host is a member of each of them. */
  settleLike(lists: readonly HostList[]): void {
    const newest = lists.at(-1);
    if (this.#isSettled || newest === undefined || newest.version < (this.newest?.version ?? 0)) {
      return;
    }
    if (lists.every((list) => shareUnder(list, this.#selfId) > 0)) {
      this.#lists = [...lists];
      this.#isSettled = true;
    }
  }

  /** Drops the lists that a settled peer found to bind no more. */
  dropBefore(version: number): void {
    const kept = this.#lists.filter((list) => list.version >= version);
    if (kept.length > 0) {
      this.#lists = kept;
    }
  }

  /** Drops the older lists, or settles a fleet that is new as a whole, once that is surely safe. */
  advance(evidence: EvidenceTable, newcomers: EvidenceTable, nowMs: number): void {
    if (this.#isSettled) {
      this.#retireOlder(evidence, nowMs);
      return;
    }
    this.#settleNewFleet(newcomers, nowMs);
  }

  ownShare(): number {
    if (!this.#isSettled) {
      return 0;
    }
    const shares = this.#lists.map((list) => shareUnder(list, this.#selfId));
    return shares.length === 0 ? 0 : Math.min(...shares);
  }

  #retireOlder(evidence: EvidenceTable, nowMs: number): void {
    const older = this.#lists.slice(0, -1);
    if (older.length === 0) {
      return;
    }
    const isAccepted = older.every((list) => {
      const hostIds = list.hosts.map(({id}) => id);
      return Number.isFinite(evidence.majoritySeenAtMs(hostIds, nowMs));
    });
    if (!isAccepted) {
      return;
    }
    this.#majorityAtMs ??= nowMs;
    if (nowMs >= Math.max(this.#majorityAtMs, this.#adoptedAtMs) + this.#retirementMs) {
      this.#lists = this.#lists.slice(-1);
    }
  }

  #settleNewFleet(newcomers: EvidenceTable, nowMs: number): void {
    const newest = this.newest;
    if (newest === undefined || shareUnder(newest, this.#selfId) === 0) {
      return;
    }
    const hostIds = newest.hosts.map(({id}) => id);
    if (!Number.isFinite(newcomers.majoritySeenAtMs(hostIds, nowMs))) {
      return;
    }
    this.#newcomersAtMs ??= nowMs;
    if (nowMs >= Math.max(this.#newcomersAtMs, this.#adoptedAtMs) + this.#retirementMs) {
      this.#lists = [newest];
      this.#isSettled = true;
    }
  }
}
