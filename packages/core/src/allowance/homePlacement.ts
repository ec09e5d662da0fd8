import type {HashFunction} from '../time/hashFunction.ts';

/** Hosts remembered for each host that can be reached, before all are forgotten. */
const maxRememberedPerHost = 4;

/** Places each bucket on one host by rendezvous hashing, so that a lost host moves its buckets only. */
export class HomePlacement {
  readonly #hash: HashFunction;
  readonly #bucketCount: number;
  #homeByBucket: readonly (string | undefined)[] = [];
  #weightsByHost = new Map<string, Uint32Array>();
  #placedOn = '';

  constructor(hash: HashFunction, bucketCount: number) {
    this.#hash = hash;
    this.#bucketCount = bucketCount;
  }

  /** Places all buckets anew on the hosts that can be reached. */
  place(hostIds: readonly string[]): void {
    const placedOn = hostIds.join(' ');
    if (placedOn === this.#placedOn) {
      return;
    }
    this.#placedOn = placedOn;
    this.#weigh(hostIds);
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

  /** Hashes each host once, however often it comes and goes. */
  #weigh(hostIds: readonly string[]): void {
    if (this.#weightsByHost.size > maxRememberedPerHost * hostIds.length) {
      this.#weightsByHost.clear();
    }
    for (const hostId of hostIds) {
      if (this.#weightsByHost.has(hostId)) {
        continue;
      }
      const weights = new Uint32Array(this.#bucketCount);
      for (let bucket = 0; bucket < this.#bucketCount; bucket += 1) {
        weights[bucket] = this.#hash(`${bucket}@${hostId}`);
      }
      this.#weightsByHost.set(hostId, weights);
    }
  }

  #highest(bucket: number, hostIds: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const hostId of hostIds) {
      const weight = this.#weightsByHost.get(hostId)?.[bucket] ?? 0;
      if (weight > bestWeight) {
        best = hostId;
        bestWeight = weight;
      }
    }
    return best;
  }
}
