import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {testDocument} from '../fleet/testDocument.ts';

/** Time that the fleet gets before the first request, in ms. */
const startupMs = 16_000;

describe('a request through a simulated fleet', () => {
  it('serves known customers and open routes, and refuses unknown keys and routes', async () => {
    const fleet = new SimulatedFleet({
      hostCount: 6,
      document: testDocument(),
      hash: await loadXxHash(),
      seed: 1,
    });
    fleet.run(startupMs);
    fleet.request('host-1', 'small');
    fleet.request('host-2', 'stranger');
    fleet.request('host-3', 'small', {path: '/none'});
    fleet.request('host-4', 'stranger', {path: '/estado'});
    fleet.run(1_000);
    const results = fleet.outcomes.map(({status, refusal}) => status ?? refusal);
    expect(results).to.have.members([200, 'key-unknown', 'no-route', 200]);
  });

  it('serves all requests of a customer at its rate of 2 requests/s over 48 hosts', async () => {
    const fleet = new SimulatedFleet({
      hostCount: 48,
      document: testDocument(),
      hash: await loadXxHash(),
      seed: 2,
    });
    fleet.run(startupMs);
    for (let index = 0; index < 40; index += 1) {
      fleet.after(index * 500, () => fleet.request(`host-${1 + ((index * 7) % 48)}`, 'small'));
    }
    fleet.run(21_000);
    expect(fleet.outcomes.filter(({status}) => status === 200)).to.have.length(40);
  });
});
