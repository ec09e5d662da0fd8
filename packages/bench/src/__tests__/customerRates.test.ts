import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {worstExcess} from '../oracles/worstExcess.ts';

/** Time that the simulated fleet runs before the first request, so that the homes hold their shares, in ms. */
const warmUpMs = 16_000;
const document = testDocument();

/** Moments at which first attempts of a customer's requests reached the servers, in ms. */
function admissionTimesMs(fleet: SimulatedFleet, customerId: string): number[] {
  return fleet.attempts
    .filter((sent) => sent.customerId === customerId && sent.attempt === 1)
    .map(({atMs}) => atMs);
}

/** Checks that no customer was admitted more requests than its rate and burst allow, in any span of time. */
function expectRatesKept(fleet: SimulatedFleet): void {
  for (const customer of document.customers) {
    expect(worstExcess(customer, admissionTimesMs(fleet, customer.id)), customer.id).to.be.at.most(
      1e-6,
    );
  }
}

/** Sends requests of one customer at even intervals through different hosts in turn. */
function sendEvenly(
  fleet: SimulatedFleet,
  customerId: string,
  perSecond: number,
  forMs: number,
): void {
  const hostIds = [...fleet.hosts.keys()];
  const count = Math.floor((forMs * perSecond) / 1_000);
  for (let index = 0; index < count; index += 1) {
    fleet.after((index * 1_000) / perSecond, () => {
      fleet.request(hostIds[(index * 7) % hostIds.length] ?? '', customerId);
    });
  }
}

/**
 * The fleet must neither admit more of a customer's requests than its rate and burst allow, however many hosts they
 * arrive through, nor withhold a part of the rate. The home is the host that enforces a customer's rate for the fleet.
 */
describe('customer rates over the whole fleet', () => {
  let hash: HashFunction;

  before(async () => {
    hash = await loadXxHash();
  });

  it('refuses requests above the rate and goes on serving at a single host, which is its own home', () => {
    const fleet = new SimulatedFleet({hostCount: 1, document, hash, seed: 3});
    fleet.run(warmUpMs);
    sendEvenly(fleet, 'small', 20, 10_000);
    fleet.run(11_000);
    const answered = fleet.outcomes.filter(({status}) => status === 200);
    expect(answered.length).to.be.within(20, 24);
    expectRatesKept(fleet);
  });

  it('admits nearly the whole rate and no more when five times the rate arrives through 48 hosts', () => {
    const fleet = new SimulatedFleet({hostCount: 48, document, hash, seed: 4});
    fleet.run(warmUpMs);
    sendEvenly(fleet, 'medium', 100, 10_000);
    fleet.run(11_000);
    const answered = fleet.outcomes.filter(({status}) => status === 200);
    expect(answered.length).to.be.within(0.98 * 240, 240);
    expectRatesKept(fleet);
  });
});
