import {DEFAULT_FLEET_BOUNDS, customerHomeKey, rankHosts} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {loadXxHash} from '@godwitspring/proxy';
import {expect} from 'chai';
import {
  grayFailureDocument,
  createGrayFailureFleet,
  keyDigestOf,
  sendRandomLoad,
} from '../gray-failure/grayFailureSetup.ts';
import type {GrayFailureFleet} from '../gray-failure/grayFailureFleet.ts';

/** Time from the start of the fleet until every host knows the others and the registry, in ms. */
const startupMs = 8_000;
/** Part of the key withdrawal bound that hosts reserve for requests in transit, in ms. */
const transitMarginMs = 600;
let hash: HashFunction;

/** Version of the configuration document in force on each running host. */
function versionsInForce(fleet: GrayFailureFleet): number[] {
  return [...fleet.hosts.values()]
    .filter(({isUp}) => isUp)
    .map((host) => Number(host.status().registry?.version));
}

/** Starts a process at every host of a fleet whose processes all ended. */
function restartAll(fleet: GrayFailureFleet): void {
  const count = fleet.hosts.size;
  for (let number = 1; number <= count; number += 1) {
    fleet.startHost(number);
  }
}

/** Hosts that may not serve customers, as their registry data is too old. */
function staleHostIds(fleet: GrayFailureFleet): string[] {
  const limitMs = DEFAULT_FLEET_BOUNDS.keyWithdrawalMs - transitMarginMs;
  return [...fleet.hosts.values()]
    .filter((host) => !(Number(host.status().registry?.ageMs) <= limitMs))
    .map(({id}) => id);
}

