import {DEFAULT_FLEET_BOUNDS} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {loadXxHash} from '@godwitspring/proxy';
import {expect} from 'chai';
import type {GrayFailureFleet} from '../gray-failure/grayFailureFleet.ts';
import {createGrayFailureFleet, sendRandomLoad} from '../gray-failure/grayFailureSetup.ts';
import {retryBudgetExcess} from '../oracles/retryBudgetExcess.ts';

/** Time in which the hosts find each other and the servers, in ms. */
const startupMs = 8_000;
const loadMs = 26_000;
/** Time after the load in which the last requests end, in ms. */
const drainMs = 4_000;
/** Time from the start of the load at which the servers begin to shed requests, and for which they do, in ms. */
const shedAtMs = 4_000;
const shedForMs = 18_000;
/** Share of the requests that the servers shed: far more than the budget allows to retry. */
const shedShare = 0.55;
const hosts = 24;

let hash: HashFunction;

/** Runs a load under which retries are refused for lack of budget, with something that happens to the hosts. */
function run(servers: number, seed: number, disturb: (fleet: GrayFailureFleet) => void): string[] {
  const fleet = createGrayFailureFleet(hash, {
    seed,
    hosts,
    backends: [{id: 'core', servers}],
  });
  fleet.queue.runUntil(startupMs);
  sendRandomLoad(fleet, {
    forMs: loadMs,
    seed,
    perSecond: servers * 4,
    mix: {lookup: 20, payment: 46},
  });
  fleet.after(shedAtMs, () => {
    for (const server of fleet.servers.values()) {
      server.mode = 'shedding';
      server.affectedShare = shedShare;
    }
  });
  fleet.after(shedAtMs + shedForMs, () => {
    for (const server of fleet.servers.values()) {
      server.mode = 'healthy';
    }
  });
  disturb(fleet);
  fleet.queue.runUntil(startupMs + loadMs + drainMs);
  return retryBudgetExcess(fleet, DEFAULT_FLEET_BOUNDS);
}

/** Cuts the first hosts off from all others for a time. */
function cutOff(count: number, atMs: number, forMs: number): (fleet: GrayFailureFleet) => void {
  return (fleet) => {
    fleet.after(atMs, () => {
      const ids = [...fleet.hosts.keys()];
      for (const one of ids.slice(0, count)) {
        for (const other of ids.filter((id) => id !== one)) {
          fleet.network.cut(one, other);
          fleet.network.cut(other, one);
        }
      }
    });
    fleet.after(atMs + forMs, () => {
      fleet.network.heal();
    });
  };
}

/** Kills the host that granted the newest attempt every second; each is back after 1.5 s. */
function killHomes(fleet: GrayFailureFleet): void {
  const hostIds = [...fleet.hosts.keys()];
  for (let killed = 0; killed < 8; killed += 1) {
    fleet.after(12_000 + killed * 1_000, () => {
      const homeId = fleet.logs.findLast(({event}) => event === 'place.granted')?.hostId ?? '';
      fleet.crashHost(homeId);
      fleet.after(1_500, () => {
        fleet.startHost(hostIds.indexOf(homeId) + 1);
      });
    });
  }
}

/** Makes a third of the paths from hosts to servers refuse connections. */
function refusePaths(fleet: GrayFailureFleet): void {
  let number = 0;
  for (const hostId of fleet.hosts.keys()) {
    for (const serverId of fleet.servers.keys()) {
      number += 1;
      if ((number * 7_919) % 100 < 35) {
        fleet.refusedPaths.add(`${hostId}>${serverId}`);
      }
    }
  }
}

describe('the retry budget of a backend over the whole fleet', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  const cases: Readonly<Record<string, (fleet: GrayFailureFleet) => void>> = {
    // Guards against a home that has the whole budget although the home before it has used it up.
    'hosts that act as home are killed in turn': killHomes,
    'every host is cut off from all others': cutOff(hosts, 10_000, 8_000),
    'a third of the hosts are cut off': cutOff(hosts / 3, 10_000, 10_000),
    'a third of the paths to servers refuse connections': refusePaths,
  };
  for (const [what, disturb] of Object.entries(cases)) {
    for (const servers of [12, 48]) {
      it(`is kept while ${what}, ${servers} servers`, () => {
        for (const seed of [1, 2]) {
          expect(run(servers, seed, disturb), `seed ${seed}`).to.deep.equal([]);
        }
      }).timeout(60_000);
    }
  }
});
