import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {rankHosts} from './rankHosts.ts';

/** Time for which a home that did not answer is passed over, in ms. */
const passOverMs = 2_000;
/** Hosts of the order that are tried before a host decides alone. */
const triedHomes = 3;

/** Finds the host that decides on a duty for the whole fleet, and passes over those that are silent. */
export class HomeFinder {
  readonly #hash: HashFunction;
  readonly #orderByDuty = new Map<string, readonly string[]>();
  readonly #silentUntilMs = new Map<string, number>();
  #live: readonly LiveHost[] = [];

  constructor(hash: HashFunction) {
    this.#hash = hash;
  }

  place(live: readonly LiveHost[]): void {
    this.#live = live;
    this.#orderByDuty.clear();
  }

  noteSilent(hostId: string, nowMs: number): void {
    this.#silentUntilMs.set(hostId, nowMs + passOverMs);
  }

  noteHeard(hostId: string): void {
    this.#silentUntilMs.delete(hostId);
  }

  /** The first host of the order that is not silent; undefined where none is left to ask. */
  homeOf(duty: string, nowMs: number): string | undefined {
    for (const hostId of this.#order(duty)) {
      if ((this.#silentUntilMs.get(hostId) ?? 0) <= nowMs) {
        return hostId;
      }
    }
    return undefined;
  }

  #order(duty: string): readonly string[] {
    let order = this.#orderByDuty.get(duty);
    if (order === undefined) {
      const ranked = rankHosts(duty, this.#live, this.#hash);
      order = ranked.slice(0, triedHomes).map(({hostId}) => hostId);
      this.#orderByDuty.set(duty, order);
    }
    return order;
  }
}
