import type {HostList} from '@godwitspring/document';
import type {HashFunction} from '../hash/hashFunction.ts';

/** Number of hosts that hold a replica of each idempotency key. */
export const replicaCount = 3;

/** Number of replicas that must reserve a key before its request runs. */
export function replicaMajority(replicaIds: readonly string[]): number {
  return Math.floor(replicaIds.length / 2) + 1;
}

/** Selects the hosts of a list that hold a replica of a key by rendezvous hashing, highest weight first. */
export function replicasOf(list: HostList, key: string, hash: HashFunction): string[] {
  const weights = list.hosts.map(({id}) => ({id, weight: hash(`${key}@${id}`)}));
  weights.sort((one, other) => other.weight - one.weight || (one.id < other.id ? -1 : 1));
  return weights.slice(0, replicaCount).map(({id}) => id);
}
