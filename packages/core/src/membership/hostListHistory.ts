import type {HostList} from '@godwitspring/document';
import type {ListAcknowledgements} from './listAcknowledgements.ts';

/** Share of each fleet-wide allowance that a list gives to a host: equal for members, 0 for others. */
function shareUnder(list: HostList, hostId: string): number {
  return list.hosts.some(({id}) => id === hostId) ? 1 / list.hosts.length : 0;
}

/**
 * The host lists that are still in force, because some host may still act on them, and the share of each
 * fleet-wide allowance that this host has under all of them. An allowance is a limit on the whole fleet, such as
 * a customer's rate, that is divided over the hosts by shares. A host is settled while it knows every list that
 * is still in force.
 *
 * Under each list every member has an equal share, so the shares of one list add up to 1. A host uses the
 * smallest of its shares under the lists it retains. An older list is retired only after a majority of its
 * members acted on the newest list and the retirement time has passed since; by then every host that still
 * acted on the older list has stopped. All acting hosts thus have one list in common, under which their
 * shares add up to at most 1.
 */
export class HostListHistory {
  readonly #selfId: string;
  readonly #retirementMs: number;
  #lists: HostList[] = [];
  #adoptedAtMs = Number.POSITIVE_INFINITY;
  /** When a majority of each older list was first seen to act on the newest list, in ms. */
  #majorityAtMs: number | undefined;
  /** When a majority of unsettled hosts was first seen to act on the newest list, in ms. */
  #unsettledMajorityAtMs: number | undefined;
  #isSettled = false;

  constructor(selfId: string, retirementMs: number) {
    this.#selfId = selfId;
    this.#retirementMs = retirementMs;
  }

  /** Lists that are still in force, oldest first. */
  get lists(): readonly HostList[] {
    return this.#lists;
  }

  get newest(): HostList | undefined {
    return this.#lists.at(-1);
  }

  get oldest(): HostList | undefined {
    return this.#lists[0];
  }

  /** True while this host knows every list that is still in force. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /**
   * Adopts a newer list; returns false if it is not newer.
   *
   * A host that missed a list in between does not know every list in force and is no longer settled.
   */
  adopt(list: HostList, nowMs: number): boolean {
    const current = this.newest;
    if (current !== undefined && list.version <= current.version) {
      return false;
    }
    if (current !== undefined && list.version > current.version + 1) {
      this.#isSettled = false;
    }
    this.#lists.push(list);
    this.#adoptedAtMs = nowMs;
    this.#majorityAtMs = undefined;
    this.#unsettledMajorityAtMs = undefined;
    return true;
  }

  /** Adopts the lists of a settled peer with a fresh view, if this host is a member of each of them. */
  adoptSettledLists(lists: readonly HostList[]): void {
    const newest = lists.at(-1);
    if (this.#isSettled || newest === undefined || newest.version < (this.newest?.version ?? 0)) {
      return;
    }
    if (lists.every((list) => shareUnder(list, this.#selfId) > 0)) {
      this.#lists = [...lists];
      this.#isSettled = true;
    }
  }

  /** Removes the lists that a settled peer found to be no longer in force. */
  removeListsBefore(version: number): void {
    const retained = this.#lists.filter((list) => list.version >= version);
    if (retained.length > 0) {
      this.#lists = retained;
    }
  }

  /**
   * Retires the older lists once that is safe. A host that is not settled becomes settled once that is safe
   * because the whole fleet is new: a majority of the newest list consists of hosts that are not settled.
   */
  advance(
    acknowledgements: ListAcknowledgements,
    unsettledAcknowledgements: ListAcknowledgements,
    nowMs: number,
  ): void {
    if (this.#isSettled) {
      this.#retireOlderLists(acknowledgements, nowMs);
      return;
    }
    this.#settleNewFleet(unsettledAcknowledgements, nowMs);
  }

  /** Share of each fleet-wide allowance that this host may use, 0 to 1; 0 while it is not settled. */
  ownShare(): number {
    if (!this.#isSettled) {
      return 0;
    }
    const shares = this.#lists.map((list) => shareUnder(list, this.#selfId));
    return shares.length === 0 ? 0 : Math.min(...shares);
  }

  #retireOlderLists(acknowledgements: ListAcknowledgements, nowMs: number): void {
    const olderLists = this.#lists.slice(0, -1);
    if (olderLists.length === 0) {
      return;
    }
    const isAcknowledged = olderLists.every((list) => {
      const hostIds = list.hosts.map(({id}) => id);
      return Number.isFinite(acknowledgements.majorityAcknowledgedAtMs(hostIds, nowMs));
    });
    if (!isAcknowledged) {
      return;
    }
    this.#majorityAtMs ??= nowMs;
    if (nowMs >= Math.max(this.#majorityAtMs, this.#adoptedAtMs) + this.#retirementMs) {
      this.#lists = this.#lists.slice(-1);
    }
  }

  #settleNewFleet(unsettledAcknowledgements: ListAcknowledgements, nowMs: number): void {
    const newest = this.newest;
    if (newest === undefined || shareUnder(newest, this.#selfId) === 0) {
      return;
    }
    const hostIds = newest.hosts.map(({id}) => id);
    if (!Number.isFinite(unsettledAcknowledgements.majorityAcknowledgedAtMs(hostIds, nowMs))) {
      return;
    }
    this.#unsettledMajorityAtMs ??= nowMs;
    if (nowMs >= Math.max(this.#unsettledMajorityAtMs, this.#adoptedAtMs) + this.#retirementMs) {
      this.#lists = [newest];
      this.#isSettled = true;
    }
  }
}
