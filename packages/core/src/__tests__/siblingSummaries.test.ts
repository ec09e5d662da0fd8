import {expect} from 'chai';
import type {PlaceSummary} from '../messages/peerMessages.ts';
import {leavingCostMs} from '../placement/leavingCost.ts';
import {RecentOutcomes} from '../placement/recentOutcomes.ts';
import {SiblingSummaries, expectedWaitMs} from '../placement/siblingSummaries.ts';

function summary(dataCentre: string, fields: Partial<PlaceSummary> = {}): PlaceSummary {
  return {
    type: 'placeSummary',
    backendId: 'b',
    dataCentre,
    freeSlots: 0,
    usableSlots: 40,
    waitingByPriority: [],
    oldestWaitMs: 0,
    failed: 0,
    turnedAway: 0,
    ended: 0,
    overdue: 0,
    served: [],
    ...fields,
  };
}

const request = {localWaitMs: 20, priority: 1, durationMs: 200, bodyBytes: 0};

describe('SiblingSummaries', () => {
  it('chooses the sibling with the most free slots, less what was forwarded to it since', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2', {freeSlots: 6}), 0);
    siblings.record('h-3', summary('dc-3', {freeSlots: 5}), 0);
    // Its own home serves it sooner than the queue of a sibling, but later than a free slot.
    const shortWait = {...request, localWaitMs: 10};
    const chosen = Array.from({length: 10}, () => siblings.choose(shortWait, 10));
    // Two slots of each sibling, a twentieth of its usable ones, are left for its own requests.
    expect(chosen.filter((scope) => scope === 'dc-2')).to.have.length(4);
    expect(chosen.filter((scope) => scope === 'dc-3')).to.have.length(3);
    expect(chosen.slice(0, 2)).to.deep.equal(['dc-2', 'dc-2']);
    expect(siblings.hasFreeSlots(10)).to.equal(false);
    siblings.record('h-2', summary('dc-2', {freeSlots: 6}), 200);
    expect(siblings.choose(shortWait, 210)).to.equal('dc-2');
  });

  it('counts a summary of more than a second as absent', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2', {freeSlots: 9, failed: 4, ended: 5, overdue: 1}), 0);
    expect(siblings.outcomes(1_000)).to.include({failed: 4, ended: 5, overdue: 1});
    expect(siblings.choose(request, 1_001)).to.equal(undefined);
    expect(siblings.outcomes(1_001)).to.include({failed: 0, ended: 0, overdue: 0});
    expect(siblings.senderOf('dc-2', 1_001)).to.equal(undefined);
  });

  it('reports once that a sibling became silent, and once that it is heard again', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2'), 0);
    expect(siblings.takeChanges(100)).to.deep.equal([]);
    expect(siblings.takeChanges(1_100)).to.deep.equal([{dataCentre: 'dc-2', isAbsent: true}]);
    expect(siblings.takeChanges(1_300)).to.deep.equal([]);
    siblings.record('h-2', summary('dc-2'), 1_400);
    expect(siblings.takeChanges(1_500)).to.deep.equal([{dataCentre: 'dc-2', isAbsent: false}]);
  });

  it('forwards to a queue only where the own wait is longer by more than two round trips', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2', {waitingByPriority: [[1, 1]]}), 0);
    // Two requests ahead of 40 slots, 200 ms each: 10 ms.
    expect(siblings.choose({...request, localWaitMs: 15}, 1)).to.equal(undefined);
    expect(siblings.choose({...request, localWaitMs: 17}, 1)).to.equal('dc-2');
  });

  it('forwards a request without any usable server, but not to a home without one either', () => {
    const siblings = new SiblingSummaries('dc-1');
    const stranded = {...request, localWaitMs: Number.POSITIVE_INFINITY, bodyBytes: 10_000_000};
    siblings.record('h-2', summary('dc-2', {usableSlots: 0}), 0);
    expect(siblings.choose(stranded, 1)).to.equal(undefined);
    siblings.record('h-2', summary('dc-2', {waitingByPriority: [[0, 100]]}), 0);
    expect(siblings.choose(stranded, 1)).to.equal('dc-2');
  });

  it('keeps a large body where the wait is short', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2', {freeSlots: 20}), 0);
    expect(siblings.choose({...request, bodyBytes: 60_000}, 1)).to.equal(undefined);
    const longWait = {...request, bodyBytes: 60_000, localWaitMs: 70};
    expect(siblings.choose(longWait, 1)).to.equal('dc-2');
  });

  it('prefers the home that serves requests to an idle one of the same data centre', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('busy', summary('dc-2', {freeSlots: 3}), 0);
    expect(siblings.record('idle', summary('dc-2', {isReply: true}), 100)).to.equal(false);
    expect(siblings.senderOf('dc-2', 100)).to.equal('busy');
    expect(siblings.record('idle', summary('dc-2', {isReply: true}), 1_500)).to.equal(true);
    expect(siblings.record('other', summary('dc-1'), 100)).to.equal(false);
  });
});

