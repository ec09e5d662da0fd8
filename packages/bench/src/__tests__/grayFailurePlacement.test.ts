import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import {expect} from 'chai';
import {
  createGrayFailureFleet,
  sendRandomLoad,
  grayFailureRoutes,
  scheduleFailureCycles,
  summariseOutcomes,
  summariseRoute,
} from '../gray-failure/grayFailureSetup.ts';
import type {OutcomeSummary} from '../gray-failure/grayFailureSetup.ts';
import type {GrayFailureFleet} from '../gray-failure/grayFailureFleet.ts';

/** Time in which the hosts find each other and the servers, in ms. */
const startupMs = 8_000;
/** Time in which each server falls silent and recovers once, in ms. */
const cycleMs = 12_000;

let hash: HashFunction;

/** Cuts every link between hosts, so that each uses its local fallback. */
function isolateHosts(fleet: GrayFailureFleet): void {
  for (const from of fleet.hosts.keys()) {
    for (const to of fleet.hosts.keys()) {
      if (from !== to) {
        fleet.network.cut(from, to);
      }
    }
  }
}

/** Requests per second of each route. */
const typicalMix = {lookup: 20, payment: 46, upload: 4};

/** Runs a fleet in which a third of the servers are silent at any time; each one recovers and falls silent again. */
function runWithSilentServers({
  areHostsIsolated,
  mix = typicalMix,
  seed = 11,
}: {
  areHostsIsolated: boolean;
  mix?: Readonly<Record<string, number>>;
  seed?: number;
}): GrayFailureFleet {
  const fleet = createGrayFailureFleet(hash, {seed});
  fleet.queue.runUntil(startupMs);
  if (areHostsIsolated) {
    isolateHosts(fleet);
  }
  scheduleFailureCycles(fleet, {mode: 'silent', share: 0.3, cycleMs, seed});
  fleet.queue.runUntil(startupMs + cycleMs);
  const total = Object.values(mix).reduce((sum, weight) => sum + weight, 0);
  sendRandomLoad(fleet, {forMs: 20_000, mix, perSecond: total});
  fleet.queue.runUntil(startupMs + cycleMs + 24_000);
  return fleet;
}

describe('placement while a third of the servers is silent in turn', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('loses less than half of the payments that isolated hosts lose', () => {
    const together = summariseRoute(runWithSilentServers({areHostsIsolated: false}), 'payment');
    const isolated = summariseRoute(runWithSilentServers({areHostsIsolated: true}), 'payment');
    expect(together.unknownOutcomeShare).to.be.below(isolated.unknownOutcomeShare / 2);
  });

  it('answers lookups by hedged attempts, within their target latency', () => {
    const lookups = summariseRoute(runWithSilentServers({areHostsIsolated: false}), 'lookup');
    expect(lookups.servedShare).to.be.above(0.97);
    expect(lookups.inTargetShare).to.be.above(0.95);
  });

  it('loses no more payments where silent servers still answer trivial requests', () => {
    const lostShare = (mix: Readonly<Record<string, number>>): number => {
      let sum = 0;
      for (const seed of [11, 12, 13, 14]) {
        sum += summariseRoute(
          runWithSilentServers({areHostsIsolated: false, mix, seed}),
          'payment',
        ).unknownOutcomeShare;
      }
      return sum / 4;
    };
    const withTrivialRequests = lostShare({...typicalMix, check: 30});
    const typical = lostShare(typicalMix);
    expect(withTrivialRequests).to.be.at.most(typical * 1.1);
  });

  it('runs no payment twice', () => {
    const fleet = runWithSilentServers({areHostsIsolated: false});
    const retryableRequests = new Set<string>();
    for (const {fields, event} of fleet.logs) {
      if (event === 'place.granted' && fields.isRepeatable === true) {
        retryableRequests.add(String(fields.requestName));
      }
    }
    for (const [key, runs] of fleet.attemptsByRequest) {
      const requestName = key.slice(key.indexOf('/') + 1);
      if (!retryableRequests.has(requestName)) {
        expect(runs, `request ${requestName}`).to.equal(1);
      }
    }
  });
});

