import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import {MemoryFleet, poisonPath} from '../fleet/memoryFleet.ts';
import {testDocument} from '../fleet/testDocument.ts';

const keepMs = 5_000;
const settleMs = 20_000;
const payment = {path: '/pagos', method: 'POST'};

function runsOf(fleet: MemoryFleet, runName: string): number {
  let runs = 0;
  for (const server of fleet.servers.values()) {
    runs += server.runsByRequest.get(runName) ?? 0;
  }
  return runs;
}

function outcomeOf(fleet: MemoryFleet, name: string): string | number | undefined {
  const outcome = fleet.outcomes.find((one) => one.name === name);
  return outcome?.status ?? outcome?.refusal;
}

describe('repeats of a request', () => {
  let hash: HashFunction;
  let fleet: MemoryFleet;

  before(async () => {
    hash = await loadXxHash();
  });

  beforeEach(() => {
    fleet = new MemoryFleet({
      hostCount: 9,
      document: testDocument(),
      hash,
      seed: 11,
      core: () => ({keeper: {keepMs}}),
    });
    fleet.run(settleMs);
  });

  it('gives the first answer to a repeat through another host', () => {
    const first = fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k1'});
    fleet.run(1_000);
    const second = fleet.request('host-5', 'large', {...payment, idempotencyKey: 'k1'});
    fleet.run(1_000);
    expect(outcomeOf(fleet, first)).to.equal(200);
    expect(outcomeOf(fleet, second)).to.equal(200);
    expect(runsOf(fleet, 'large/k1')).to.equal(1);
  });

  it('runs one of two that arrive at once through different hosts', () => {
    fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k2'});
    fleet.request('host-6', 'large', {...payment, idempotencyKey: 'k2'});
    fleet.run(2_000);
    expect(runsOf(fleet, 'large/k2')).to.be.at.most(1);
  });

  it('does not run a repeat after the hosts that know were replaced', () => {
    fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k3'});
    fleet.run(500);
    for (const id of ['host-2', 'host-3', 'host-4', 'host-5']) {
      fleet.crashHost(id);
      fleet.startHost(id);
    }
    for (let tries = 0; tries < 8; tries += 1) {
      fleet.run(500);
      fleet.request(`host-${1 + tries}`, 'large', {...payment, idempotencyKey: 'k3'});
    }
    fleet.run(2_000);
    expect(runsOf(fleet, 'large/k3')).to.equal(1);
  });

  it('refuses a repeat truthfully on the side of a split that cannot know', () => {
    fleet.request('host-1', 'large', {...payment, idempotencyKey: 'k4'});
    fleet.run(500);
    for (const one of fleet.hosts.keys()) {
      if (one !== 'host-9') {
        fleet.link.cut(one, 'host-9');
        fleet.link.cut('host-9', one);
      }
    }
    const repeat = fleet.request('host-9', 'large', {...payment, idempotencyKey: 'k4'});
    fleet.run(3_000);
    expect(outcomeOf(fleet, repeat)).to.equal('repeat-unknown');
    expect(runsOf(fleet, 'large/k4')).to.equal(1);
  });

  it('goes on with a common request when a data centre dies under many of it', () => {
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

  it('stops a request that crashes servers everywhere after two crashes, without blaming a server', () => {
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
