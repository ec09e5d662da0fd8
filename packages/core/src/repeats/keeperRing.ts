import type {HostList} from '@godwitspring/document';
import type {HashFunction} from '../time/hashFunction.ts';

/** Hosts that keep one idempotency key. */
export const keeperCount = 3;
/** How many of the keepers must agree before a request runs. */
export function keeperMajority(keepers: readonly string[]): number {
  return Math.floor(keepers.length / 2) + 1;
}

/** The hosts of a list that keep a key, highest rendezvous weight first. */
export function keepersOf(list: HostList, key: string, hash: HashFunction): string[] {
  const weights = list.hosts.map(({id}) => ({id, weight: hash(`${key}@${id}`)}));
  weights.sort((one, other) => other.weight - one.weight || (one.id < other.id ? -1 : 1));
  return weights.slice(0, keeperCount).map(({id}) => id);
}
