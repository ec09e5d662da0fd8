import {DEFAULT_FLEET_BOUNDS, customerDuty, rankHosts} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {loadXxHash} from '@godwitspring/proxy';
import {expect} from 'chai';
import {grayDocument, grayFleet, grayKey, grayLoad} from '../gray/grayDays.ts';
import type {GrayFleet} from '../gray/grayFleet.ts';

const settleMs = 8_000;
let hash: HashFunction;

function versions(fleet: GrayFleet): number[] {
  return [...fleet.hosts.values()]
    .filter(({isUp}) => isUp)
    .map((host) => Number(host.status().registry?.version));
}

function readers(fleet: GrayFleet): number {
  return [...fleet.hosts.values()].filter((host) => host.status().registry?.isReader === true)
    .length;
}

describe('a fleet whose hosts find each other', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('knows every host and the registry within eight seconds of its start', () => {
    const fleet = grayFleet(hash);
    fleet.queue.runUntil(settleMs);
    for (const host of fleet.hosts.values()) {
      expect(host.status().roster?.live).to.have.length(fleet.hosts.size);
      expect(host.status().registry?.version).to.equal(1);
    }
  });

  it('lets a few hosts read the registry for all', () => {
    const fleet = grayFleet(hash);
    fleet.queue.runUntil(settleMs);
    expect(readers(fleet)).to.be.at.most(6);
  });

  it('has a new version in force everywhere within a second', () => {
    const fleet = grayFleet(hash);
    fleet.queue.runUntil(settleMs);
    fleet.publish([{kind: 'document', document: grayDocument(2)}]);
    fleet.queue.runUntil(settleMs + 1_000);
    expect(new Set(versions(fleet))).to.deep.equal(new Set([2]));
  });

  it('has a new version in force everywhere though all readers die with it', () => {
    const fleet = grayFleet(hash);
    fleet.queue.runUntil(settleMs);
    for (const [id, host] of fleet.hosts) {
      if (host.status().registry?.source === id) {
        fleet.crashHost(id);
      }
    }
    fleet.publish([{kind: 'document', document: grayDocument(2)}]);
    fleet.queue.runUntil(settleMs + 2_000);
    expect(new Set(versions(fleet))).to.deep.equal(new Set([2]));
  });

  it('stops work for customers when no word of the registry is fresh, and takes it up again', () => {
    const fleet = grayFleet(hash);
    fleet.queue.runUntil(settleMs);
    fleet.isRegistryUp = false;
    fleet.queue.runUntil(settleMs + 5_000);
    const before = fleet.outcomes.length;
    fleet.request('lookup', 'small', grayKey('small'));
    fleet.queue.runUntil(settleMs + 5_100);
    expect(fleet.outcomes[before]).to.include({refusal: 'host-not-current', outcome: 'not-run'});
    fleet.isRegistryUp = true;
    fleet.queue.runUntil(settleMs + 8_000);
    fleet.request('lookup', 'small', grayKey('small'));
    fleet.queue.runUntil(settleMs + 10_000);
    expect(fleet.outcomes.at(-1)?.status).to.equal(200);
  });

  it('sends nothing to a server that drains or to a data centre that is out', () => {
    const fleet = grayFleet(hash);
    fleet.queue.runUntil(settleMs);
    const [drained] = [...fleet.servers.values()];
    if (drained === undefined) {
      throw new Error('the fleet has no servers');
    }
    const entry = {...fleet.entryOf(drained, 'draining'), revision: 10};
    fleet.publish([
      {kind: 'server', server: entry},
      {kind: 'dataCentreOut', dataCentre: 'dc-2'},
    ]);
    fleet.queue.runUntil(settleMs + 1_000);
    const startsBefore = fleet.startsMs.size;
    grayLoad(fleet, {forMs: 5_000});
    fleet.queue.runUntil(settleMs + 8_000);
    expect(startsBefore).to.equal(0);
    expect(fleet.startsMs.has(drained.id)).to.equal(false);
    for (const serverId of fleet.startsMs.keys()) {
      expect(fleet.servers.get(serverId)?.dataCentre).to.not.equal('dc-2');
    }
  });

  it('learns of a host that starts again and gives it work', () => {
    const fleet = grayFleet(hash);
    fleet.queue.runUntil(settleMs);
    fleet.crashHost(fleet.hostId(5));
    fleet.queue.runUntil(settleMs + 2_000);
    fleet.startHost(5);
    fleet.queue.runUntil(settleMs + 4_000);
    fleet.request('lookup', 'small', grayKey('small'), fleet.hostId(5));
    fleet.queue.runUntil(settleMs + 6_000);
    expect(fleet.outcomes.at(-1)).to.include({status: 200, hostId: fleet.hostId(5)});
  });
});

