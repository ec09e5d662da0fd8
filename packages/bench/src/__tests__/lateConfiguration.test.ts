import {SeededRandom} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {loadXxHash} from '@godwitspring/proxy';
import {expect} from 'chai';
import {createGrayFailureFleet, grayFailureDocument} from '../gray-failure/grayFailureSetup.ts';
import type {GrayFailureFleet} from '../gray-failure/grayFailureFleet.ts';

/** Time from the start of the fleet until every host knows the others and the registry, in ms. */
const startupMs = 8_000;
/** Time within which operators expect a published version in force on hosts that reach the registry, in ms. */
const inForceMs = 2_000;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9];

describe('configuration while the registry fails some hosts', () => {
  let hash: HashFunction;

  before(async () => {
    hash = await loadXxHash();
  });

  /** A started fleet, advanced by a random-looking part of a watch that depends on the seed. */
  function startFleet(seed: number): GrayFailureFleet {
    const fleet = createGrayFailureFleet(hash, {seed});
    fleet.queue.runUntil(startupMs + seed * 131);
    return fleet;
  }

  /** The host that reads the registry for the fleet, or both that may do so. */
  function readerIds(fleet: GrayFailureFleet): string[] {
    return [...fleet.hosts.values()]
      .filter((host) => host.status().registry?.role === 'reader')
      .map(({id}) => id);
  }

  function readingHostId(fleet: GrayFailureFleet): string {
    const reading = [...fleet.hosts.values()].find(
      (host) => host.status().registry?.source === host.id,
    );
    return reading?.id ?? '';
  }

  /** Every third host and the readers. */
  function thirdOfHosts(fleet: GrayFailureFleet, seed: number): string[] {
    const third = [...fleet.hosts.keys()].filter((_, index) => index % 3 === seed % 3);
    return [...new Set([...third, ...readerIds(fleet)])];
  }

  /** Hosts outside `failedIds` on which a version published now is not in force in time. */
  function lateHostIds(
    fleet: GrayFailureFleet,
    version: number,
    failedIds: ReadonlySet<string>,
  ): string[] {
    fleet.publish([{kind: 'document', document: grayFailureDocument(version)}]);
    fleet.queue.runUntil(fleet.queue.nowMs + inForceMs);
    return [...fleet.hosts.values()]
      .filter(({id, isUp}) => isUp && !failedIds.has(id))
      .filter((host) => Number(host.status().registry?.version) < version)
      .map(({id}) => `version ${version} on ${id}`);
  }

  /** Versions that come into force late where the registry fails hosts just before the first of them. */
  function lateVersions(
    seed: number,
    fail: (fleet: GrayFailureFleet) => readonly string[],
    versions: number,
  ): string[] {
    const fleet = startFleet(seed);
    const failedIds = new Set(fail(fleet));
    const late: string[] = [];
    for (let version = 2; version < 2 + versions; version += 1) {
      fleet.queue.runUntil(fleet.queue.nowMs + 137 * (version % 4));
      late.push(...lateHostIds(fleet, version, failedIds));
    }
    return late.map((text) => `seed ${seed}, ${text}`);
  }

  /** Cuts hosts off from all others and from the registry. */
  function cutOff(fleet: GrayFailureFleet, hostIds: readonly string[]): void {
    for (const hostId of hostIds) {
      fleet.registry.silentHostIds.add(hostId);
      for (const otherId of fleet.hosts.keys()) {
        fleet.network.cut(hostId, otherId);
        fleet.network.cut(otherId, hostId);
      }
    }
  }

  /**
   * Hosts in touch on which the last of three versions, published within 0.12 s just after a cut, is not in force in
   * time.
   */
  function lateAfterCut(fleet: GrayFailureFleet, cutIds: readonly string[]): string[] {
    cutOff(fleet, cutIds);
    const sinceCutMs = [80, 140, 200];
    const cutAtMs = fleet.queue.nowMs;
    for (const [index, afterMs] of sinceCutMs.entries()) {
      fleet.queue.runUntil(cutAtMs + afterMs);
      fleet.publish([{kind: 'document', document: grayFailureDocument(2 + index)}]);
    }
    fleet.queue.runUntil(fleet.queue.nowMs + inForceMs);
    return [...fleet.hosts.values()]
      .filter(({id}) => !cutIds.includes(id))
      .filter((host) => Number(host.status().registry?.version) < 1 + sinceCutMs.length)
      .map(({id, dataCentre}) => `${id} in ${dataCentre}`);
  }

  /** Leaves the calls of hosts to the registry without a response. */
  function silence(fleet: GrayFailureFleet, hostIds: readonly string[]): readonly string[] {
    for (const hostId of hostIds) {
      fleet.registry.silentHostIds.add(hostId);
    }
    return hostIds;
  }

  function refuse(fleet: GrayFailureFleet, hostIds: readonly string[]): readonly string[] {
    for (const hostId of hostIds) {
      fleet.registry.refusedHostIds.add(hostId);
    }
    return hostIds;
  }

  // Guards against versions that wait until the reader's watch has timed out.
  it('comes into force in time where the reader gets no responses any more', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(seed, (fleet) => silence(fleet, [readingHostId(fleet)]), 5),
    );
    expect(late).to.deep.equal([]);
  });

  it('comes into force in time where the reader and its substitute get no responses any more', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(seed, (fleet) => silence(fleet, readerIds(fleet)), 5),
    );
    expect(late).to.deep.equal([]);
  });

  it('comes into force in time where the hosts that read the registry are refused', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(seed, (fleet) => refuse(fleet, readerIds(fleet)), 5),
    );
    expect(late).to.deep.equal([]);
  });

  // Guards against hosts that take each other for working sources while none of them reads the registry.
  it('comes into force in time where a third of the hosts is refused', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(seed, (fleet) => refuse(fleet, thirdOfHosts(fleet, seed)), 9),
    );
    expect(late).to.deep.equal([]);
  });

  it('comes into force in time where a third of the hosts gets no responses', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(seed, (fleet) => silence(fleet, thirdOfHosts(fleet, seed)), 9),
    );
    expect(late).to.deep.equal([]);
  });

  it('comes into force in time where the reader stands still', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(
        seed,
        (fleet) => {
          const readerId = readingHostId(fleet);
          fleet.hosts.get(readerId)?.pause(4_000);
          return [readerId];
        },
        2,
      ),
    );
    expect(late).to.deep.equal([]);
  });

  it('comes into force in time where a host that relays registry data stands still', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(
        seed,
        (fleet) => {
          const relays = [...fleet.hosts.values()].filter(
            (host) => host.status().registry?.role === 'relay',
          );
          relays[0]?.pause(4_000);
          return relays.slice(0, 1).map(({id}) => id);
        },
        2,
      ),
    );
    expect(late).to.deep.equal([]);
  });

  // Guards against relays that notice late that no reader replies, as they query each of them only in turn.
  it('comes into force in time in data centres that are cut off from each other', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(
        seed,
        (fleet) => {
          for (const one of fleet.hosts.values()) {
            for (const other of fleet.hosts.values()) {
              if (one.dataCentre !== other.dataCentre) {
                fleet.network.cut(one.id, other.id);
              }
            }
          }
          return [];
        },
        5,
      ),
    );
    expect(late).to.deep.equal([]);
  });

  it('comes into force in time where the hosts of the readers lose their power', () => {
    const late = seeds.flatMap((seed) =>
      lateVersions(
        seed,
        (fleet) => {
          const ids = readerIds(fleet);
          for (const id of ids) {
            fleet.crashHost(id);
          }
          return ids;
        },
        3,
      ),
    );
    expect(late).to.deep.equal([]);
  });

  // Guards against hosts that wait for one silent source after the other.
  it('withdraws keys in time where a third of the hosts is cut off just before', () => {
    const late = [20, 21, 22, 23, 24, 25].flatMap((seed) => {
      const fleet = createGrayFailureFleet(hash, {seed, hosts: 48});
      fleet.queue.runUntil(startupMs + seed * 131);
      const random = new SeededRandom(seed);
      const cutIds = [...fleet.hosts.keys()].filter(() => random.nextInt(1_000) < 330);
      return lateAfterCut(fleet, cutIds).map((host) => `seed ${seed}, ${host}`);
    });
    expect(late).to.deep.equal([]);
  }).timeout(60_000);

  it('withdraws keys in time where the readers and the relays of a data centre are cut off just before', () => {
    const late = seeds.flatMap((seed) => {
      const fleet = startFleet(seed);
      const relayIds = [...fleet.hosts.values()]
        .filter(({dataCentre}) => dataCentre === 'dc-1')
        .filter((host) => host.status().registry?.role !== 'follower')
        .map(({id}) => id);
      const cutIds = [...new Set([...relayIds, ...readerIds(fleet)])];
      return lateAfterCut(fleet, cutIds).map((host) => `seed ${seed}, ${host}`);
    });
    expect(late).to.deep.equal([]);
  });
});
