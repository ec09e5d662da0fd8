import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import {MemoryFleet} from '../fleet/memoryFleet.ts';
import {steadyLoad} from '../fleet/steadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';

const settleMs = 20_000;
const customers = [{id: 'medium', ratePerSecond: 20, burstRequests: 40}];

describe('a home that is replaced in order', () => {
  it('costs its customers at most one request in two hundred', async () => {
    const document = testDocument({customers, serverCount: 60, floorServers: 40});
    const fleet = new MemoryFleet({
      hostCount: 48,
      document,
      hash: await loadXxHash(),
      seed: 31,
      maxClockDrift: 0,
    });
    fleet.run(settleMs);
    let homeId = '';
    let most = -1;
    for (const [id, host] of fleet.hosts) {
      const count = Object.keys(host.status().rateHome ?? {}).length;
      if (count > most) {
        homeId = id;
        most = count;
      }
    }
    steadyLoad(fleet, {customerId: 'medium', perSecond: 18, forMs: 25_000, seed: 1});
    fleet.run(3_000);
    fleet.hosts.get(homeId)?.tell({type: 'shutdownWanted'});
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
