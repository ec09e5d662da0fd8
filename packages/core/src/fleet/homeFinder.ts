import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {rankHosts} from './rankHosts.ts';

/** Time for which a home that did not answer is passed over, in ms. */
const silentHostSkipMs = 2_000;
/** Hosts of the order that are tried before a host decides alone. */
const maxCandidates = 3;

/** Finds the host that decides on a duty for the whole fleet, and passes over those that are silent. */
export class HomeFinder {
  readonly #hash: HashFunction;
  readonly #candidatesByKey = new Map<string, readonly string[]>();
  readonly #silentUntilMs = new Map<string, number>();
  #live: readonly LiveHost[] = [];

  constructor(hash: HashFunction) {
    this.#hash = hash;
  }

  setLiveHosts(live: readonly LiveHost[]): void {
    this.#live = live;
    this.#candidatesByKey.clear();
  }

  markSilent(hostId: string, nowMs: number): void {
    this.#silentUntilMs.set(hostId, nowMs + silentHostSkipMs);
  }

  markResponsive(hostId: string): void {
    this.#silentUntilMs.delete(hostId);
  }

  /** The first host of the order that is not silent; undefined where none is left to ask. */
  homeOf(homeKey: string, nowMs: number): string | undefined {
    for (const hostId of this.#candidates(homeKey)) {
      if ((this.#silentUntilMs.get(hostId) ?? 0) <= nowMs) {
        return hostId;
      }
    }
    return undefined;
  }

  #candidates(homeKey: string): readonly string[] {
    let candidates = this.#candidatesByKey.get(homeKey);
    if (candidates === undefined) {
      const ranked = rankHosts(homeKey, this.#live, this.#hash);
      candidates = ranked.slice(0, maxCandidates).map(({hostId}) => hostId);
      this.#candidatesByKey.set(homeKey, candidates);
    }
    return candidates;
  }
}
