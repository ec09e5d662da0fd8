import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import type {GrayFailureFleet} from '../gray-failure/grayFailureFleet.ts';
import {
  keyDigestOf,
  sendRandomLoad,
  createGrayFailureFleet,
} from '../gray-failure/grayFailureSetup.ts';

/** Time in which the hosts find each other and the servers, in ms. */
const startupMs = 8_000;
/** Time for which a request that crashes servers is repeated, in ms. */
const repeatedForMs = 20_000;
/** Pause between two arrivals of such a request, in ms. */
const repeatIntervalMs = 300;
/** Crashes after which the fleet has to refuse the request. */
const maxCrashes = 3;
/** Time after the last of these crashes from which nearly no arrival is allowed, in ms: the users' `contact`. */
const detectionMs = 3_000;
/** Arrivals allowed from then on, by the users' rules. */
const maxLateArrivals = 3;
const poisonDigest = 'poison';

function startFleet(hash: HashFunction, seed: number): GrayFailureFleet {
  const fleet = createGrayFailureFleet(hash, {
    seed,
    hosts: 12,
    backends: [{id: 'core', servers: 24}],
  });
  fleet.queue.runUntil(startupMs);
  sendRandomLoad(fleet, {forMs: 30_000, seed, perSecond: 30, mix: {lookup: 20, payment: 10}});
  fleet.queue.runUntil(startupMs + 2_000);
  return fleet;
}

/** Sends the same request of one customer again and again, through random hosts. */
function repeatRequest(
  fleet: GrayFailureFleet,
  crash: 'loud' | 'silent' | undefined,
  hostId?: string,
): void {
  for (let afterMs = 0; afterMs < repeatedForMs; afterMs += repeatIntervalMs) {
    fleet.after(afterMs, () => {
      const to = hostId === undefined ? {} : {hostId};
      fleet.request('lookup', 'large', keyDigestOf('large'), {
        digest: poisonDigest,
        crash,
        ...to,
      });
    });
  }
}

/** Arrivals of the request at servers later than `detectionMs` after its third crash. */
function countLateArrivals({crashes, arrivals}: GrayFailureFleet): number {
  const crashesOfRequest = crashes.filter(({digest}) => digest === poisonDigest);
  const lastAllowed = crashesOfRequest[maxCrashes - 1];
  expect(lastAllowed, 'third crash').to.not.equal(undefined);
  const fromMs = (lastAllowed?.atMs ?? 0) + detectionMs;
  return arrivals.filter(({digest, atMs}) => digest === poisonDigest && atMs > fromMs).length;
}

/** Number of refusals of the repeated request as a poison request before any server got it. */
function countRefusedUnsent({outcomes}: GrayFailureFleet, customerId: string): number {
  return outcomes.filter(
    (one) =>
      one.digest === poisonDigest &&
      one.customerId === customerId &&
      one.refusal === 'request-crashes-servers' &&
      one.arrivals === 0,
  ).length;
}

describe('requests that crash servers', () => {
  let hash: HashFunction;

  before(async () => {
    hash = await loadXxHash();
  });

  for (const seed of [1, 2, 3]) {
    it(`are refused by every host soon after their third crash, with seed ${seed}`, () => {
      const fleet = startFleet(hash, seed);
      repeatRequest(fleet, 'loud');
      fleet.queue.runUntil(fleet.queue.nowMs + repeatedForMs);
      expect(countLateArrivals(fleet)).to.be.at.most(maxLateArrivals);
    });

    it(`are refused while hosts are killed in turn, with seed ${seed}`, () => {
      const fleet = startFleet(hash, seed);
      repeatRequest(fleet, 'loud');
      for (let number = 1; number <= 9; number += 1) {
        const id = fleet.hostId(number);
        fleet.after(number * 2_000 - 1_900, () => {
          fleet.crashHost(id);
        });
        fleet.after(number * 2_000 - 1_400, () => {
          fleet.startHost(number);
        });
      }
      fleet.queue.runUntil(fleet.queue.nowMs + repeatedForMs);
      expect(countLateArrivals(fleet)).to.be.at.most(maxLateArrivals);
    });

    it(`are refused where the servers fall silent instead of closing connections, with seed ${seed}`, () => {
      const fleet = startFleet(hash, seed);
      repeatRequest(fleet, 'silent');
      fleet.queue.runUntil(fleet.queue.nowMs + repeatedForMs);
      expect(countLateArrivals(fleet)).to.be.at.most(maxLateArrivals);
    });

    it(`are not taken for a frequent request under which data centres fail, with seed ${seed}`, () => {
      const fleet = startFleet(hash, seed);
      for (let afterMs = 0; afterMs < repeatedForMs; afterMs += 40) {
        fleet.after(afterMs, () => {
          fleet.request('lookup', 'large', keyDigestOf('large'), {digest: poisonDigest});
        });
      }
      for (const [wave, dataCentre] of ['dc-1', 'dc-2', 'dc-3', 'dc-1'].entries()) {
        fleet.after(1_000 + wave * 4_000, () => {
          const servers = [...fleet.servers.values()].filter(
            (server) => server.isUp && server.dataCentre === dataCentre,
          );
          for (const [index, {id}] of servers.entries()) {
            fleet.after(index * 40, () => {
              fleet.crashServer(id);
            });
          }
        });
      }
      fleet.queue.runUntil(fleet.queue.nowMs + repeatedForMs);
      const answered = fleet.outcomes.filter(
        ({digest, status}) => digest === poisonDigest && status === 200,
      );
      expect(answered.length).to.be.above(100);
      expect(countRefusedUnsent(fleet, 'large')).to.equal(0);
    });
  }

  it('are refused by a host that no longer reaches its peers', () => {
    const fleet = startFleet(hash, 5);
    const cutOffId = fleet.hostId(7);
    for (const id of fleet.hosts.keys()) {
      if (id !== cutOffId) {
        fleet.network.cut(id, cutOffId);
        fleet.network.cut(cutOffId, id);
      }
    }
    repeatRequest(fleet, 'loud', cutOffId);
    fleet.queue.runUntil(fleet.queue.nowMs + repeatedForMs);
    expect(countLateArrivals(fleet)).to.be.at.most(maxLateArrivals);
  });

  it('are not taken for a request of a host whose connections to servers are reset', () => {
    const fleet = startFleet(hash, 6);
    const resetId = fleet.hostId(7);
    for (const {id} of fleet.servers.values()) {
      fleet.resetPaths.add(`${resetId}>${id}`);
    }
    repeatRequest(fleet, undefined, resetId);
    fleet.queue.runUntil(fleet.queue.nowMs + 3_000);
    fleet.resetPaths.clear();
    fleet.queue.runUntil(fleet.queue.nowMs + repeatedForMs);
    const refusedAtOnce = fleet.outcomes.filter(
      ({refusal, durationMs}) => refusal === 'request-crashes-servers' && durationMs === 0,
    );
    expect(refusedAtOnce).to.deep.equal([]);
  });

  it('do not have an equal request of another customer refused', () => {
    const fleet = startFleet(hash, 4);
    repeatRequest(fleet, 'loud');
    fleet.after(10_000, () => {
      fleet.request('lookup', 'small', keyDigestOf('small'), {digest: poisonDigest});
    });
    fleet.queue.runUntil(fleet.queue.nowMs + repeatedForMs);
    expect(countLateArrivals(fleet)).to.be.at.most(maxLateArrivals + 1);
    expect(countRefusedUnsent(fleet, 'small')).to.equal(0);
  });
});
