import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';

/** Hosts that started in the same interval of this length count as equally old, in ms. */
const generationMs = 10_000;

/** How hosts are ordered. */
export interface RankHostsOptions {
  /** Whether hosts with more processing capacity come first. Default: false. */
  readonly isByCapacity?: boolean;
  /** Data centre whose hosts come before all others. Default: none. */
  readonly firstDataCentre?: string;
}

/**
 * Orders hosts by their claim to be the home of a key. The order is the same on every host that sees the same
 * live hosts.
 *
 * Hosts of an older generation come first, so that a restarted host does not replace a home that has
 * collected state. Within a generation the order is a rendezvous hash of key and host. Where `isByCapacity`,
 * hosts with more processing capacity come before all others, for keys whose load one small host cannot carry.
 * Hosts of `firstDataCentre` come before those, for keys that are used mostly there.
 */
export function rankHosts(
  homeKey: string,
  hosts: readonly LiveHost[],
  hash: HashFunction,
  {isByCapacity = false, firstDataCentre}: RankHostsOptions = {},
): readonly LiveHost[] {
  const ranked = hosts.map((host) => ({
    host,
    generation: Math.floor(host.bornMs / generationMs),
    weight: hash(`${homeKey}@${host.hostId}#${host.bornMs}`),
    isFirst: host.dataCentre === firstDataCentre ? 1 : 0,
  }));
  ranked.sort(
    (one, other) =>
      other.isFirst - one.isFirst ||
      (isByCapacity ? other.host.capacityClass - one.host.capacityClass : 0) ||
      one.generation - other.generation ||
      other.weight - one.weight ||
      (one.host.hostId < other.host.hostId ? -1 : 1),
  );
  return ranked.map(({host}) => host);
}
