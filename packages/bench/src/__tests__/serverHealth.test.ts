import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import type {HashFunction} from '@godwitspring/core';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';

/** Time in which a new fleet becomes fully operational before a test starts, in ms. */
const startupMs = 16_000;
const document = testDocument({
  customers: [{id: 'large', ratePerSecond: 1_000, burstRequests: 1_000}],
});

/** Server and moment of each log entry with an event name. */
function eventsOf(fleet: SimulatedFleet, event: string): {serverId: string; atMs: number}[] {
  return fleet.logs
    .filter((log) => log.event === event)
    .map(({fields, atMs}) => ({serverId: String(fields.serverId), atMs}));
}

describe('health of backend servers', () => {
  let hash: HashFunction;

  before(async () => {
    hash = await loadXxHash();
  });

  it('ejects a server that fails half of its real requests within 3 s, while its probes pass', () => {
    const fleet = new SimulatedFleet({hostCount: 12, document, hash, seed: 5});
    fleet.run(startupMs);
    sendSteadyLoad(fleet, {customerId: 'large', perSecond: 300, forMs: 20_000});
    fleet.run(5_000);
    const failingFromMs = fleet.queue.nowMs;
    const server = fleet.servers.get('nucleo-3');
    Object.assign(server?.behaviour ?? {}, {failureShare: 0.5});
    fleet.run(15_000);
    const ejected = eventsOf(fleet, 'health.ejected');
    expect(ejected[0]?.serverId).to.equal('nucleo-3');
    expect((ejected[0]?.atMs ?? Infinity) - failingFromMs).to.be.at.most(3_000);
    expect(ejected.filter(({serverId}) => serverId !== 'nucleo-3')).to.be.empty;
  });

  it('never ejects servers below the floor, however many are faulty', () => {
    const fleet = new SimulatedFleet({hostCount: 12, document, hash, seed: 6});
    fleet.run(startupMs);
    for (let index = 1; index <= 25; index += 1) {
      Object.assign(fleet.servers.get(`nucleo-${index}`)?.behaviour ?? {}, {failureShare: 0.9});
    }
    sendSteadyLoad(fleet, {customerId: 'large', perSecond: 300, forMs: 20_000});
    for (let second = 0; second < 20; second += 1) {
      fleet.run(1_000);
      for (const host of fleet.hosts.values()) {
        const {nucleo} = host.status().serverHealth ?? {};
        const out = (nucleo as {out?: number} | undefined)?.out ?? 0;
        expect(out).to.be.at.most(10);
      }
    }
  });

  it('keeps the ejections of both sides of a network partition together within the floor', () => {
    const fleet = new SimulatedFleet({hostCount: 12, document, hash, seed: 7});
    fleet.run(startupMs);
    const hostIds = [...fleet.hosts.keys()];
    const left = hostIds.slice(0, 5);
    const right = hostIds.slice(5);
    for (const one of left) {
      for (const other of right) {
        fleet.network.cut(one, other);
        fleet.network.cut(other, one);
      }
    }
    fleet.run(6_000);
    for (let index = 1; index <= 30; index += 1) {
      Object.assign(fleet.servers.get(`nucleo-${index}`)?.behaviour ?? {}, {
        failureShare: index % 3 === 0 ? 0 : 0.9,
      });
    }
    sendSteadyLoad(fleet, {
      customerId: 'large',
      perSecond: 150,
      forMs: 20_000,
      hostIds: left,
      seed: 1,
    });
    sendSteadyLoad(fleet, {
      customerId: 'large',
      perSecond: 150,
      forMs: 20_000,
      hostIds: right,
      seed: 2,
    });
    for (let step = 0; step < 100; step += 1) {
      fleet.run(200);
      let out = 0;
      for (const host of fleet.hosts.values()) {
        const {nucleo} = host.status().serverHealth ?? {};
        out += (nucleo as {out?: number} | undefined)?.out ?? 0;
      }
      expect(out).to.be.at.most(10);
    }
    expect(eventsOf(fleet, 'health.ejected')).to.not.be.empty;
  });

  it('returns a recovered server to service once, through trial requests and a slow start', () => {
    const fleet = new SimulatedFleet({hostCount: 12, document, hash, seed: 8});
    fleet.run(startupMs);
    sendSteadyLoad(fleet, {customerId: 'large', perSecond: 300, forMs: 60_000});
    Object.assign(fleet.servers.get('nucleo-3')?.behaviour ?? {}, {failureShare: 1});
    fleet.run(4_000);
    Object.assign(fleet.servers.get('nucleo-3')?.behaviour ?? {}, {failureShare: 0});
    fleet.run(40_000);
    const returned = eventsOf(fleet, 'health.inService').filter(
      ({serverId}) => serverId === 'nucleo-3',
    );
    expect(returned).to.have.length(1);
    expect(eventsOf(fleet, 'health.ejected')).to.have.length(1);
  });

  it('sends a new server no more than one request at a time in the first half of its slow start', () => {
    const fleet = new SimulatedFleet({hostCount: 12, document, hash, seed: 9});
    fleet.run(startupMs);
    sendSteadyLoad(fleet, {customerId: 'large', perSecond: 300, forMs: 20_000});
    const drained = testDocument({...document, version: 2, customers: document.customers});
    const [server] = drained.backends[0]?.servers ?? [];
    Object.assign(server ?? {}, {state: 'draining'});
    fleet.publish(drained);
    fleet.run(4_000);
    fleet.publish(testDocument({version: 3, customers: document.customers}));
    let maxRunning = 0;
    for (let step = 0; step < 1_000; step += 1) {
      fleet.run(5);
      maxRunning = Math.max(maxRunning, fleet.servers.get('nucleo-1')?.running ?? 0);
    }
    expect(maxRunning).to.equal(1);
  });

  it('ejects at most one server because of a caller whose requests fail everywhere', () => {
    const fleet = new SimulatedFleet({hostCount: 12, document, hash, seed: 10});
    fleet.run(startupMs);
    for (const server of fleet.servers.values()) {
      server.behaviour.failureShare = 0.9;
    }
    sendSteadyLoad(fleet, {customerId: 'large', perSecond: 200, forMs: 10_000});
    fleet.run(11_000);
    expect(eventsOf(fleet, 'health.ejected').length).to.be.at.most(1);
  });
});
