import {rankHosts} from '../fleet/rankHosts.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';

/** Hosts that read the registry for the whole fleet. */
const fleetReaderCount = 2;
/** Hosts of each data centre that relay registry data to the others there. */
const localRelayCount = 2;

/** Time for which a host that did not reply is passed over, in ms. */
const silenceMs = 3_000;

/** Hosts whose processes start within this time count as started together, in ms. */
const fleetStartMs = 2_000;

/** Identity of a host and the hash function by which it ranks the hosts. */
export interface RegistrySourcesOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly hash: HashFunction;
}

/**
 * What a host does to distribute registry data: read it for the fleet, relay it within its data centre, or
 * only query the relays.
 */
export type RegistryRole = 'reader' | 'relay' | 'follower';

/**
 * The sources from which a host gets the contents of the registry, in the order in which they are tried.
 *
 * Two hosts of the fleet read the registry, two hosts of each data centre query them, and all others query the
 * relays of their data centre, so that neither the number of reads nor the traffic between data centres grows with
 * the fleet. A host uses one source and has another as its standby: a change reaches it on either path, so that
 * the failure of one host delays none. The own host id as a source stands for a read of the registry.
 */
export class RegistrySources {
  readonly #options: RegistrySourcesOptions;
  /** Until when each host that did not reply is passed over, on the own clock, in ms. */
  readonly #silentUntilMs = new Map<string, number>();
  #sourceIds: readonly string[];
  #index = 0;
  #role: RegistryRole = 'follower';
  /** Reader that ranks first; the own id before any other host is known. */
  #firstReaderId = '';

  constructor(options: RegistrySourcesOptions) {
    this.#options = options;
    this.#sourceIds = [options.selfId];
  }

  /** What this host does to distribute registry data. */
  get role(): RegistryRole {
    return this.#role;
  }

  /** Host id of the source in use; the own id for a read of the registry. */
  get current(): string {
    return this.#sourceIds[this.#index] ?? this.#options.selfId;
  }

  /** True if the source in use is the registry itself. */
  get isSelf(): boolean {
    return this.current === this.#options.selfId;
  }

