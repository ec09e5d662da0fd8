import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import {rankHosts} from './rankHosts.ts';
import type {RankHostsOptions} from './rankHosts.ts';

/** Time for which a home that did not reply is skipped, in ms. */
const silentHostSkipMs = 2_000;
/** Hosts that are tried in turn as the home of a key before the querying host decides locally. */
const maxCandidates = 3;

/**
 * Finds the home of a key: the host that owns the key (of a backend or a customer, for example) by rendezvous
 * hashing and decides for the whole fleet. Hosts that did not reply recently are skipped.
 */
export class HomeFinder {
  readonly #hash: HashFunction;
  readonly #rankOptions: RankHostsOptions;
  readonly #candidatesByKey = new Map<string, readonly string[]>();
  readonly #silentUntilMs = new Map<string, number>();
  #live: readonly LiveHost[] = [];

  constructor(hash: HashFunction, rankOptions: RankHostsOptions = {}) {
    this.#hash = hash;
    this.#rankOptions = rankOptions;
  }

  /** Sets the hosts among which homes are chosen. */
  setLiveHosts(live: readonly LiveHost[]): void {
    this.#live = live;
    this.#candidatesByKey.clear();
  }

  /** Skips a host for a while because it did not reply. */
  markSilent(hostId: string, nowMs: number): void {
    this.#silentUntilMs.set(hostId, nowMs + silentHostSkipMs);
  }

  /** Stops skipping a host because it replied. */
  markResponsive(hostId: string): void {
    this.#silentUntilMs.delete(hostId);
  }

  /**
   * The first candidate that is not skipped; undefined where none is left to query. Hosts of `firstDataCentre`,
   * which always has to be the same for a key, are candidates before all others.
   */
  homeOf(homeKey: string, nowMs: number, firstDataCentre?: string): string | undefined {
    for (const hostId of this.#candidates(homeKey, firstDataCentre)) {
      if ((this.#silentUntilMs.get(hostId) ?? 0) <= nowMs) {
        return hostId;
      }
    }
    return undefined;
  }

  /** The hosts to try as the home of a key, in order. */
  #candidates(homeKey: string, firstDataCentre: string | undefined): readonly string[] {
    let candidates = this.#candidatesByKey.get(homeKey);
    if (candidates === undefined) {
      const ranked = rankHosts(homeKey, this.#live, this.#hash, {
        ...this.#rankOptions,
        firstDataCentre,
      });
      candidates = ranked.slice(0, maxCandidates).map(({hostId}) => hostId);
      this.#candidatesByKey.set(homeKey, candidates);
    }
    return candidates;
  }
}
