import type {HashFunction} from '../hash/hashFunction.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {chooseNeighbours} from './chooseNeighbours.ts';

/** Identity of the host and the sources of its choices. */
export interface GossipTargetsOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
  readonly random: RandomSource;
  /** Number of rounds of which one goes to another data centre. */
  readonly remoteEveryRounds: number;
  /** Number of rounds of which one goes to a host or seed that counts as dead. */
  readonly lostEveryRounds: number;
  /** Number of rounds of the startup phase of which one goes to a seed. */
  readonly seedEveryStartupRounds: number;
}

/**
 * Chooses the peer of each gossip round.
 *
 * A host gossips with its neighbours. Now and then it tries a host that counts as dead, so that the two sides of a
 * network partition find each other again after it.
 */
export class GossipTargets {
  readonly #options: GossipTargetsOptions;
  #local: readonly string[] = [];
  #remote: readonly string[] = [];
  #round = 0;
  #turn = 0;

  constructor(options: GossipTargetsOptions) {
    this.#options = options;
  }

  /** Hosts with which this host gossips while the fleet does not change. */
  get neighbourIds(): readonly string[] {
    return [...this.#local, ...this.#remote];
  }

  /** Chooses the neighbours among the live hosts. */
  setLiveHosts(live: readonly LiveHost[]): void {
    const {localIds, remoteIds} = chooseNeighbours(this.#options, live);
    this.#local = localIds;
    this.#remote = remoteIds;
  }

  /** The peer of the next round; undefined where no other host is known. */
  next(
    seedIds: readonly string[],
    lostIds: readonly string[],
    isStarting: boolean,
  ): string | undefined {
    this.#round += 1;
    const {selfId, remoteEveryRounds, lostEveryRounds, seedEveryStartupRounds} = this.#options;
    const seeds = seedIds.filter((id) => id !== selfId);
    const neighbourIds = this.neighbourIds;
    const isSeedRound = isStarting && this.#round % seedEveryStartupRounds === 1;
    if (seeds.length > 0 && (neighbourIds.length === 0 || isSeedRound)) {
      return this.#pick(seeds);
    }
    if (lostIds.length > 0 && this.#round % lostEveryRounds === 0) {
      return this.#pick(lostIds);
    }
    const isRemote = this.#round % remoteEveryRounds === 0;
    const preferred = isRemote ? this.#remote : this.#local;
    return this.#nextInTurn(preferred.length > 0 ? preferred : neighbourIds);
  }

  /** Neighbours take turns, so that none is left out for long. */
  #nextInTurn(ids: readonly string[]): string | undefined {
    this.#turn += 1;
    return ids[this.#turn % Math.max(1, ids.length)];
  }

  #pick(ids: readonly string[]): string | undefined {
    return ids[this.#options.random.nextInt(ids.length)];
  }
}
