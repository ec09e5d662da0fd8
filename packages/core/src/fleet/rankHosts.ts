import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';

/** Hosts that started within this span count as equally old, in ms. */
const generationMs = 10_000;

/**
 * Orders hosts for a duty; every host that knows the same hosts gets the same order.
 *
 * Hosts of an older generation come first, so that a restarted host takes no duty from one that has
 * gathered knowledge; within a generation the order is a rendezvous hash of duty and host.
 */
export function rankHosts(
  homeKey: string,
  hosts: readonly LiveHost[],
  hash: HashFunction,
): readonly LiveHost[] {
  const ranked = hosts.map((host) => ({
    host,
    generation: Math.floor(host.bornMs / generationMs),
    weight: hash(`${homeKey}@${host.hostId}#${host.bornMs}`),
  }));
  ranked.sort(
    (one, other) =>
      one.generation - other.generation ||
      other.weight - one.weight ||
      (one.host.hostId < other.host.hostId ? -1 : 1),
  );
  return ranked.map(({host}) => host);
}
