import {rankHosts} from '../fleet/rankHosts.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../time/hashFunction.ts';

/** Hosts of the own data centre that are asked before those of others. */
const localReaders = 2;

export interface RegistrySourcesOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
}

/**
 * From whom a host learns of the registry, in the order in which they are tried.
 *
 * The first host of each data centre reads the registry itself, the others ask it, so that the number
 * of reads does not grow with the fleet. `self` stands for a read of the registry.
 */
export class RegistrySources {
  readonly #options: RegistrySourcesOptions;
  #order: readonly string[];
  #index = 0;
  #isReader = false;

  constructor(options: RegistrySourcesOptions) {
    this.#options = options;
    this.#order = [options.selfId];
  }

  /** True where this host reads for others, not just as a last resort. */
  get isReader(): boolean {
    return this.#isReader;
  }

  get current(): string {
    return this.#order[this.#index] ?? this.#options.selfId;
  }

  get isSelf(): boolean {
    return this.current === this.#options.selfId;
  }

  get isFirst(): boolean {
    return this.#index === 0;
  }

  place(live: readonly LiveHost[]): void {
    const {selfId, dataCentre, hash} = this.#options;
    const byDataCentre = new Map<string, LiveHost[]>();
    for (const host of live) {
      const hosts = byDataCentre.get(host.dataCentre) ?? [];
      hosts.push(host);
      byDataCentre.set(host.dataCentre, hosts);
    }
    const order: string[] = [];
    const ranked = rankHosts(`registry@${dataCentre}`, byDataCentre.get(dataCentre) ?? [], hash);
    for (const {hostId} of ranked.slice(0, localReaders)) {
      order.push(hostId);
      if (hostId === selfId) {
        break;
      }
    }
    this.#isReader = order.includes(selfId);
    for (const [otherDataCentre, hosts] of byDataCentre) {
      const [first] = rankHosts(`registry@${otherDataCentre}`, hosts, hash);
      if (otherDataCentre !== dataCentre && first !== undefined) {
        order.push(first.hostId);
      }
    }
    if (!this.#isReader) {
      order.push(selfId);
    }
    if (order.join(' ') !== this.#order.join(' ')) {
      this.#order = order;
      this.#index = 0;
    }
  }

  /** Goes on to the next source; true where every source has been tried. */
  advance(): boolean {
    this.#index = (this.#index + 1) % this.#order.length;
    return this.#index === 0;
  }

  /** Goes back to the first source. */
  reset(): void {
    this.#index = 0;
  }
}
