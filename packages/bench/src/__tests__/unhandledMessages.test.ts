import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet, poisonPath} from '../fleet/simulatedFleet.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {createGrayFailureFleet, keyDigestOf} from '../gray-failure/grayFailureSetup.ts';

/** Types of the messages that no task of their host received. */
function unhandledTypes(
  logs: readonly {event: string; fields: Record<string, unknown>}[],
): unknown[] {
  return logs.filter(({event}) => event === 'message.unhandled').map(({fields}) => fields.type);
}

// Reports of crashed servers and claims of idempotency keys once had no receiver in one of the two cores.
describe('messages between the tasks of a host', () => {
  let hash: HashFunction;

  before(async () => {
    hash = await loadXxHash();
  });

  it('all have a receiver in a fleet with a published host list', () => {
    const fleet = new SimulatedFleet({hostCount: 3, document: testDocument(), hash, seed: 1});
    fleet.run(20_000);
    fleet.request('host-1', 'large');
    fleet.request('host-1', 'large', {path: poisonPath});
    fleet.request('host-2', 'large', {path: '/pagos', method: 'POST', idempotencyKey: 'k'});
    fleet.run(3_000);
    fleet.request('host-3', 'large', {path: poisonPath});
    fleet.run(3_000);
    expect(fleet.outcomes.length).to.equal(4);
    expect(unhandledTypes(fleet.logs)).to.deep.equal([]);
  });

  it('all have a receiver in a fleet whose hosts discover each other', () => {
    const fleet = createGrayFailureFleet(hash, {hosts: 3, backends: [{id: 'core', servers: 9}]});
    const keyDigest = keyDigestOf('large');
    fleet.queue.runUntil(8_000);
    fleet.request('lookup', 'large', keyDigest);
    fleet.request('lookup', 'large', keyDigest, {digest: 'loud', crash: 'loud'});
    fleet.request('lookup', 'large', keyDigest, {digest: 'silent', crash: 'silent'});
    fleet.queue.runUntil(12_000);
    const outcomesBefore = fleet.outcomes.length;
    fleet.request('payment', 'large', keyDigest, {idempotencyKey: 'k'});
    fleet.queue.runUntil(12_010);
    const [claimed] = fleet.outcomes.slice(outcomesBefore);
    expect(claimed?.refusal).to.equal('repeat-unknown');
    expect(unhandledTypes(fleet.logs)).to.deep.equal([]);
  });
});
