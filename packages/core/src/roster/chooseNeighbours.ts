import type {HashFunction} from '../hash/hashFunction.ts';
import type {LiveHost} from '../messages/hostMessages.ts';

/** Hosts of the own data centre among the neighbours of a host. */
const localNeighbourCount = 6;
/** Hosts of other data centres among the neighbours of a host. */
const remoteNeighbourCount = 3;

/** Whose neighbours are chosen, and the hash function that draws them. */
export interface NeighbourOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
}

/** The few hosts with which a host gossips while the fleet does not change. */
export interface Neighbours {
  /** Hosts of the own data centre. */
  readonly localIds: readonly string[];
  /** Hosts of other data centres. */
  readonly remoteIds: readonly string[];
}

/**
 * Chooses the neighbours of a host among the live hosts, at random by a hash of both ids, so that a host needs few
 * connections however large the fleet is.
 */
export function chooseNeighbours(
  {selfId, dataCentre, hash}: NeighbourOptions,
  live: readonly LiveHost[],
): Neighbours {
  const weighted = live
    .filter(({hostId}) => hostId !== selfId)
    .map((host) => ({host, weight: hash(`${selfId}>${host.hostId}`)}));
  weighted.sort((one, other) => other.weight - one.weight);
  const ids = (isLocal: boolean): string[] =>
    weighted
      .filter(({host}) => (host.dataCentre === dataCentre) === isLocal)
      .map(({host}) => host.hostId);
  return {
    localIds: ids(true).slice(0, localNeighbourCount),
    remoteIds: ids(false).slice(0, remoteNeighbourCount),
  };
}