describe('SiblingSummaries for a request that its home would place on a risky server', () => {
  const risky = {risk: 0.2, failedShare: 0, bodyBytes: 0};

  it('chooses the sibling whose free servers are likeliest to succeed', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2', {freeSlots: 5, freeRisk: 0.1}), 0);
    siblings.record('h-3', summary('dc-3', {freeSlots: 5, freeRisk: 0.05}), 0);
    expect(siblings.chooseSafer(risky, 1)).to.equal('dc-3');
    expect(siblings.chooseSafer({...risky, risk: 0.09}, 1)).to.equal(undefined);
    expect(siblings.chooseSafer({...risky, bodyBytes: 10_000_000}, 1)).to.equal('dc-3');
    expect(siblings.chooseSafer({...risky, risk: 0.15, bodyBytes: 60_000}, 1)).to.equal(undefined);
  });

  it('stays at a home whose siblings fail as much, or have no free slot', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2', {freeSlots: 9, freeRisk: 0, failed: 5, ended: 20}), 0);
    siblings.record('h-3', summary('dc-3'), 0);
    expect(siblings.chooseSafer(risky, 1)).to.equal(undefined);
  });

  it('leaves a home that fails more often than the risk of its servers suggests', () => {
    const siblings = new SiblingSummaries('dc-1');
    siblings.record('h-2', summary('dc-2', {freeSlots: 9, freeRisk: 0.01, ended: 20}), 0);
    const misjudged = {risk: 0.02, failedShare: 0.3, bodyBytes: 0};
    expect(siblings.chooseSafer(misjudged, 1)).to.equal('dc-2');
    expect(siblings.chooseSafer({...misjudged, failedShare: 0.03}, 1)).to.equal(undefined);
  });
});

describe('the expected wait at a home', () => {
  it('counts the waiting requests of the same and of more urgent classes', () => {
    const load = {
      usableSlots: 20,
      waitingByPriority: [
        [0, 4],
        [1, 5],
        [2, 90],
      ] as const,
    };
    expect(expectedWaitMs(load, 1, 200)).to.equal(100);
    expect(expectedWaitMs({...load, usableSlots: 0}, 1, 200)).to.equal(Number.POSITIVE_INFINITY);
  });
});

describe('leavingCostMs', () => {
  it('is one round trip for a free slot, and two for a short queue', () => {
    expect(leavingCostMs(0, 0)).to.equal(3);
    expect(leavingCostMs(10, 0)).to.equal(6);
  });

  it('grows with a long queue, as the wait there varies', () => {
    expect(leavingCostMs(400, 0)).to.equal(100);
  });

  it('grows with the body up to a bound', () => {
    expect(leavingCostMs(0, 60_000)).to.equal(63);
    expect(leavingCostMs(0, 10_000_000)).to.equal(83);
  });
});

describe('figures of a home among others of its backend', () => {
  it('count what the others do not serve in the unserved share', () => {
    const outcomes = new RecentOutcomes();
    for (let count = 0; count < 10; count += 1) {
      outcomes.record('ok', 0);
    }
    expect(outcomes.unservedShare(0)).to.equal(0);
    const others = {failed: 3, turnedAway: 1, ended: 8, overdue: 1};
    expect(outcomes.unservedShare(0, others)).to.equal(5 / 20);
    expect(outcomes.figures(2, 0)).to.include({failed: 0, ended: 10, overdue: 2});
  });
});
