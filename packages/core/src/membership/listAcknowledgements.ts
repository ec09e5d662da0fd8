import type {HostList} from '@godwitspring/document';

/** Unit in which ages travel in heartbeat replies, in ms. */
const ageUnitMs = 100;
/** Age that stands for a host without an acknowledgement, or with one at least that old. */
const noAcknowledgement = 255;

/**
 * When each host of one host list last acknowledged the list: the latest moment, on the own clock, at which
 * the host was surely alive and acting on that list.
 */
export class ListAcknowledgements {
  readonly list: HostList;
  readonly #acknowledgedAtMs = new Map<string, number>();
  readonly #selfId: string;

  constructor(list: HostList, selfId: string) {
    this.list = list;
    this.#selfId = selfId;
  }

  /** Records an acknowledgement unless a later one is known. */
  record(hostId: string, acknowledgedAtMs: number): void {
    const previousAtMs = this.#acknowledgedAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY;
    if (acknowledgedAtMs > previousAtMs) {
      this.#acknowledgedAtMs.set(hostId, acknowledgedAtMs);
    }
  }

  /** Removes the acknowledgement of a host, as when it shuts down. */
  remove(hostId: string): void {
    this.#acknowledgedAtMs.delete(hostId);
  }

  /** When a host last acknowledged the list; `nowMs` for the own host, negative infinity for never. */
  acknowledgedAtMs(hostId: string, nowMs: number): number {
    return hostId === this.#selfId
      ? nowMs
      : (this.#acknowledgedAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY);
  }

  /** Age of each host's acknowledgement in units of 100 ms, in the order of the list; 255 for none. */
  ages(nowMs: number): Uint8Array<ArrayBuffer> {
    const ages = new Uint8Array(this.list.hosts.length);
    for (const [index, {id}] of this.list.hosts.entries()) {
      const ageMs = nowMs - this.acknowledgedAtMs(id, nowMs);
      ages[index] = Math.min(Math.ceil(ageMs / ageUnitMs), noAcknowledgement);
    }
    return ages;
  }

  /** Merges the acknowledgements that a peer acting on the same list had when it was queried. */
  merge(ages: Uint8Array, queriedAtMs: number): void {
    for (const {hostId, acknowledgedAtMs} of this.decodeAges(ages, queriedAtMs)) {
      if (hostId !== this.#selfId) {
        this.record(hostId, acknowledgedAtMs);
      }
    }
  }

  /** Decodes the acknowledgements that a peer acting on the same list sent, with times on the own clock. */
  *decodeAges(
    ages: Uint8Array,
    queriedAtMs: number,
  ): Generator<{readonly hostId: string; readonly acknowledgedAtMs: number}> {
    for (const [index, {id: hostId}] of this.list.hosts.entries()) {
      const age = ages[index] ?? noAcknowledgement;
      if (age < noAcknowledgement) {
        yield {hostId, acknowledgedAtMs: queriedAtMs - age * ageUnitMs};
      }
    }
  }

  /** Moment since which a majority of the given hosts acknowledged the list; negative infinity for never. */
  majorityAcknowledgedAtMs(hostIds: readonly string[], nowMs: number): number {
    const timesMs = hostIds.map((hostId) => this.acknowledgedAtMs(hostId, nowMs));
    timesMs.sort((one, other) => other - one);
    const majority = Math.floor(hostIds.length / 2) + 1;
    return timesMs[majority - 1] ?? Number.NEGATIVE_INFINITY;
  }
}
