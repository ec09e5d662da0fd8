import type {HashFunction} from '@godwitspring/core';
import {loadXxHash} from '@godwitspring/proxy';
import {expect} from 'chai';
import type {GrayFailureFleet} from '../gray-failure/grayFailureFleet.ts';
import {startLoadedFleet} from '../gray-failure/grayFailureSetup.ts';

/** Time that hosts have to notice that they are cut off, in ms; operators set it. */
const noticeMs = 3_000;
const cutMs = 10_000;
/** Least share of the requests served at hosts that are cut off, as a part of that at the others. */
const minServedRatio = 2 / 3;
/** Requests that may fail at hosts that are cut off: a number, and a share of all requests. */
const tolerance = {requests: 10, share: 1 / 50};

let hash: HashFunction;

/** How a cut shows: connections hang, or they are refused and reset. */
type CutKind = 'silent' | 'refused';

/** Cuts hosts off from all servers; all other paths stay. */
function cutOff(fleet: GrayFailureFleet, hostIds: readonly string[], kind: CutKind): void {
  for (const hostId of hostIds) {
    for (const serverId of fleet.servers.keys()) {
      (kind === 'silent' ? fleet.silentPaths : fleet.refusedPaths).add(`${hostId}>${serverId}`);
    }
  }
}

function heal(fleet: GrayFailureFleet): void {
  fleet.silentPaths.clear();
  fleet.refusedPaths.clear();
}

/** Checks what the operators ask of hosts that are cut off, on the requests that arrived from a moment on. */
function expectServed(fleet: GrayFailureFleet, cutIds: ReadonlySet<string>, fromMs: number): void {
  const results = fleet.outcomes.filter(({arrivedAtMs}) => arrivedAtMs >= fromMs);
  const atCut = results.filter(({hostId}) => cutIds.has(hostId));
  const atOthers = results.filter(({hostId}) => !cutIds.has(hostId));
  const servedShare = (some: typeof results): number =>
    some.filter(({status}) => status === 200).length / Math.max(1, some.length);
  const failed = atCut.filter(({status}) => status !== 200).length;
  const allowed = tolerance.requests + tolerance.share * results.length;
  expect(atCut.length).to.be.above(100);
  expect(servedShare(atCut)).to.be.at.least(servedShare(atOthers) * minServedRatio);
  expect(failed).to.be.at.most(allowed);
}

describe('hosts that are cut off from all servers', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  for (const kind of ['silent', 'refused'] as const) {
    for (const seed of [1, 2, 3]) {
      it(`serve their requests through other hosts (a data centre, ${kind}, seed ${seed})`, () => {
        const fleet = startLoadedFleet(hash, seed);
        const cutIds = [...fleet.hosts.values()]
          .filter(({dataCentre}) => dataCentre === 'dc-1')
          .map(({id}) => id);
        cutOff(fleet, cutIds, kind);
        const cutAtMs = fleet.queue.nowMs;
        fleet.queue.runUntil(cutAtMs + cutMs);
        expectServed(fleet, new Set(cutIds), cutAtMs + noticeMs);
      });
    }
  }

  it('serve their requests through the rest where two data centres are cut off', () => {
    const fleet = startLoadedFleet(hash, 4);
    const cutIds = [...fleet.hosts.values()]
      .filter(({dataCentre}) => dataCentre !== 'dc-1')
      .map(({id}) => id);
    cutOff(fleet, cutIds, 'refused');
    const cutAtMs = fleet.queue.nowMs;
    fleet.queue.runUntil(cutAtMs + cutMs);
    expectServed(fleet, new Set(cutIds), cutAtMs + noticeMs);
  });

  it('send their requests themselves again within two seconds of the end of the cut', () => {
    const fleet = startLoadedFleet(hash, 5);
    const cutIds = [...fleet.hosts.keys()].slice(0, 8);
    cutOff(fleet, cutIds, 'silent');
    fleet.queue.runUntil(fleet.queue.nowMs + 6_000);
    heal(fleet);
    const healedAtMs = fleet.queue.nowMs;
    fleet.queue.runUntil(healedAtMs + 2_000);
    const reached = fleet.logs.filter(
      ({event, atMs}) => event === 'servers.reached' && atMs >= healedAtMs,
    );
    const stillCutOff = fleet.logs.filter(
      ({event, hostId, atMs}) =>
        event === 'servers.cutOff' &&
        !fleet.logs.some(
          (later) =>
            later.event === 'servers.reached' && later.hostId === hostId && later.atMs > atMs,
        ),
    );
    expect(reached).to.not.deep.equal([]);
    expect(stillCutOff).to.deep.equal([]);
  });
});
