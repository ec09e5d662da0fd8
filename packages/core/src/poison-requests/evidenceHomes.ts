import {rankHosts} from '../fleet/rankHosts.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {LiveHost} from '../messages/hostMessages.ts';

/** Number of hosts that collect the evidence on one request, so that it outlives each of them. */
const homesPerRequest = 3;
/** Number of hash buckets into which requests are grouped; the homes are the same within a bucket. */
const bucketCount = 64;

/** Finds the homes of a request: the hosts that collect the evidence of the whole fleet on it. */
export class EvidenceHomes {
  readonly #hash: HashFunction;
  readonly #homesByBucket = new Map<number, readonly string[]>();
  #hosts: readonly LiveHost[] = [];

  constructor(hash: HashFunction) {
    this.#hash = hash;
  }

  /** Sets the hosts among which homes are chosen. */
  setHosts(hosts: readonly LiveHost[]): void {
    this.#hosts = hosts;
    this.#homesByBucket.clear();
  }

  /** Homes of the request with a key. */
  homesOf(requestKey: string): readonly string[] {
    const bucket = this.#hash(requestKey) % bucketCount;
    let homeIds = this.#homesByBucket.get(bucket);
    if (homeIds === undefined) {
      const ranked = rankHosts(`poison@${bucket}`, this.#hosts, this.#hash);
      homeIds = ranked.slice(0, homesPerRequest).map(({hostId}) => hostId);
      this.#homesByBucket.set(bucket, homeIds);
    }
    return homeIds;
  }
}
