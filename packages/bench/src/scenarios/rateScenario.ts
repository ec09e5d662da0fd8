import type {HashFunction} from '@godwitspring/core';
import {MemoryFleet} from '../fleet/memoryFleet.ts';
import {steadyLoad} from '../fleet/steadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {IdealBucket} from '../oracles/idealBucket.ts';
import {worstExcess} from '../oracles/worstExcess.ts';
import type {Policy} from './policies.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

const settleMs = 20_000;
const runMs = 60_000;
const customers = [
  {id: 'large', ratePerSecond: 200, burstRequests: 400},
  {id: 'medium', ratePerSecond: 20, burstRequests: 40},
  {id: 'small', ratePerSecond: 2, burstRequests: 4},
  {id: 'tight', ratePerSecond: 50, burstRequests: 10},
];

/** A disturbance of the fleet while customers send. */
export interface Disturbance {
  readonly name: string;
  /** Part of the customers' rates that they send. */
  readonly load: number;
  readonly apply: (fleet: MemoryFleet) => void;
}

export const disturbances: readonly Disturbance[] = [
  {name: 'no fault, exactly the rate', load: 1, apply: () => undefined},
  {name: 'no fault, 0.9 of the rate', load: 0.9, apply: () => undefined},
  {
    name: 'one host crashes and is replaced',
    load: 0.9,
    apply: (fleet) => {
      fleet.after(10_000, () => {
        fleet.crashHost('host-7');
      });
      fleet.after(13_000, () => fleet.startHost('host-7'));
    },
  },
  {
    name: 'a home crashes and is replaced',
    load: 0.9,
    apply: (fleet) => {
      const homeId = homeOfMost(fleet);
      fleet.after(10_000, () => {
        fleet.crashHost(homeId);
      });
      fleet.after(13_000, () => fleet.startHost(homeId));
    },
  },
  {
    name: 'a home replaced in order',
    load: 0.9,
    apply: (fleet) => {
      const homeId = homeOfMost(fleet);
      fleet.after(10_000, () => {
        fleet.hosts.get(homeId)?.tell({type: 'shutdownWanted'});
      });
      fleet.after(11_000, () => {
        fleet.crashHost(homeId);
      });
      fleet.after(13_000, () => fleet.startHost(homeId));
    },
  },
  {
    name: 'a third of the hosts cut off for 20 s',
    load: 0.9,
    apply: (fleet) => {
      fleet.after(10_000, () => {
        splitOff(fleet, 'dc-1');
      });
      fleet.after(30_000, () => {
        fleet.link.heal();
      });
    },
  },
];

/** The host that is home of the most buckets of customers. */
function homeOfMost(fleet: MemoryFleet): string {
  let mostId = '';
  let most = -1;
  for (const [id, host] of fleet.hosts) {
    const count = Object.keys(host.status().rateHome ?? {}).length;
    if (count > most) {
      mostId = id;
      most = count;
    }
  }
  return mostId;
}

function splitOff(fleet: MemoryFleet, dataCentre: string): void {
  const ids = [...fleet.hosts.keys()];
  for (const one of ids) {
    for (const other of ids) {
      if ((fleet.dataCentreOf(one) === dataCentre) !== (fleet.dataCentreOf(other) === dataCentre)) {
        fleet.link.cut(one, other);
      }
    }
  }
}

/** Requests refused though an ideal central bucket would have admitted them, and excess over the bound. */
export function measureRates(
  hostCount: number,
  policy: Policy,
  disturbance: Disturbance,
  hash: HashFunction,
): Row {
  const document = testDocument({customers, serverCount: 60, floorServers: 40});
  const fleet = new MemoryFleet({
    hostCount,
    document,
    hash,
    seed: 31,
    maxClockDrift: 0,
    core: policy.core,
  });
  fleet.run(settleMs);
  disturbance.apply(fleet);
  for (const [index, {id, ratePerSecond}] of customers.entries()) {
    const perSecond = ratePerSecond * disturbance.load;
    steadyLoad(fleet, {customerId: id, perSecond, forMs: runMs, seed: 100 + index});
  }
  fleet.run(runMs + 3_000);
  const row: Record<string, string | number> = {policy: policy.name, disturbance: disturbance.name};
  let worst = Number.NEGATIVE_INFINITY;
  let refused = 0;
  let admissible = 0;
  for (const customer of customers) {
    const own = fleet.outcomes.filter(({customerId}) => customerId === customer.id);
    const bucket = new IdealBucket(customer);
    const inOrder = [...own].sort((one, other) => one.arrivedAtMs - other.arrivedAtMs);
    const ideal = inOrder.filter(({arrivedAtMs}) => bucket.admit(arrivedAtMs)).length;
    const served = own.filter(({status}) => status === 200).length;
    refused += Math.max(0, ideal - served);
    admissible += ideal;
    row[`refused % ${customer.id}`] = round(
      (100 * Math.max(0, ideal - served)) / Math.max(1, ideal),
    );
    const admittedAtMs = fleet.attempts
      .filter(({customerId, attempt}) => customerId === customer.id && attempt === 1)
      .map(({atMs}) => atMs);
    worst = Math.max(worst, worstExcess(customer, admittedAtMs));
  }
  row['refused % in all'] = round((100 * refused) / Math.max(1, admissible));
  row['worst excess'] = round(worst);
  return row;
}
