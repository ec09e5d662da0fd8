import {rankHosts} from '../fleet/rankHosts.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';

/** Number of hosts of the own data centre that are tried before hosts of other data centres. */
const localReaderCount = 2;

/** Identity of a host and the hash function by which it ranks the hosts of each data centre. */
export interface RegistrySourcesOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
}

/**
 * The sources from which a host gets the contents of the registry, in the order in which they are tried.
 *
 * In each data centre the first host by `rankHosts` reads the registry itself and the others query that host,
 * so that the number of reads does not grow with the fleet. The own host id as a source stands for a read of
 * the registry.
 */
export class RegistrySources {
  readonly #options: RegistrySourcesOptions;
  #sourceIds: readonly string[];
  #index = 0;
  #isReader = false;

  constructor(options: RegistrySourcesOptions) {
    this.#options = options;
    this.#sourceIds = [options.selfId];
  }

  /**
   * True if this host is one of the registry readers of its data centre: the first host or its substitute.
   * Every other host reads the registry only as a last resort.
   */
  get isReader(): boolean {
    return this.#isReader;
  }

  /** Host id of the source in use; the own id for a read of the registry. */
  get current(): string {
    return this.#sourceIds[this.#index] ?? this.#options.selfId;
  }

  /** True if the source in use is the registry itself. */
  get isSelf(): boolean {
    return this.current === this.#options.selfId;
  }

  /** True if the preferred source is in use. */
  get isFirst(): boolean {
    return this.#index === 0;
  }

  /** Recomputes the order of the sources from the live hosts; a changed order starts at its first source. */
  setLiveHosts(liveHosts: readonly LiveHost[]): void {
    const {selfId, dataCentre, hash} = this.#options;
    const byDataCentre = new Map<string, LiveHost[]>();
    for (const host of liveHosts) {
      const hosts = byDataCentre.get(host.dataCentre) ?? [];
      hosts.push(host);
      byDataCentre.set(host.dataCentre, hosts);
    }
    const sourceIds: string[] = [];
    const ranked = rankHosts(`registry@${dataCentre}`, byDataCentre.get(dataCentre) ?? [], hash);
    for (const {hostId} of ranked.slice(0, localReaderCount)) {
      sourceIds.push(hostId);
      if (hostId === selfId) {
        break;
      }
    }
    this.#isReader = sourceIds.includes(selfId);
    for (const [otherDataCentre, hosts] of byDataCentre) {
      const [first] = rankHosts(`registry@${otherDataCentre}`, hosts, hash);
      if (otherDataCentre !== dataCentre && first !== undefined) {
        sourceIds.push(first.hostId);
      }
    }
    if (!this.#isReader) {
      sourceIds.push(selfId);
    }
    if (sourceIds.join(' ') !== this.#sourceIds.join(' ')) {
      this.#sourceIds = sourceIds;
      this.#index = 0;
    }
  }

  /** Moves on to the next source; returns true if every source was tried and the first is next. */
  advance(): boolean {
    this.#index = (this.#index + 1) % this.#sourceIds.length;
    return this.#index === 0;
  }

  /** Returns to the first source. */
  reset(): void {
    this.#index = 0;
  }
}
