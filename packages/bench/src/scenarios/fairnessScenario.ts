import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {maxMinShare} from '../oracles/maxMinShare.ts';
import type {Policy} from './policies.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

/** Time that the fleet gets before the load starts, in ms. */
const startupMs = 16_000;
/** Time under load before the measurement starts, in ms. */
const warmUpMs = 5_000;
/** Duration of the measurement, in ms. */
const runMs = 20_000;
const serverCount = 30;
const slotsPerServer = 2;
const serviceMs = 40;

/** One customer of a measurement: its rate limit and the rate at which it sends. */
interface Demand {
  readonly id: string;
  readonly ratePerSecond: number;
  readonly sentPerSecond: number;
}

/** Customers and servers of one measurement. */
export interface FairnessCase {
  readonly name: string;
  readonly demands: readonly Demand[];
  /** Number of servers that fail half of their requests. */
  readonly grayFailureServerCount: number;
}

const smallCustomers = Array.from({length: 5}, (_, index) => ({
  id: `small-${index}`,
  ratePerSecond: 10,
  sentPerSecond: 8,
}));

/** Cases of the measurement; their names stand in the table. */
export const fairnessCases: readonly FairnessCase[] = [
  {
    name: 'one customer at 5 times its rate',
    grayFailureServerCount: 0,
    demands: [
      {id: 'large-0', ratePerSecond: 300, sentPerSecond: 1_500},
      {id: 'large-1', ratePerSecond: 300, sentPerSecond: 200},
      ...smallCustomers,
    ],
  },
  {
    name: 'rates above the capacity',
    grayFailureServerCount: 0,
    demands: [
      {id: 'large-0', ratePerSecond: 2_000, sentPerSecond: 1_400},
      {id: 'large-1', ratePerSecond: 2_000, sentPerSecond: 400},
      ...smallCustomers,
    ],
  },
  {
    name: 'a third of the servers gray',
    grayFailureServerCount: 10,
    demands: [
      {id: 'large-0', ratePerSecond: 400, sentPerSecond: 360},
      {id: 'large-1', ratePerSecond: 300, sentPerSecond: 250},
      ...smallCustomers,
    ],
  },
];

/**
 * Finds the customer that is served worst, relative to its max-min fair share of the capacity of the servers
 * that do not fail.
 */
export function measureFairness(
  hostCount: number,
  policy: Policy,
  {name, demands, grayFailureServerCount}: FairnessCase,
  hash: HashFunction,
): Row {
  const customers = demands.map(({id, ratePerSecond}) => ({
    id,
    ratePerSecond,
    burstRequests: ratePerSecond,
  }));
  const document = testDocument({customers, serverCount, floorServers: 18});
  const fleet = new SimulatedFleet({
    hostCount,
    document,
    hash,
    seed: 51,
    server: {serviceMs},
    core: policy.core,
  });
  fleet.run(startupMs);
  for (let index = 1; index <= grayFailureServerCount; index += 1) {
    Object.assign(fleet.servers.get(`nucleo-${index}`)?.behaviour ?? {}, {failureShare: 0.5});
  }
  for (const [index, {id, sentPerSecond}] of demands.entries()) {
    sendSteadyLoad(fleet, {
      customerId: id,
      perSecond: sentPerSecond,
      forMs: warmUpMs + runMs,
      seed: 200 + index,
    });
  }
  fleet.run(warmUpMs);
  const fromMs = fleet.queue.nowMs;
  fleet.run(runMs + 2_000);
  const seconds = runMs / 1_000;
  const capacity = ((serverCount - grayFailureServerCount) * slotsPerServer * 1_000) / serviceMs;
  const fairShares = maxMinShare(
    demands.map(({ratePerSecond, sentPerSecond}) => Math.min(ratePerSecond, sentPerSecond)),
    capacity,
  );
  let lowestRatio = Number.POSITIVE_INFINITY;
  let lowestRatioCustomerId = '';
  const latencies: number[] = [];
  for (const [index, {id}] of demands.entries()) {
    const served = fleet.outcomes.filter(
      (one) => one.customerId === id && one.status === 200 && one.arrivedAtMs >= fromMs,
    );
    latencies.push(...served.map(({arrivedAtMs, endedAtMs}) => endedAtMs - arrivedAtMs));
    const sent = fleet.outcomes.filter((one) => one.customerId === id && one.arrivedAtMs >= fromMs);
    const fairRate = Math.min(fairShares[index] ?? 0, sent.length / seconds);
    const ratio = served.length / seconds / fairRate;
    if (ratio < lowestRatio) {
      lowestRatio = ratio;
      lowestRatioCustomerId = id;
    }
  }
  latencies.sort((one, other) => one - other);
  return {
    policy: policy.name,
    case: name,
    'worst served / entitled': round(lowestRatio, 3),
    'worst customer': lowestRatioCustomerId,
    'p99 ms': round(latencies[Math.floor(latencies.length * 0.99)] ?? 0, 1),
  };
}