describe('registry distribution in a fleet whose hosts discover each other', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('gives every host the member list and the registry within eight seconds of the start', () => {
    const fleet = createGrayFailureFleet(hash);
    fleet.queue.runUntil(startupMs);
    for (const host of fleet.hosts.values()) {
      expect(host.status().roster?.live).to.have.length(fleet.hosts.size);
      expect(host.status().registry?.version).to.equal(1);
    }
  });

  it('reads the registry on two hosts for the whole fleet, which alone watch it', () => {
    const fleet = createGrayFailureFleet(hash);
    fleet.queue.runUntil(startupMs);
    expect(fleet.registry.turns).to.have.length(2);
    const watching = [...fleet.hosts.values()].filter(
      (host) => host.status().registry?.source === host.id,
    );
    expect(watching).to.have.length(2);
  });

  it('reads the registry a few times where all hosts restart at once, and is fresh within two seconds', () => {
    const fleet = createGrayFailureFleet(hash, {hosts: 48});
    fleet.queue.runUntil(startupMs);
    for (const hostId of fleet.hosts.keys()) {
      fleet.crashHost(hostId);
    }
    fleet.queue.runUntil(startupMs + 1_000);
    const readsBefore = fleet.registry.turns.length;
    restartAll(fleet);
    fleet.queue.runUntil(startupMs + 3_000);
    expect(fleet.registry.turns.length - readsBefore).to.be.at.most(4);
    expect(staleHostIds(fleet)).to.deep.equal([]);
  });

  // Guards against hosts that go on reading the registry after others have become its readers.
  it('is watched by two hosts only after hosts restarted and after the readers changed', () => {
    for (const seed of [1, 2, 3]) {
      const fleet = createGrayFailureFleet(hash, {seed});
      fleet.queue.runUntil(startupMs);
      for (const hostId of fleet.hosts.keys()) {
        fleet.crashHost(hostId);
      }
      fleet.queue.runUntil(startupMs + 1_000);
      restartAll(fleet);
      fleet.queue.runUntil(startupMs + 9_000);
      expect(fleet.registry.watchingHostIds, `seed ${seed}, restart`).to.have.length(2);
      const [lostReader = ''] = fleet.registry.watchingHostIds;
      for (const hostId of fleet.hosts.keys()) {
        fleet.network.cut(lostReader, hostId);
        fleet.network.cut(hostId, lostReader);
      }
      fleet.queue.runUntil(startupMs + 24_000);
      fleet.network.heal();
      fleet.queue.runUntil(startupMs + 44_000);
      expect(fleet.registry.watchingHostIds, `seed ${seed}, network`).to.have.length(2);
    }
  });

  it('reads the registry only on some hosts while it is down, and on all hosts is fresh after it', () => {
    const fleet = createGrayFailureFleet(hash, {hosts: 48});
    fleet.queue.runUntil(startupMs);
    const readsBefore = fleet.registry.turns.length;
    fleet.registry.isUp = false;
    fleet.queue.runUntil(startupMs + 5_000);
    const readsPerSecond = (fleet.registry.turns.length - readsBefore) / 5;
    // A read by every host in each round of followers would be 32 a second.
    expect(readsPerSecond).to.be.below(16);
    fleet.registry.isUp = true;
    fleet.queue.runUntil(startupMs + 8_000);
    expect(staleHostIds(fleet)).to.deep.equal([]);
  });

  it('keeps every host fresh while the registry turns away a third of the hosts, its reader among them', () => {
    for (const seed of [1, 2, 3]) {
      const fleet = createGrayFailureFleet(hash, {hosts: 48, seed});
      fleet.queue.runUntil(startupMs);
      for (const [index, host] of [...fleet.hosts.values()].entries()) {
        if (index % 3 === seed % 3 || host.status().registry?.role === 'reader') {
          fleet.registry.refusedHostIds.add(host.id);
        }
      }
      for (let afterMs = 500; afterMs <= 9_000; afterMs += 500) {
        fleet.queue.runUntil(startupMs + afterMs);
        expect(staleHostIds(fleet), `seed ${seed}, after ${afterMs} ms`).to.deep.equal([]);
      }
    }
  });

  it('puts a new version in force on every host within one second', () => {
    const fleet = createGrayFailureFleet(hash);
    fleet.queue.runUntil(startupMs);
    fleet.publish([{kind: 'document', document: grayFailureDocument(2)}]);
    fleet.queue.runUntil(startupMs + 1_000);
    expect(new Set(versionsInForce(fleet))).to.deep.equal(new Set([2]));
  });

  // Guards against old configurations on hosts that the registry serves while it refuses others.
  it('puts each new version in force within two seconds while the registry refuses a third of the hosts', () => {
    const late: string[] = [];
    for (const seed of [3, 5, 8, 9]) {
      const fleet = createGrayFailureFleet(hash, {seed});
      fleet.queue.runUntil(startupMs);
      for (const [index, host] of [...fleet.hosts.values()].entries()) {
        if (index % 3 === seed % 3 || host.status().registry?.role === 'reader') {
          fleet.registry.refusedHostIds.add(host.id);
        }
      }
      // Operators allow more time right after the registry began to refuse hosts.
      fleet.queue.runUntil(startupMs + 3_000);
      for (let version = 2; version <= 10; version += 1) {
        fleet.queue.runUntil(fleet.queue.nowMs + 137 * (version % 4));
        fleet.publish([{kind: 'document', document: grayFailureDocument(version)}]);
        fleet.queue.runUntil(fleet.queue.nowMs + 2_000);
        for (const host of fleet.hosts.values()) {
          const isServed = !fleet.registry.refusedHostIds.has(host.id);
          if (isServed && host.status().registry?.version !== version) {
            late.push(`seed ${seed}, version ${version}, ${host.id}`);
          }
        }
      }
    }
    expect(late).to.deep.equal([]);
  });

  it('puts a new version in force on every host although the hosts that read the registry crash just before', () => {
    const fleet = createGrayFailureFleet(hash);
    fleet.queue.runUntil(startupMs);
    for (const [id, host] of fleet.hosts) {
      if (host.status().registry?.source === id) {
        fleet.crashHost(id);
      }
    }
    fleet.publish([{kind: 'document', document: grayFailureDocument(2)}]);
    fleet.queue.runUntil(startupMs + 2_000);
    expect(new Set(versionsInForce(fleet))).to.deep.equal(new Set([2]));
  });

  it('refuses requests of customers while the registry data is not fresh, and resumes afterwards', () => {
    const fleet = createGrayFailureFleet(hash);
    fleet.queue.runUntil(startupMs);
    fleet.registry.isUp = false;
    fleet.queue.runUntil(startupMs + 5_000);
    const before = fleet.outcomes.length;
    fleet.request('lookup', 'small', keyDigestOf('small'));
    fleet.queue.runUntil(startupMs + 5_100);
    expect(fleet.outcomes[before]).to.include({refusal: 'host-not-current', outcome: 'not-run'});
    fleet.registry.isUp = true;
    fleet.queue.runUntil(startupMs + 8_000);
    fleet.request('lookup', 'small', keyDigestOf('small'));
    fleet.queue.runUntil(startupMs + 10_000);
    expect(fleet.outcomes.at(-1)?.status).to.equal(200);
  });

  it('sends no requests to a draining server or to a data centre out of service', () => {
    const fleet = createGrayFailureFleet(hash);
    fleet.queue.runUntil(startupMs);
    const [drainingServer] = [...fleet.servers.values()];
    if (drainingServer === undefined) {
      throw new Error('the fleet has no servers');
    }
    const entry = {...fleet.registryEntryOf(drainingServer, 'draining'), revision: 10};
    fleet.publish([
      {kind: 'server', server: entry},
      {kind: 'dataCentreOut', dataCentre: 'dc-2'},
    ]);
    fleet.queue.runUntil(startupMs + 1_000);
    const startsBefore = fleet.attemptTimesMs.size;
    sendRandomLoad(fleet, {forMs: 5_000});
    fleet.queue.runUntil(startupMs + 8_000);
    expect(startsBefore).to.equal(0);
    expect(fleet.attemptTimesMs.has(drainingServer.id)).to.equal(false);
    for (const serverId of fleet.attemptTimesMs.keys()) {
      expect(fleet.servers.get(serverId)?.dataCentre).to.not.equal('dc-2');
    }
  });

  it('uses no withdrawn key and no server that left where all hosts but one with an old view restart', () => {
    for (const seed of [1, 2, 3]) {
      const fleet = createGrayFailureFleet(hash, {seed});
      fleet.queue.runUntil(startupMs);
      const staleId = fleet.hostId(1);
      for (const hostId of fleet.hosts.keys()) {
        fleet.network.cut(staleId, hostId);
        fleet.network.cut(hostId, staleId);
      }
      fleet.registry.refusedHostIds.add(staleId);
      const [leftServer] = [...fleet.servers.values()];
      if (leftServer === undefined) {
        throw new Error('the fleet has no servers');
      }
      const document = grayFailureDocument(2);
      fleet.publish([
        {
          kind: 'document',
          document: {
            ...document,
            customers: document.customers.filter(({id}) => id !== 'small'),
          },
        },
        {kind: 'serverGone', serverId: leftServer.id, revision: 3},
      ]);
      fleet.queue.runUntil(startupMs + 500);
      fleet.registry.isUp = false;
      for (const hostId of [...fleet.hosts.keys()]) {
        if (hostId !== staleId) {
          fleet.crashHost(hostId);
        }
      }
      fleet.network.heal();
      fleet.queue.runUntil(startupMs + 1_000);
      for (let number = 2; number <= 24; number += 1) {
        fleet.startHost(number);
      }
      sendRandomLoad(fleet, {forMs: 12_000, customers: {small: 1, large: 1}});
      fleet.queue.runUntil(startupMs + 8_000);
      fleet.registry.isUp = true;
      fleet.registry.refusedHostIds.clear();
      fleet.queue.runUntil(startupMs + 16_000);
      const boundAtMs = startupMs + DEFAULT_FLEET_BOUNDS.keyWithdrawalMs;
      const late = fleet.outcomes.filter(({arrivedAtMs}) => arrivedAtMs > boundAtMs);
      const withKey = late.filter(({customerId}) => customerId === 'small');
      expect(
        withKey.filter(({status}) => status === 200),
        `seed ${seed}`,
      ).to.deep.equal([]);
      const starts = fleet.attemptTimesMs.get(leftServer.id) ?? [];
      expect(
        starts.filter((atMs) => atMs > boundAtMs),
        `seed ${seed}`,
      ).to.deep.equal([]);
      const others = late.filter(
        ({customerId, arrivedAtMs}) => customerId === 'large' && arrivedAtMs > startupMs + 10_500,
      );
      expect(
        others.some(({status}) => status === 200),
        `seed ${seed}`,
      ).to.equal(true);
    }
  });

  it('lets a host that restarted serve requests again', () => {
    const fleet = createGrayFailureFleet(hash);
    fleet.queue.runUntil(startupMs);
    fleet.crashHost(fleet.hostId(5));
    fleet.queue.runUntil(startupMs + 2_000);
    fleet.startHost(5);
    fleet.queue.runUntil(startupMs + 4_000);
    fleet.request('lookup', 'small', keyDigestOf('small'), {hostId: fleet.hostId(5)});
    fleet.queue.runUntil(startupMs + 6_000);
    expect(fleet.outcomes.at(-1)).to.include({status: 200, hostId: fleet.hostId(5)});
  });
});