describe("a customer's rate over the fleet", () => {
  before(async () => {
    hash = await loadXxHash();
  });

  const boundPerWindow = (60 * 5 + 60) * 1.25;

  function admittedInWorstWindow(fleet: GrayFleet): number {
    const admitted = fleet.outcomes
      .filter(({refusal}) => refusal !== 'rate-limited')
      .map(({arrivedAtMs}) => arrivedAtMs);
    return mostInWindow(admitted);
  }

  function mostInWindow(momentsMs: readonly number[]): number {
    const sorted = [...momentsMs].sort((one, other) => one - other);
    let worst = 0;
    for (const [index, startMs] of sorted.entries()) {
      const inWindow = sorted.slice(index).filter((other) => other < startMs + 5_000).length;
      worst = Math.max(worst, inWindow);
    }
    return worst;
  }

  it('holds while a third of the hosts does not hear the others', () => {
    const fleet = grayFleet(hash, {seed: 9, errorShare: 0});
    fleet.queue.runUntil(settleMs);
    for (const [fromId, from] of fleet.hosts) {
      for (const [toId, to] of fleet.hosts) {
        if ((from.dataCentre === 'dc-1') !== (to.dataCentre === 'dc-1')) {
          fleet.link.cut(fromId, toId);
        }
      }
    }
    grayLoad(fleet, {forMs: 12_000, perSecond: 150, mix: {lookup: 1}, customers: {large: 1}});
    fleet.queue.runUntil(settleMs + 15_000);
    expect(admittedInWorstWindow(fleet)).to.be.at.most(boundPerWindow);
  });

  /** Start of the hosts that are there from the beginning, in ms. */
  const firstBornMs = 1_000_000;

  /** Hosts in the order in which they count the requests of a customer. */
  function homesOf(fleet: GrayFleet, customerId: string): string[] {
    const live = [...fleet.hosts.values()].map(({id, dataCentre}) => ({
      hostId: id,
      dataCentre,
      bornMs: firstBornMs,
    }));
    return rankHosts(customerDuty(customerId), live, hash).map(({hostId}) => hostId);
  }

  /** Requests that reach servers in the worst window around the loss of some hosts at a bad moment. */
  function worstAround(seed: number, lose: (fleet: GrayFleet, homes: string[]) => void): number {
    const fleet = grayFleet(hash, {seed, errorShare: 0});
    fleet.queue.runUntil(settleMs);
    grayLoad(fleet, {forMs: 12_000, perSecond: 150, mix: {payment: 1}, customers: {large: 1}});
    fleet.queue.runUntil(settleMs + 2_600);
    lose(fleet, homesOf(fleet, 'large'));
    fleet.queue.runUntil(settleMs + 15_000);
    return mostInWindow([...fleet.startsMs.values()].flat());
  }

  const seeds = [21, 22, 23, 24];
  const mostRun = boundPerWindow + DEFAULT_FLEET_BOUNDS.rateSlack;

  it('holds when the host that counts dies without a word', () => {
    for (const seed of seeds) {
      const worst = worstAround(seed, (fleet, [first = '']) => {
        fleet.crashHost(first);
      });
      expect(worst, `seed ${seed}`).to.be.at.most(mostRun);
    }
  });

  it('holds when a data centre dies without a word, with the host that counts', () => {
    for (const seed of seeds) {
      const worst = worstAround(seed, (fleet, [first = '']) => {
        const dataCentre = fleet.hosts.get(first)?.dataCentre;
        for (const host of fleet.hosts.values()) {
          if (host.dataCentre === dataCentre) {
            fleet.crashHost(host.id);
          }
        }
      });
      expect(worst, `seed ${seed}`).to.be.at.most(mostRun);
    }
  });

  it('holds when half of the processes are killed, the one that counts among them', () => {
    for (const seed of seeds) {
      const worst = worstAround(seed, (fleet, homes) => {
        const killed = homes.filter((_, index) => index === 0 || index % 2 === 1);
        for (const hostId of killed) {
          fleet.crashHost(hostId);
        }
        // A host whose process is gone refuses connections at once.
        for (const host of fleet.hosts.values()) {
          for (const hostId of killed) {
            host.tell({type: 'peerAbsent', hostId});
          }
        }
      });
      expect(worst, `seed ${seed}`).to.be.at.most(mostRun);
    }
  });

  it('holds when all hosts lose power at once and come back', () => {
    for (const seed of seeds) {
      const fleet = grayFleet(hash, {seed, errorShare: 0});
      fleet.queue.runUntil(settleMs);
      grayLoad(fleet, {forMs: 14_000, perSecond: 200, mix: {payment: 1}, customers: {large: 1}});
      fleet.queue.runUntil(settleMs + 6_500);
      const count = fleet.hosts.size;
      for (const hostId of fleet.hosts.keys()) {
        fleet.crashHost(hostId);
      }
      fleet.queue.runUntil(settleMs + 7_500);
      for (let number = 1; number <= count; number += 1) {
        fleet.startHost(number);
      }
      fleet.queue.runUntil(settleMs + 17_000);
      const startsMs = [...fleet.startsMs.values()].flat();
      expect(mostInWindow(startsMs), `seed ${seed}`).to.be.at.most(mostRun);
    }
  });

  it('explains each refusal by what the home counted', () => {
    const fleet = grayFleet(hash, {seed: 25, errorShare: 0});
    fleet.queue.runUntil(settleMs);
    grayLoad(fleet, {forMs: 5_000, perSecond: 150, mix: {lookup: 1}, customers: {large: 1}});
    fleet.queue.runUntil(settleMs + 8_000);
    const limited = fleet.outcomes.filter(({refusal}) => refusal === 'rate-limited');
    const explained = fleet.logs.filter(({event}) => event === 'quota.refused');
    expect(limited.length).to.be.above(100);
    expect(explained.length).to.equal(limited.length);
    for (const {fields} of explained) {
      expect(fields).to.include({customerId: 'large', ratePerSecond: 60, windowMs: 5_000});
      expect(fields.requestName).to.match(/^\d+$/);
      expect(fields.admitted).to.be.at.least(360);
    }
  });

  it('is given whole while the fleet is whole', () => {
    const fleet = grayFleet(hash, {seed: 10, errorShare: 0});
    fleet.queue.runUntil(settleMs);
    grayLoad(fleet, {forMs: 12_000, perSecond: 55, mix: {lookup: 1}, customers: {large: 1}});
    fleet.queue.runUntil(settleMs + 15_000);
    const limited = fleet.outcomes.filter(({refusal}) => refusal === 'rate-limited');
    expect(limited.length).to.equal(0);
  });
});