  /**
   * Host that is queried besides the source in use: the most preferred other one, if possible one that replies;
   * undefined where there is none.
   */
  standby(nowMs: number): string | undefined {
    const {selfId} = this.#options;
    const otherIds = this.#sourceIds.filter((id) => id !== this.current && id !== selfId);
    return otherIds.find((id) => !this.#isSilent(id, nowMs)) ?? otherIds[0];
  }

  /** Hosts other than this one that are sources and do not count as silent. */
  usableHostIds(nowMs: number): string[] {
    const {selfId} = this.#options;
    return this.#sourceIds.filter((id) => id !== selfId && !this.#isSilent(id, nowMs));
  }

  /** Records that a host did not reply. */
  recordSilence(hostId: string, nowMs: number): void {
    this.#silentUntilMs.set(hostId, nowMs + silenceMs);
  }

  /** Records that a host replied. */
  recordReply(hostId: string): void {
    this.#silentUntilMs.delete(hostId);
  }

  #isSilent(hostId: string, nowMs: number): boolean {
    return nowMs < (this.#silentUntilMs.get(hostId) ?? nowMs);
  }

  /** True if a host is preferred to the source in use. */
  isPreferred(hostId: string): boolean {
    const index = this.#sourceIds.indexOf(hostId);
    return index >= 0 && index < this.#index;
  }

  /** True if a host is preferred to a read of the registry by this host. */
  isPreferredToRegistry(hostId: string): boolean {
    const index = this.#sourceIds.indexOf(hostId);
    return index >= 0 && index < this.#sourceIds.indexOf(this.#options.selfId);
  }

  /** True if this host is one of those that read the registry for the fleet. */
  get isRegistryPreferred(): boolean {
    return this.#sourceIds[0] === this.#options.selfId;
  }

  /**
   * Recomputes the order of the sources from the live hosts. A changed order starts at its first source, unless that
   * one is silent and the source in use remains.
   */
  setLiveHosts(liveHosts: readonly LiveHost[], nowMs: number): void {
    const {selfId} = this.#options;
    const readerIds = this.#rankedIds('', liveHosts).slice(0, fleetReaderCount);
    const relayIds: string[] = [];
    const remoteRelayIds: string[] = [];
    for (const [dataCentre, hosts] of this.#groupByDataCentre(liveHosts)) {
      const ranked = this.#rankedIds(dataCentre, hosts);
      if (dataCentre === this.#options.dataCentre) {
        relayIds.push(...ranked.slice(0, localRelayCount));
      } else {
        remoteRelayIds.push(...ranked.slice(0, 1));
      }
    }
    this.#firstReaderId = readerIds[0] ?? selfId;
    this.#role = 'follower';
    let preferredIds: readonly string[] = relayIds;
    if (relayIds.includes(selfId)) {
      this.#role = 'relay';
      // The relays of a data centre prefer different readers, so that they do not fail together.
      const isFirstRelay = relayIds[0] === selfId;
      preferredIds = [...(isFirstRelay ? readerIds : [...readerIds].reverse()), selfId];
    }
    if (readerIds.includes(selfId)) {
      this.#role = 'reader';
      preferredIds = [selfId];
    }
    const sourceIds = [
      ...new Set([...preferredIds, ...readerIds, ...relayIds, ...remoteRelayIds, selfId]),
    ];
    if (sourceIds.join(' ') !== this.#sourceIds.join(' ')) {
      const {current} = this;
      this.#sourceIds = sourceIds;
      const [firstId = selfId] = sourceIds;
      this.use(this.#isSilent(firstId, nowMs) ? current : firstId);
    }
  }

  /** Moves on to the next source that is not silent; returns true if every source was tried and the first is next. */
  advance(nowMs: number): boolean {
    const nextIndex = this.#sourceIds.findIndex(
      (id, index) => index > this.#index && !this.#isSilent(id, nowMs),
    );
    this.#index = Math.max(0, nextIndex);
    return nextIndex < 0;
  }

  /** Returns to the first source. */
  reset(): void {
    this.#index = 0;
  }

  /**
   * Changes to the source of a new process: the oldest host, which knows what a registry that returned from a copy has
   * lost. In a fleet that starts as a whole it is the first reader, so that only one host reads every page.
   */
  useForFirstData(liveHosts: readonly LiveHost[]): void {
    const {selfId} = this.#options;
    const bornMsById = new Map(liveHosts.map(({hostId, bornMs}) => [hostId, bornMs]));
    const bornMsOf = (id: string): number => bornMsById.get(id) ?? Number.POSITIVE_INFINITY;
    const [oldestId = selfId] = [...this.#sourceIds].sort(
      (one, other) => bornMsOf(one) - bornMsOf(other),
    );
    if (bornMsOf(oldestId) < bornMsOf(selfId) - fleetStartMs) {
      this.use(oldestId);
    } else if (this.#role === 'reader') {
      this.use(this.#firstReaderId);
    }
  }

  /** Changes to the given source. */
  use(hostId: string): void {
    this.#index = Math.max(0, this.#sourceIds.indexOf(hostId));
  }

  #groupByDataCentre(liveHosts: readonly LiveHost[]): Map<string, LiveHost[]> {
    const byDataCentre = new Map<string, LiveHost[]>();
    for (const host of liveHosts) {
      const hosts = byDataCentre.get(host.dataCentre) ?? [];
      hosts.push(host);
      byDataCentre.set(host.dataCentre, hosts);
    }
    return byDataCentre;
  }

  /** Host ids in the order in which they take a role; an empty scope stands for the whole fleet. */
  #rankedIds(scope: string, hosts: readonly LiveHost[]): string[] {
    const ranked = rankHosts(`registry@${scope}`, hosts, this.#options.hash, {
      isByCapacity: true,
    });
    return ranked.map(({hostId}) => hostId);
  }
}
