import fc from 'fast-check';
import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet, sha256} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {IdealTokenBucket} from '../oracles/idealTokenBucket.ts';
import {worstExcess} from '../oracles/worstExcess.ts';

const hostCount = 5;
/** Time that the fleet gets before the load and the faults start, in ms. */
const startupMs = 13_000;
/** Time from one fault to the next, in ms. */
const stepMs = 400;
/** Excess in tokens up to which a limit counts as met; covers rounding errors of sums. */
const roundingTokens = 1e-6;
const customers = [
  {id: 'wide', ratePerSecond: 40, burstRequests: 60},
  {id: 'tight', ratePerSecond: 30, burstRequests: 3},
];

/** One fault or change of the configuration that happens to the fleet. */
type FaultAction =
  | {readonly kind: 'cut'; readonly from: number; readonly to: number}
  | {readonly kind: 'heal'}
  | {readonly kind: 'pause'; readonly host: number; readonly forMs: number}
  | {readonly kind: 'replace'; readonly host: number}
  | {readonly kind: 'platform'; readonly isDown: boolean}
  | {readonly kind: 'stale'; readonly isStale: boolean}
  | {readonly kind: 'loss'; readonly perMille: number}
  | {readonly kind: 'publish'; readonly ratePerSecond: number}
  | {readonly kind: 'list'; readonly without: number};

const host = fc.integer({min: 1, max: hostCount});
const faultAction: fc.Arbitrary<FaultAction> = fc.oneof(
  fc.record({kind: fc.constant('cut' as const), from: host, to: host}),
  fc.record({kind: fc.constant('heal' as const)}),
  fc.record({kind: fc.constant('pause' as const), host, forMs: fc.integer({min: 10, max: 9_000})}),
  fc.record({kind: fc.constant('replace' as const), host}),
  fc.record({kind: fc.constant('platform' as const), isDown: fc.boolean()}),
  fc.record({kind: fc.constant('stale' as const), isStale: fc.boolean()}),
  fc.record({kind: fc.constant('loss' as const), perMille: fc.integer({min: 0, max: 500})}),
  fc.record({kind: fc.constant('publish' as const), ratePerSecond: fc.integer({min: 5, max: 30})}),
  fc.record({kind: fc.constant('list' as const), without: host}),
);

function applyFault(fleet: SimulatedFleet, action: FaultAction, nextVersion: () => number): void {
  switch (action.kind) {
    case 'cut':
      fleet.network.cut(`host-${action.from}`, `host-${action.to}`);
      return;
    case 'heal':
      fleet.network.heal();
      return;
    case 'pause':
      fleet.hosts.get(`host-${action.host}`)?.pause(action.forMs);
      return;
    case 'replace':
      fleet.crashHost(`host-${action.host}`);
      fleet.startHost(`host-${action.host}`);
      return;
    case 'platform':
      fleet.platform.isDown = action.isDown;
      return;
    case 'stale':
      fleet.setPlatformStale(action.isStale);
      return;
    case 'loss':
      fleet.network.faults.lossPerMille = action.perMille;
      return;
    case 'publish': {
      const changed = customers.map((customer) => ({
        ...customer,
        ratePerSecond: action.ratePerSecond,
      }));
      fleet.publish(
        testDocument({version: nextVersion(), customers: changed, serverCount: 6, floorServers: 3}),
      );
      return;
    }
    case 'list': {
      const ids = Array.from({length: hostCount}, (_, index) => `host-${index + 1}`);
      fleet.publishLiveHosts(ids.filter((id) => id !== `host-${action.without}`));
      return;
    }
  }
}

/** A fleet after a run, and the hosts that returned to an older document version. */
interface Run {
  readonly fleet: SimulatedFleet;
  readonly downgradedHostIds: string[];
}

/** Runs a fleet through a sequence of faults, one every 400 ms, under a load of 1.5 times every rate. */
function runWithFaults(
  faultActions: readonly FaultAction[],
  seed: number,
  hash: HashFunction,
): Run {
  const document = testDocument({customers, serverCount: 6, floorServers: 3});
  const fleet = new SimulatedFleet({hostCount, document, hash, seed});
  fleet.run(startupMs);
  let version = 1;
  const nextVersion = (): number => (version += 1);
  const forMs = (faultActions.length + 20) * stepMs;
  for (const [index, {id, ratePerSecond}] of customers.entries()) {
    sendSteadyLoad(fleet, {
      customerId: id,
      perSecond: ratePerSecond * 1.5,
      forMs,
      seed: seed + index,
    });
  }
  const downgradedHostIds: string[] = [];
  const versions = new Map<object, number>();
  for (let step = 0; step < faultActions.length + 20; step += 1) {
    const action = faultActions[step];
    if (action !== undefined) {
      applyFault(fleet, action, nextVersion);
    }
    fleet.run(stepMs);
    for (const [id, fleetHost] of fleet.hosts) {
      const now = Number(fleetHost.status().configuration?.version ?? 0);
      if (now < (versions.get(fleetHost) ?? 0)) {
        downgradedHostIds.push(id);
      }
      versions.set(fleetHost, now);
    }
  }
  return {fleet, downgradedHostIds};
}

describe('invariants of the fleet under any sequence of faults', () => {
  let hash: HashFunction;

  before(async () => {
    hash = await loadXxHash();
  });

  it('admits at most burst + rate × window, and no host returns to an older document version', () => {
    const faultActions = fc.array(faultAction, {minLength: 1, maxLength: 25});
    fc.assert(
      fc.property(faultActions, fc.integer({min: 1, max: 1_000}), (generated, seed) => {
        const {fleet, downgradedHostIds} = runWithFaults(generated, seed, hash);
        expect(downgradedHostIds).to.deep.equal([]);
        for (const customer of customers) {
          const admittedAtMs = fleet.attempts
            .filter(({customerId, attempt}) => customerId === customer.id && attempt === 1)
            .map(({atMs}) => atMs);
          expect(worstExcess(customer, admittedAtMs)).to.be.at.most(roundingTokens);
        }
      }),
      {numRuns: 25, seed: 42},
    );
  }).timeout(60_000);

  it('computes the largest excess over all windows like a search of every window', () => {
    const moments = fc.array(fc.integer({min: 0, max: 5_000}), {minLength: 1, maxLength: 40});
    fc.assert(
      fc.property(moments, (generated) => {
        const atMs = [...generated].sort((one, other) => one - other);
        const customer = {ratePerSecond: 7, burstRequests: 5};
        let worst = Number.NEGATIVE_INFINITY;
        for (const [first, from] of atMs.entries()) {
          for (const [offset, to] of atMs.slice(first).entries()) {
            worst = Math.max(worst, offset + 1 - (5 + (7 * (to - from)) / 1_000));
          }
        }
        expect(worstExcess(customer, atMs)).to.be.closeTo(worst, 1e-9);
      }),
      {numRuns: 200, seed: 42},
    );
  });

  it('admits the whole burst and then the rate in the ideal token bucket', () => {
    const bucket = new IdealTokenBucket({ratePerSecond: 10, burstRequests: 5});
    let admitted = 0;
    for (let atMs = 0; atMs <= 1_000; atMs += 10) {
      admitted += bucket.tryConsume(atMs) ? 1 : 0;
    }
    expect(admitted).to.equal(15);
  });

  it('hashes equal texts to equal values', () => {
    expect(sha256('a')).to.equal(sha256('a'));
    expect(hash('a')).to.equal(hash('a'));
  });
});
