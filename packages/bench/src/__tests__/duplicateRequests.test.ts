import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet, poisonPath} from '../fleet/simulatedFleet.ts';
import {testDocument} from '../fleet/testDocument.ts';

/** Time for which idempotency keys are stored, in ms. */
const keepMs = 5_000;
/** Time before a test starts, in ms; longer than `keepMs`, before which replicas abstain. */
const startupMs = 20_000;
const payment = {path: '/pagos', method: 'POST'};

/** Number of times that a request ran, over all servers. */
function countRuns(fleet: SimulatedFleet, runName: string): number {
  let runs = 0;
  for (const server of fleet.servers.values()) {
    runs += server.runsByRequest.get(runName) ?? 0;
  }
  return runs;
}

/** Status of the response to a request, or the kind of its refusal. */
function outcomeOf(fleet: SimulatedFleet, name: string): string | number | undefined {
  const outcome = fleet.outcomes.find((one) => one.name === name);
  return outcome?.status ?? outcome?.refusal;
}

describe('duplicates of a request', () => {
  let hash: HashFunction;
  let fleet: SimulatedFleet;

  before(async () => {
    hash = await loadXxHash();
  });

  beforeEach(() => {
    fleet = new SimulatedFleet({
      hostCount: 9,
      document: testDocument(),
      hash,
      seed: 11,
      core: () => ({idempotencyReplica: {keepMs}}),
    });
    fleet.run(startupMs);
  });

  it('replays the first response to a duplicate that arrives at another host', () => {
    const first = fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k1'});
    fleet.run(1_000);
    const second = fleet.request('host-5', 'large', {...payment, idempotencyKey: 'k1'});
    fleet.run(1_000);
    expect(outcomeOf(fleet, first)).to.equal(200);
    expect(outcomeOf(fleet, second)).to.equal(200);
    expect(countRuns(fleet, 'large/k1')).to.equal(1);
  });

  it('runs at most one of two duplicates that arrive at once at different hosts', () => {
    fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k2'});
    fleet.request('host-6', 'large', {...payment, idempotencyKey: 'k2'});
    fleet.run(2_000);
    expect(countRuns(fleet, 'large/k2')).to.be.at.most(1);
  });

  it('does not run a duplicate after four of nine hosts were restarted', () => {
    fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k3'});
    fleet.run(500);
    for (const id of ['host-2', 'host-3', 'host-4', 'host-5']) {
      fleet.crashHost(id);
      fleet.startHost(id);
    }
    for (let index = 0; index < 8; index += 1) {
      fleet.run(500);
      fleet.request(`host-${1 + index}`, 'large', {...payment, idempotencyKey: 'k3'});
    }
    fleet.run(2_000);
    expect(countRuns(fleet, 'large/k3')).to.equal(1);
  });

  it('refuses a duplicate with an unknown outcome at a host that is cut off from the replicas', () => {
    fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k4'});
    fleet.run(500);
    for (const one of fleet.hosts.keys()) {
      if (one !== 'host-9') {
        fleet.network.cut(one, 'host-9');
        fleet.network.cut('host-9', one);
      }
    }
    const duplicate = fleet.request('host-9', 'large', {...payment, idempotencyKey: 'k4'});
    fleet.run(3_000);
    expect(outcomeOf(fleet, duplicate)).to.equal('repeat-unknown');
    expect(countRuns(fleet, 'large/k4')).to.equal(1);
  });

  it('does not block a frequent request after a data centre failed while it ran there many times', () => {
    for (let turn = 0; turn < 60; turn += 1) {
      fleet.after(turn * 5, () => fleet.request(`host-${1 + (turn % 9)}`, 'large'));
    }
    fleet.after(150, () => {
      for (const [index, server] of [...fleet.servers.values()].entries()) {
        if (index % 3 === 1) {
          server.crash(60_000);
        }
      }
    });
    fleet.run(3_000);
    const later = fleet.request('host-2', 'large');
    fleet.run(1_000);
    expect(outcomeOf(fleet, later)).to.equal(200);
  });

  it('blocks a poison request after it crashed two servers, without ejecting a server', () => {
    const first = fleet.request('host-1', 'large', {path: poisonPath});
    fleet.run(1_000);
    for (let host = 2; host <= 9; host += 1) {
      fleet.request(`host-${host}`, 'large', {path: poisonPath});
      fleet.run(100);
    }
    fleet.run(1_000);
    expect(outcomeOf(fleet, first)).to.equal('request-crashes-servers');
    expect(fleet.attempts.filter(({name}) => name === first)).to.have.length(2);
    expect(fleet.attempts).to.have.length(2);
    expect(fleet.logs.filter(({event}) => event === 'health.ejected')).to.be.empty;
  });
});
