import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';

/** Time that the simulated fleet runs before the first request, so that the homes hold their shares, in ms. */
const warmUpMs = 20_000;
const customers = [{id: 'medium', ratePerSecond: 20, burstRequests: 40}];

/**
 * A home is the host that enforces the rates of some customers for the whole fleet. When it shuts down it hands the
 * saved tokens over to the next home; were they lost, customers that stay within their rates would be refused.
 */
describe("orderly replacement of a customer's home", () => {
  it('refuses at most one in two hundred requests of a customer within its rate', async () => {
    const document = testDocument({customers, serverCount: 60, floorServers: 40});
    const fleet = new SimulatedFleet({
      hostCount: 48,
      document,
      hash: await loadXxHash(),
      seed: 31,
      maxClockDrift: 0,
    });
    fleet.run(warmUpMs);
    // The host that is home of the most hash buckets, among them the bucket of the customer `medium`.
    let homeId = '';
    let mostBuckets = -1;
    for (const [id, host] of fleet.hosts) {
      const count = Object.keys(host.status().rateHome ?? {}).length;
      if (count > mostBuckets) {
        homeId = id;
        mostBuckets = count;
      }
    }
    sendSteadyLoad(fleet, {customerId: 'medium', perSecond: 18, forMs: 25_000, seed: 1});
    fleet.run(3_000);
    fleet.hosts.get(homeId)?.deliver({type: 'shutdownWanted'});
    fleet.run(1_000);
    fleet.crashHost(homeId);
    fleet.run(2_000);
    fleet.startHost(homeId);
    fleet.run(20_000);
    const refused = fleet.outcomes.filter(
      ({refusal}) => refusal === 'rate-limited' || refusal === 'allowance-unavailable',
    );
    expect(refused.length).to.be.at.most(0.005 * fleet.outcomes.length);
  });
});