describe('fleet-wide rate limit of a customer', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  /** Rate of 60 a second over a window of 5 s plus a burst of 60, exceeded by at most 25 %. */
  const maxAdmittedPerWindow = (60 * 5 + 60) * 1.25;

  /** Most requests that passed the rate limit in any window of 5 s. */
  function maxAdmittedInAnyWindow(fleet: GrayFailureFleet): number {
    const admitted = fleet.outcomes
      .filter(({refusal}) => refusal !== 'rate-limited')
      .map(({arrivedAtMs}) => arrivedAtMs);
    return maxInAnyWindow(admitted);
  }

  /** Most of the given times that lie in any window of 5 s. */
  function maxInAnyWindow(timesMs: readonly number[]): number {
    const sorted = [...timesMs].sort((one, other) => one - other);
    let max = 0;
    for (const [index, startMs] of sorted.entries()) {
      const inWindow = sorted.slice(index).filter((other) => other < startMs + 5_000).length;
      max = Math.max(max, inWindow);
    }
    return max;
  }

  it('holds while a third of the hosts is partitioned from the others', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 9, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    for (const [fromId, from] of fleet.hosts) {
      for (const [toId, to] of fleet.hosts) {
        if ((from.dataCentre === 'dc-1') !== (to.dataCentre === 'dc-1')) {
          fleet.network.cut(fromId, toId);
        }
      }
    }
    sendRandomLoad(fleet, {forMs: 12_000, perSecond: 150, mix: {lookup: 1}, customers: {large: 1}});
    fleet.queue.runUntil(startupMs + 15_000);
    expect(maxAdmittedInAnyWindow(fleet)).to.be.at.most(maxAdmittedPerWindow);
  });

  /** Unix time at which the hosts of the first start began, in ms. */
  const firstBornMs = 1_000_000;

  /** Hosts in the order in which they become the home that counts a customer's requests. */
  function rankedHomes(fleet: GrayFailureFleet, customerId: string): string[] {
    const live = [...fleet.hosts.values()].map(({id, dataCentre}) => ({
      hostId: id,
      dataCentre,
      bornMs: firstBornMs,
      capacityClass: 0,
    }));
    return rankHosts(customerHomeKey(customerId), live, hash).map(({hostId}) => hostId);
  }

  /** Most requests that servers start in any window of 5 s when hosts fail under load, 2.6 s after it begins. */
  function maxRequestsAroundFailure(
    seed: number,
    injectFailure: (fleet: GrayFailureFleet, homes: string[]) => void,
  ): number {
    const fleet = createGrayFailureFleet(hash, {seed, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    sendRandomLoad(fleet, {
      forMs: 12_000,
      perSecond: 150,
      mix: {payment: 1},
      customers: {large: 1},
    });
    fleet.queue.runUntil(startupMs + 2_600);
    injectFailure(fleet, rankedHomes(fleet, 'large'));
    fleet.queue.runUntil(startupMs + 15_000);
    return maxInAnyWindow([...fleet.attemptTimesMs.values()].flat());
  }

  const seeds = [21, 22, 23, 24];
  /** Most requests that servers may start in any window of 5 s, also when homes fail. */
  const maxRunPerWindow = maxAdmittedPerWindow + DEFAULT_FLEET_BOUNDS.rateSlack;

  it('holds when the home crashes without notice', () => {
    for (const seed of seeds) {
      const maxStarted = maxRequestsAroundFailure(seed, (fleet, [first = '']) => {
        fleet.crashHost(first);
      });
      expect(maxStarted, `seed ${seed}`).to.be.at.most(maxRunPerWindow);
    }
  });

  it('holds when the data centre of the home crashes without notice', () => {
    for (const seed of seeds) {
      const maxStarted = maxRequestsAroundFailure(seed, (fleet, [first = '']) => {
        const dataCentre = fleet.hosts.get(first)?.dataCentre;
        for (const host of fleet.hosts.values()) {
          if (host.dataCentre === dataCentre) {
            fleet.crashHost(host.id);
          }
        }
      });
      expect(maxStarted, `seed ${seed}`).to.be.at.most(maxRunPerWindow);
    }
  });

  it('holds when half of the processes are killed, the home among them', () => {
    for (const seed of seeds) {
      const maxStarted = maxRequestsAroundFailure(seed, (fleet, homes) => {
        const killedHostIds = homes.filter((_, index) => index === 0 || index % 2 === 1);
        for (const hostId of killedHostIds) {
          fleet.crashHost(hostId);
        }
        // The kernel of a host whose process was killed refuses connections immediately.
        for (const host of fleet.hosts.values()) {
          for (const hostId of killedHostIds) {
            host.deliver({type: 'peerAbsent', hostId});
          }
        }
      });
      expect(maxStarted, `seed ${seed}`).to.be.at.most(maxRunPerWindow);
    }
  });

  it('holds when all hosts lose power at once and restart', () => {
    for (const seed of seeds) {
      const fleet = createGrayFailureFleet(hash, {seed, errorShare: 0});
      fleet.queue.runUntil(startupMs);
      sendRandomLoad(fleet, {
        forMs: 14_000,
        perSecond: 200,
        mix: {payment: 1},
        customers: {large: 1},
      });
      fleet.queue.runUntil(startupMs + 6_500);
      const count = fleet.hosts.size;
      for (const hostId of fleet.hosts.keys()) {
        fleet.crashHost(hostId);
      }
      fleet.queue.runUntil(startupMs + 7_500);
      for (let number = 1; number <= count; number += 1) {
        fleet.startHost(number);
      }
      fleet.queue.runUntil(startupMs + 17_000);
      const attemptTimesMs = [...fleet.attemptTimesMs.values()].flat();
      expect(maxInAnyWindow(attemptTimesMs), `seed ${seed}`).to.be.at.most(maxRunPerWindow);
    }
  });

  it('logs for each refusal what the home counted', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 25, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    sendRandomLoad(fleet, {forMs: 5_000, perSecond: 150, mix: {lookup: 1}, customers: {large: 1}});
    fleet.queue.runUntil(startupMs + 8_000);
    const rateLimited = fleet.outcomes.filter(({refusal}) => refusal === 'rate-limited');
    const refusalLogs = fleet.logs.filter(({event}) => event === 'quota.refused');
    expect(rateLimited.length).to.be.above(100);
    expect(refusalLogs.length).to.equal(rateLimited.length);
    for (const {fields} of refusalLogs) {
      expect(fields).to.include({customerId: 'large', ratePerSecond: 60, windowMs: 5_000});
      expect(fields.requestName).to.match(/^\d+$/);
      const isWindowFull = Number(fields.admitted) >= 360;
      const isBucketEmpty = Number(fields.bucketUsed) >= Number(fields.bucketSize) - 1;
      expect(isWindowFull || isBucketEmpty, JSON.stringify(fields)).to.equal(true);
    }
  });

  it('refuses nothing below the rate while no host fails', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 10, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    sendRandomLoad(fleet, {forMs: 12_000, perSecond: 55, mix: {lookup: 1}, customers: {large: 1}});
    fleet.queue.runUntil(startupMs + 15_000);
    const rateLimited = fleet.outcomes.filter(({refusal}) => refusal === 'rate-limited');
    expect(rateLimited.length).to.equal(0);
  });
});
