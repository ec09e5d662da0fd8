import type {HostList} from '@godwitspring/document';

const ageUnitMs = 100;
const noEvidence = 255;

/** When each host of one list was last surely alive and acting on that list, on the own clock. */
export class EvidenceTable {
  readonly list: HostList;
  readonly #seenAtMs = new Map<string, number>();
  readonly #selfId: string;

  constructor(list: HostList, selfId: string) {
    this.list = list;
    this.#selfId = selfId;
  }

  note(hostId: string, seenAtMs: number): void {
    const known = this.#seenAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY;
    if (seenAtMs > known) {
      this.#seenAtMs.set(hostId, seenAtMs);
    }
  }

  forget(hostId: string): void {
    this.#seenAtMs.delete(hostId);
  }

  seenAtMs(hostId: string, nowMs: number): number {
    return hostId === this.#selfId
      ? nowMs
      : (this.#seenAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY);
  }

  /** Ages of the evidence of each host, in the order of the list. */
  ages(nowMs: number): Uint8Array<ArrayBuffer> {
    const ages = new Uint8Array(this.list.hosts.length);
    for (const [index, {id}] of this.list.hosts.entries()) {
      const ageMs = nowMs - this.seenAtMs(id, nowMs);
      ages[index] = Math.min(Math.ceil(ageMs / ageUnitMs), noEvidence);
    }
    return ages;
  }

  /** Takes over what a peer that acts on the same list knew when it was asked. */
  merge(ages: Uint8Array, askedAtMs: number): void {
    for (const {hostId, seenAtMs} of this.moments(ages, askedAtMs)) {
      if (hostId !== this.#selfId) {
        this.note(hostId, seenAtMs);
      }
    }
  }

  /** What a peer that acts on the same list told of each host it heard of, on the own clock. */
  *moments(
    ages: Uint8Array,
    askedAtMs: number,
  ): Generator<{readonly hostId: string; readonly seenAtMs: number}> {
    for (const [index, {id: hostId}] of this.list.hosts.entries()) {
      const age = ages[index] ?? noEvidence;
      if (age < noEvidence) {
        yield {hostId, seenAtMs: askedAtMs - age * ageUnitMs};
      }
    }
  }

  /** Moment since which a majority of the given hosts was heard of; negative infinity for never. */
  majoritySeenAtMs(hostIds: readonly string[], nowMs: number): number {
    const moments = hostIds.map((hostId) => this.seenAtMs(hostId, nowMs));
    moments.sort((one, other) => other - one);
    const majority = Math.floor(hostIds.length / 2) + 1;
    return moments[majority - 1] ?? Number.NEGATIVE_INFINITY;
  }
}
