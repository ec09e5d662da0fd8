import type {HashFunction} from '../time/hashFunction.ts';

/** Places each bucket on one host by rendezvous hashing, so that a lost host moves its buckets only. */
export class HomePlacement {
  readonly #hash: HashFunction;
  readonly #bucketCount: number;
  #homeByBucket: readonly (string | undefined)[] = [];

  constructor(hash: HashFunction, bucketCount: number) {
    this.#hash = hash;
    this.#bucketCount = bucketCount;
  }

  /** Places all buckets anew on the hosts that can be reached. */
  place(hostIds: readonly string[]): void {
    const homes: (string | undefined)[] = [];
    for (let bucket = 0; bucket < this.#bucketCount; bucket += 1) {
      homes.push(this.#highest(bucket, hostIds));
    }
    this.#homeByBucket = homes;
  }

  bucketOf(customerId: string): number {
    return this.#hash(customerId) % this.#bucketCount;
  }

  homeOf(bucket: number): string | undefined {
    return this.#homeByBucket[bucket];
  }

  bucketsOf(hostId: string): number[] {
    const buckets: number[] = [];
    for (const [bucket, homeId] of this.#homeByBucket.entries()) {
      if (homeId === hostId) {
        buckets.push(bucket);
      }
    }
    return buckets;
  }

  #highest(bucket: number, hostIds: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const hostId of hostIds) {
      const weight = this.#hash(`${bucket}@${hostId}`);
      if (weight > bestWeight) {
        best = hostId;
        bestWeight = weight;
      }
    }
    return best;
  }
}