describe('placement while the network paths of some hosts to half of the servers are cut', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('loses few payments that these hosts received', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 31, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    const cutHosts = [fleet.hostId(3), fleet.hostId(10), fleet.hostId(17), fleet.hostId(20)];
    sendRandomLoad(fleet, {forMs: 12_000, mix: {lookup: 20, payment: 46}, perSecond: 66});
    fleet.queue.runUntil(startupMs + 2_000);
    for (const hostId of cutHosts) {
      for (const [index, serverId] of [...fleet.servers.keys()].entries()) {
        if (index % 2 === 0) {
          fleet.silentPaths.add(`${hostId}>${serverId}`);
        }
      }
    }
    fleet.queue.runUntil(startupMs + 16_000);
    const payments = fleet.outcomes.filter(
      ({routeId, hostId}) => routeId === 'payment' && cutHosts.includes(hostId),
    );
    const summary = summariseOutcomes(payments);
    expect(summary.unknownOutcomeShare).to.be.below(0.1);
    expect(summary.refusedShare).to.be.below(0.03);
  });
});

describe('the home of a backend', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  /** What became of the requests of a fleet whose home is crashed or not. */
  function runWithHome({crashes}: {crashes: boolean}): OutcomeSummary {
    const fleet = createGrayFailureFleet(hash, {seed: 3, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    sendRandomLoad(fleet, {forMs: 8_000});
    fleet.queue.runUntil(startupMs + 3_000);
    const homeId = fleet.logs.findLast(({event}) => event === 'place.granted')?.hostId ?? '';
    if (crashes) {
      fleet.crashHost(homeId);
    }
    fleet.queue.runUntil(startupMs + 14_000);
    return summariseOutcomes(fleet.outcomes);
  }

  it('is replaced when its host crashes, without harm to callers of other hosts', () => {
    const baseline = runWithHome({crashes: false});
    const crashed = runWithHome({crashes: true});
    expect(crashed.servedShare).to.be.above(0.995);
    expect(crashed.inTargetShare).to.be.above(baseline.inTargetShare - 0.01);
  });

  it('that was unreachable for a while does not count attempts that ended meanwhile as running', () => {
    const fleet = createGrayFailureFleet(hash, {
      seed: 17,
      errorShare: 0,
      backends: [{id: 'core', servers: 12}],
    });
    fleet.queue.runUntil(startupMs);
    sendRandomLoad(fleet, {forMs: 10_000, perSecond: 70, mix: {lookup: 20, payment: 46}});
    fleet.queue.runUntil(startupMs + 2_000);
    const homeId = fleet.logs.findLast(({event}) => event === 'place.granted')?.hostId ?? '';
    for (const hostId of fleet.hosts.keys()) {
      fleet.network.cut(homeId, hostId);
      fleet.network.cut(hostId, homeId);
    }
    fleet.queue.runUntil(startupMs + 2_600);
    fleet.network.heal();
    fleet.queue.runUntil(startupMs + 13_000);
    const laterFromMs = startupMs + 6_000;
    for (const [serverId, attemptTimesMs] of fleet.attemptTimesMs) {
      const later = attemptTimesMs.filter((startMs) => startMs > laterFromMs);
      expect(later.length, serverId).to.be.above(10);
    }
  });

  /** Most starts within any second. */
  function mostStartsInSecond(attemptTimesMs: readonly number[]): number {
    let most = 0;
    for (const [index, startMs] of attemptTimesMs.entries()) {
      const inSecond = attemptTimesMs
        .slice(index)
        .filter((other) => other < startMs + 1_000).length;
      most = Math.max(most, inSecond);
    }
    return most;
  }

  /** Requests per second that a cold server can handle, and the most that the fleet bounds allow. */
  const coldRate = 4;
  const coldBound = coldRate * 1.5 + 5;

  it('keeps servers that report being cold within the rate for cold servers', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 4, backends: [{id: 'core', servers: 6}]});
    fleet.queue.runUntil(startupMs);
    const entries = [...fleet.servers.values()].map((server) => ({
      kind: 'server' as const,
      server: {...fleet.registryEntryOf(server), coldForMs: 30_000, revision: 2},
    }));
    fleet.publish(entries);
    fleet.queue.runUntil(startupMs + 1_000);
    sendRandomLoad(fleet, {forMs: 10_000, perSecond: 60, mix: {lookup: 1}});
    fleet.queue.runUntil(startupMs + 13_000);
    for (const [serverId, attemptTimesMs] of fleet.attemptTimesMs) {
      expect(mostStartsInSecond(attemptTimesMs), serverId).to.be.at.most(coldRate * 1.5);
    }
  });

  it('keeps a server that turned cold unnoticed and runs at half speed within its bound', () => {
    const slow = grayFailureRoutes.map((route) => ({...route, meanMs: route.meanMs * 2}));
    const backends = [{id: 'core', servers: 6}];
    const fleet = createGrayFailureFleet(hash, {seed: 4, backends, routes: slow});
    fleet.queue.runUntil(startupMs);
    sendRandomLoad(fleet, {forMs: 10_000, perSecond: 60, mix: {lookup: 1}});
    fleet.queue.runUntil(startupMs + 12_000);
    for (const [serverId, attemptTimesMs] of fleet.attemptTimesMs) {
      expect(mostStartsInSecond(attemptTimesMs), serverId).to.be.at.most(coldBound);
    }
  });
});

