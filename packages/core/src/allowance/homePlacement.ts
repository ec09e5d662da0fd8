import type {HashFunction} from '../hash/hashFunction.ts';

/** Largest number of hosts with cached weights, per reachable host; above it the cache is cleared. */
const maxCachedPerReachableHost = 4;

/**
 * Assigns each hash bucket to its home, the host that decides on the keys of the bucket for the whole fleet.
 *
 * It uses rendezvous hashing, so that the loss of a host moves only that host's buckets.
 */
export class HomePlacement {
  readonly #hash: HashFunction;
  readonly #bucketCount: number;
  #homeByBucket: readonly (string | undefined)[] = [];
  #weightsByHost = new Map<string, Uint32Array>();
  #placedHostIds = '';

  constructor(hash: HashFunction, bucketCount: number) {
    this.#hash = hash;
    this.#bucketCount = bucketCount;
  }

  /** Reassigns all buckets to the reachable hosts, if these changed. */
  setReachableHosts(hostIds: readonly string[]): void {
    const joinedIds = hostIds.join(' ');
    if (joinedIds === this.#placedHostIds) {
      return;
    }
    this.#placedHostIds = joinedIds;
    this.#computeWeights(hostIds);
    const homes: (string | undefined)[] = [];
    for (let bucket = 0; bucket < this.#bucketCount; bucket += 1) {
      homes.push(this.#hostOfHighestWeight(bucket, hostIds));
    }
    this.#homeByBucket = homes;
  }

  /** Returns the hash bucket of a key. */
  bucketOf(key: string): number {
    return this.#hash(key) % this.#bucketCount;
  }

  /** Returns the home of a bucket; undefined while no host is reachable. */
  homeOf(bucket: number): string | undefined {
    return this.#homeByBucket[bucket];
  }

  /** Returns the buckets whose home is the given host. */
  bucketsOf(hostId: string): number[] {
    const buckets: number[] = [];
    for (const [bucket, homeId] of this.#homeByBucket.entries()) {
      if (homeId === hostId) {
        buckets.push(bucket);
      }
    }
    return buckets;
  }

  /** Computes the weights of hosts that have none cached, so that a host that returns is not hashed again. */
  #computeWeights(hostIds: readonly string[]): void {
    if (this.#weightsByHost.size > maxCachedPerReachableHost * hostIds.length) {
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

  #hostOfHighestWeight(bucket: number, hostIds: readonly string[]): string | undefined {
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
