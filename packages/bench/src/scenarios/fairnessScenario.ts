import type {HashFunction} from '@godwitspring/core';
import {MemoryFleet} from '../fleet/memoryFleet.ts';
import {steadyLoad} from '../fleet/steadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {maxMinShare} from '../oracles/maxMinShare.ts';
import type {Policy} from './policies.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

const settleMs = 16_000;
const warmMs = 5_000;
const runMs = 20_000;
const serverCount = 30;
const slots = 2;
const serviceMs = 40;

/** Customers of one measurement: what each may send, and what each sends. */
interface Demand {
  readonly id: string;
  readonly ratePerSecond: number;
  readonly sentPerSecond: number;
}

export interface FairnessCase {
  readonly name: string;
  readonly demands: readonly Demand[];
  /** Servers that fail half of their work. */
  readonly grayServers: number;
}

const small = Array.from({length: 5}, (_, index) => ({
  id: `small-${index}`,
  ratePerSecond: 10,
  sentPerSecond: 8,
}));

export const fairnessCases: readonly FairnessCase[] = [
  {
    name: 'one customer at 5 times its rate',
    grayServers: 0,
    demands: [
      {id: 'large-0', ratePerSecond: 300, sentPerSecond: 1_500},
      {id: 'large-1', ratePerSecond: 300, sentPerSecond: 200},
      ...small,
    ],
  },
  {
    name: 'rates above the capacity',
    grayServers: 0,
    demands: [
      {id: 'large-0', ratePerSecond: 2_000, sentPerSecond: 1_400},
      {id: 'large-1', ratePerSecond: 2_000, sentPerSecond: 400},
      ...small,
    ],
  },
  {
    name: 'a third of the servers gray',
    grayServers: 10,
    demands: [
      {id: 'large-0', ratePerSecond: 400, sentPerSecond: 360},
      {id: 'large-1', ratePerSecond: 300, sentPerSecond: 250},
      ...small,
    ],
  },
];

/** How the worst-served customer fares against the max-min fair share of the capacity there was. */
export function measureFairness(
  hostCount: number,
  policy: Policy,
  {name, demands, grayServers}: FairnessCase,
  hash: HashFunction,
): Row {
  const customers = demands.map(({id, ratePerSecond}) => ({
    id,
    ratePerSecond,
    burstRequests: ratePerSecond,
  }));
  const document = testDocument({customers, serverCount, floorServers: 18});
  const fleet = new MemoryFleet({
    hostCount,
    document,
    hash,
    seed: 51,
    server: {serviceMs},
    core: policy.core,
  });
  fleet.run(settleMs);
  for (let index = 1; index <= grayServers; index += 1) {
    Object.assign(fleet.servers.get(`nucleo-${index}`)?.behaviour ?? {}, {failPart: 0.5});
  }
  for (const [index, {id, sentPerSecond}] of demands.entries()) {
    steadyLoad(fleet, {
      customerId: id,
      perSecond: sentPerSecond,
      forMs: warmMs + runMs,
      seed: 200 + index,
    });
  }
  fleet.run(warmMs);
  const fromMs = fleet.queue.nowMs;
  fleet.run(runMs + 2_000);
  const seconds = runMs / 1_000;
  const capacity = ((serverCount - grayServers) * slots * 1_000) / serviceMs;
  const entitled = maxMinShare(
    demands.map(({ratePerSecond, sentPerSecond}) => Math.min(ratePerSecond, sentPerSecond)),
    capacity,
  );
  let worst = Number.POSITIVE_INFINITY;
  let worstId = '';
  const latencies: number[] = [];
  for (const [index, {id}] of demands.entries()) {
    const served = fleet.outcomes.filter(
      (one) => one.customerId === id && one.status === 200 && one.arrivedAtMs >= fromMs,
    );
    latencies.push(...served.map(({arrivedAtMs, endedAtMs}) => endedAtMs - arrivedAtMs));
    const sent = fleet.outcomes.filter((one) => one.customerId === id && one.arrivedAtMs >= fromMs);
    const due = Math.min(entitled[index] ?? 0, sent.length / seconds);
    const ratio = served.length / seconds / due;
    if (ratio < worst) {
      worst = ratio;
      worstId = id;
    }
  }
  latencies.sort((one, other) => one - other);
  return {
    policy: policy.name,
    case: name,
    'worst served / entitled': round(worst, 3),
    'worst customer': worstId,
    'p99 ms': round(latencies[Math.floor(latencies.length * 0.99)] ?? 0, 1),
  };
}
