import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import type {Policy} from './policies.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

/** Time that the fleet gets before the load starts, in ms. */
const startupMs = 16_000;
const customers = [{id: 'large', ratePerSecond: 2_000, burstRequests: 2_000}];
/** Server that the scenarios make fail. */
const failingServerId = 'nucleo-3';
const hourMs = 3_600_000;

/** Ejections that were logged, in order. */
function ejections(fleet: SimulatedFleet): {serverId: string; atMs: number}[] {
  return fleet.logs
    .filter(({event}) => event === 'health.ejected')
    .map(({fields, atMs}) => ({serverId: String(fields.serverId), atMs}));
}

/**
 * Measures the time until a server that fails half of its requests, at 10 requests/s per server, is ejected;
 * over five seeds.
 */
export function measureDetection(hostCount: number, policy: Policy, hash: HashFunction): Row {
  const document = testDocument({customers, serverCount: 30, floorServers: 20});
  const times: number[] = [];
  let falseEjections = 0;
  let missed = 0;
  for (let seed = 61; seed <= 65; seed += 1) {
    const fleet = new SimulatedFleet({hostCount, document, hash, seed, core: policy.core});
    fleet.run(startupMs);
    sendSteadyLoad(fleet, {customerId: 'large', perSecond: 300, forMs: 34_000, seed});
    fleet.run(4_000);
    const failingSinceMs = fleet.queue.nowMs;
    Object.assign(fleet.servers.get(failingServerId)?.behaviour ?? {}, {failureShare: 0.5});
    fleet.run(30_000);
    const logged = ejections(fleet);
    const first = logged.find(({serverId}) => serverId === failingServerId);
    falseEjections += logged.filter(({serverId}) => serverId !== failingServerId).length;
    missed += first === undefined ? 1 : 0;
    if (first !== undefined) {
      times.push(first.atMs - failingSinceMs);
    }
  }
  times.sort((one, other) => one - other);
  return {
    policy: policy.name,
    'median ms':
      times.length === 0 ? 'never' : Math.round(times[Math.floor(times.length / 2)] ?? 0),
    'longest ms': times.length === 0 ? 'never' : Math.round(times.at(-1) ?? 0),
    'missed of 5': missed,
    'false ejections': falseEjections,
  };
}

/**
 * Counts ejections in an hour in which every server fails half a percent of its requests. With `withCuts`, one
 * server alternates between failing and healthy, and paths from hosts to servers are cut for a short time.
 */
export function measureNoise(
  hostCount: number,
  withCuts: boolean,
  policy: Policy,
  hash: HashFunction,
): Row {
  const document = testDocument({customers, serverCount: 30, floorServers: 20});
  const fleet = new SimulatedFleet({hostCount, document, hash, seed: 71, core: policy.core});
  fleet.run(startupMs);
  for (const server of fleet.servers.values()) {
    server.behaviour.failureShare = 0.005;
  }
  sendSteadyLoad(fleet, {customerId: 'large', perSecond: 60, forMs: hourMs});
  if (withCuts) {
    scheduleFaults(fleet);
  }
  const stepMs = 60_000;
  for (let elapsedMs = 0; elapsedMs < hourMs; elapsedMs += stepMs) {
    fleet.run(stepMs);
    fleet.outcomes.length = 0;
    fleet.attempts.length = 0;
  }
  const logged = ejections(fleet);
  return {
    policy: policy.name,
    noise: withCuts ? 'flapping server and one-way cuts' : 'healthy',
    'false ejections in an hour': logged.filter(({serverId}) => serverId !== failingServerId)
      .length,
    'ejections of the flapping server': logged.filter(({serverId}) => serverId === failingServerId)
      .length,
    'requests/s to each server': round(2, 1),
  };
}

/**
 * One server alternates between failing 80 % and 0.5 % of its requests every 20 s; every 30 s the path from
 * one host to one server is cut for 5 s.
 */
function scheduleFaults(fleet: SimulatedFleet): void {
  const flap = (isFailing: boolean): void => {
    Object.assign(fleet.servers.get(failingServerId)?.behaviour ?? {}, {
      failureShare: isFailing ? 0.8 : 0.005,
    });
    fleet.after(20_000, () => {
      flap(!isFailing);
    });
  };
  let cutCount = 0;
  const cut = (): void => {
    cutCount += 1;
    fleet.network.heal();
    const hostId = `host-${1 + (cutCount % fleet.hosts.size)}`;
    fleet.network.cut(hostId, `nucleo-${4 + (cutCount % 20)}`);
    fleet.after(5_000, () => {
      fleet.network.heal();
    });
    fleet.after(30_000, cut);
  };
  flap(true);
  cut();
}
