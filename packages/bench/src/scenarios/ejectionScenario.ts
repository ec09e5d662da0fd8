import type {HashFunction} from '@godwitspring/core';
import {MemoryFleet} from '../fleet/memoryFleet.ts';
import {steadyLoad} from '../fleet/steadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import type {Policy} from './policies.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

const settleMs = 16_000;
const customers = [{id: 'large', ratePerSecond: 2_000, burstRequests: 2_000}];
const sickServerId = 'nucleo-3';
const hourMs = 3_600_000;

function ejections(fleet: MemoryFleet): {serverId: string; atMs: number}[] {
  return fleet.logs
    .filter(({event}) => event === 'health.ejected')
    .map(({fields, atMs}) => ({serverId: String(fields.serverId), atMs}));
}

/** Time until a server that fails half of its work, at 10 requests/s to it, is out of use. */
export function measureDetection(hostCount: number, policy: Policy, hash: HashFunction): Row {
  const document = testDocument({customers, serverCount: 30, floorServers: 20});
  const times: number[] = [];
  let falseEjections = 0;
  let missed = 0;
  for (let seed = 61; seed <= 65; seed += 1) {
    const fleet = new MemoryFleet({hostCount, document, hash, seed, core: policy.core});
    fleet.run(settleMs);
    steadyLoad(fleet, {customerId: 'large', perSecond: 300, forMs: 34_000, seed});
    fleet.run(4_000);
    const fromMs = fleet.queue.nowMs;
    Object.assign(fleet.servers.get(sickServerId)?.behaviour ?? {}, {failPart: 0.5});
    fleet.run(30_000);
    const out = ejections(fleet);
    const first = out.find(({serverId}) => serverId === sickServerId);
    falseEjections += out.filter(({serverId}) => serverId !== sickServerId).length;
    missed += first === undefined ? 1 : 0;
    if (first !== undefined) {
      times.push(first.atMs - fromMs);
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

/** Ejections of healthy servers in an hour of noise: half a percent of all work fails anyway. */
export function measureNoise(
  hostCount: number,
  withCuts: boolean,
  policy: Policy,
  hash: HashFunction,
): Row {
  const document = testDocument({customers, serverCount: 30, floorServers: 20});
  const fleet = new MemoryFleet({hostCount, document, hash, seed: 71, core: policy.core});
  fleet.run(settleMs);
  for (const server of fleet.servers.values()) {
    server.behaviour.failPart = 0.005;
  }
  steadyLoad(fleet, {customerId: 'large', perSecond: 60, forMs: hourMs});
  if (withCuts) {
    disturb(fleet);
  }
  const stepMs = 60_000;
  for (let elapsedMs = 0; elapsedMs < hourMs; elapsedMs += stepMs) {
    fleet.run(stepMs);
    fleet.outcomes.length = 0;
    fleet.attempts.length = 0;
  }
  const out = ejections(fleet);
  return {
    policy: policy.name,
    noise: withCuts ? 'flapping server and one-way cuts' : 'healthy',
    'false ejections in an hour': out.filter(({serverId}) => serverId !== sickServerId).length,
    'ejections of the flapping server': out.filter(({serverId}) => serverId === sickServerId)
      .length,
    'requests/s to each server': round(2, 1),
  };
}

/** One server flaps every 20 s; every 30 s one host loses its way to one server for 5 s. */
function disturb(fleet: MemoryFleet): void {
  const flap = (isSick: boolean): void => {
    Object.assign(fleet.servers.get(sickServerId)?.behaviour ?? {}, {
      failPart: isSick ? 0.8 : 0.005,
    });
    fleet.after(20_000, () => {
      flap(!isSick);
    });
  };
  let turn = 0;
  const cut = (): void => {
    turn += 1;
    fleet.link.heal();
    const hostId = `host-${1 + (turn % fleet.hosts.size)}`;
    fleet.link.cut(hostId, `nucleo-${4 + (turn % 20)}`);
    fleet.after(5_000, () => {
      fleet.link.heal();
    });
    fleet.after(30_000, cut);
  };
  flap(true);
  cut();
}