describe('placement while servers join or many requests fail', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('sends requests to a server that joins within two seconds, where no request may be retried', () => {
    for (const seed of [41, 42, 43]) {
      const fleet = createGrayFailureFleet(hash, {
        seed,
        backends: [{id: 'core', servers: 17}],
        errorShare: 0,
      });
      fleet.queue.runUntil(startupMs);
      sendRandomLoad(fleet, {forMs: 10_000, perSecond: 12, mix: {payment: 1}});
      fleet.queue.runUntil(startupMs + 5_000);
      const server = fleet.addServer('core');
      fleet.queue.runUntil(startupMs + 7_000);
      expect(fleet.attemptTimesMs.get(server.id) ?? [], `seed ${seed}`).to.not.have.length(0);
    }
  });

  /** Length of the windows in which operators evaluate the floor, in ms. */
  const floorWindowMs = 2_000;
  /** Time for which a server must have been healthy to count, in ms. */
  const healthyForMs = 2_000;
  /** Least share of the healthy servers that receive requests while many fail. */
  const floorShare = 0.7;

  /** Number of windows in which too few of the servers that had been healthy for a while received requests. */
  function countWindowsBelowFloor(seed: number): {below: number; relevant: number} {
    const backends = [{id: 'core', servers: 17}];
    const fleet = createGrayFailureFleet(hash, {seed, backends});
    fleet.queue.runUntil(startupMs);
    scheduleFailureCycles(fleet, {mode: 'silent', share: 0.3, cycleMs: 9_000, seed});
    for (const server of fleet.servers.values()) {
      server.affectedShare = 0.75;
    }
    sendRandomLoad(fleet, {forMs: 20_000, perSecond: 41, mix: {payment: 1}});
    const healthyIds: {atMs: number; ids: Set<string>}[] = [];
    for (let atMs = startupMs; atMs < startupMs + 22_000; atMs += 100) {
      fleet.queue.runUntil(atMs);
      const healthy = [...fleet.servers.values()].filter(({mode}) => mode === 'healthy');
      healthyIds.push({atMs, ids: new Set(healthy.map(({id}) => id))});
    }
    let below = 0;
    let relevant = 0;
    for (let fromMs = startupMs + 1_000; fromMs < startupMs + 18_000; fromMs += 500) {
      const isInWindow = (atMs: number): boolean => atMs >= fromMs && atMs < fromMs + floorWindowMs;
      const samples = healthyIds.filter(
        ({atMs}) => atMs >= fromMs - healthyForMs && atMs < fromMs + floorWindowMs,
      );
      const sound = [...fleet.servers.keys()].filter((id) => samples.every(({ids}) => ids.has(id)));
      const sent = fleet.outcomes.filter(({arrivedAtMs}) => isInWindow(arrivedAtMs));
      const unserved = sent.filter(({status}) => status !== 200).length / sent.length;
      if (unserved > 0.1 && unserved < 0.5 && sound.length >= 4) {
        const used = sound.filter((id) => fleet.attemptTimesMs.get(id)?.some(isInWindow));
        relevant += 1;
        below += used.length / sound.length < floorShare ? 1 : 0;
      }
    }
    return {below, relevant};
  }

  it('keeps most of the healthy servers in use while a tenth to a half of the payments fail', () => {
    let below = 0;
    let relevant = 0;
    for (const seed of [51, 52, 53, 54, 55, 56, 57, 58, 59, 60]) {
      const windows = countWindowsBelowFloor(seed);
      below += windows.below;
      relevant += windows.relevant;
    }
    expect(relevant).to.be.above(50);
    expect(below).to.equal(0);
  });
});
