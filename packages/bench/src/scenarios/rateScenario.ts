import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {IdealTokenBucket} from '../oracles/idealTokenBucket.ts';
import {worstExcess} from '../oracles/worstExcess.ts';
import type {Policy} from './policies.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

/** Time that the fleet gets before the load starts, in ms. */
const startupMs = 20_000;
/** Duration of the load, in ms. */
const runMs = 60_000;
const customers = [
  {id: 'large', ratePerSecond: 200, burstRequests: 400},
  {id: 'medium', ratePerSecond: 20, burstRequests: 40},
  {id: 'small', ratePerSecond: 2, burstRequests: 4},
  {id: 'tight', ratePerSecond: 50, burstRequests: 10},
];

/** A fault or planned change that happens to the fleet while customers send. */
export interface Disturbance {
  readonly name: string;
  /** Load of each customer, as a multiple of its rate. */
  readonly load: number;
  /** Schedules the disturbance. */
  readonly apply: (fleet: SimulatedFleet) => void;
}

/** Disturbances of the measurement; their names stand in the table. */
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
      const homeId = hostWithMostHomeBuckets(fleet);
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
      const homeId = hostWithMostHomeBuckets(fleet);
      fleet.after(10_000, () => {
        fleet.hosts.get(homeId)?.deliver({type: 'shutdownWanted'});
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
        partitionDataCentre(fleet, 'dc-1');
      });
      fleet.after(30_000, () => {
        fleet.network.heal();
      });
    },
  },
];

/**
 * The host that is home of the most hash buckets of customers. The home of a bucket is the host that decides on
 * the rates of its customers for the whole fleet.
 */
function hostWithMostHomeBuckets(fleet: SimulatedFleet): string {
  let largestHostId = '';
  let largestCount = -1;
  for (const [id, host] of fleet.hosts) {
    const count = Object.keys(host.status().rateHome ?? {}).length;
    if (count > largestCount) {
      largestHostId = id;
      largestCount = count;
    }
  }
  return largestHostId;
}

/** Cuts all links, in both directions, between the hosts of a data centre and the other hosts. */
function partitionDataCentre(fleet: SimulatedFleet, dataCentre: string): void {
  const ids = [...fleet.hosts.keys()];
  for (const one of ids) {
    for (const other of ids) {
      if ((fleet.dataCentreOf(one) === dataCentre) !== (fleet.dataCentreOf(other) === dataCentre)) {
        fleet.network.cut(one, other);
      }
    }
  }
}

/**
 * Measures, by customer, the share of requests that were not served although one ideal central token bucket
 * would have admitted them, and the largest excess over the rate limit.
 */
export function measureRates(
  hostCount: number,
  policy: Policy,
  disturbance: Disturbance,
  hash: HashFunction,
): Row {
  const document = testDocument({customers, serverCount: 60, floorServers: 40});
  const fleet = new SimulatedFleet({
    hostCount,
    document,
    hash,
    seed: 31,
    maxClockDrift: 0,
    core: policy.core,
  });
  fleet.run(startupMs);
  disturbance.apply(fleet);
  for (const [index, {id, ratePerSecond}] of customers.entries()) {
    const perSecond = ratePerSecond * disturbance.load;
    sendSteadyLoad(fleet, {customerId: id, perSecond, forMs: runMs, seed: 100 + index});
  }
  fleet.run(runMs + 3_000);
  const row: Record<string, string | number> = {policy: policy.name, disturbance: disturbance.name};
  let largestExcess = Number.NEGATIVE_INFINITY;
  let refused = 0;
  let admissible = 0;
  for (const customer of customers) {
    const outcomes = fleet.outcomes.filter(({customerId}) => customerId === customer.id);
    const bucket = new IdealTokenBucket(customer);
    const inOrder = [...outcomes].sort((one, other) => one.arrivedAtMs - other.arrivedAtMs);
    const idealAdmitted = inOrder.filter(({arrivedAtMs}) => bucket.tryConsume(arrivedAtMs)).length;
    const served = outcomes.filter(({status}) => status === 200).length;
    refused += Math.max(0, idealAdmitted - served);
    admissible += idealAdmitted;
    row[`refused % ${customer.id}`] = round(
      (100 * Math.max(0, idealAdmitted - served)) / Math.max(1, idealAdmitted),
    );
    const admittedAtMs = fleet.attempts
      .filter(({customerId, attempt}) => customerId === customer.id && attempt === 1)
      .map(({atMs}) => atMs);
    largestExcess = Math.max(largestExcess, worstExcess(customer, admittedAtMs));
  }
  row['refused % in all'] = round((100 * refused) / Math.max(1, admissible));
  row['worst excess'] = round(largestExcess);
  return row;
}
