import {DEFAULT_FLEET_BOUNDS} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {loadXxHash} from '@godwitspring/proxy';
import {expect} from 'chai';
import {grayFleet, grayLoad, grayTurns, summarise, summariseRoute} from '../gray/grayDays.ts';
import type {GrayFleet} from '../gray/grayFleet.ts';

const settleMs = 8_000;
const cycleMs = 12_000;
/** Target of the routes of the gray document, in ms. */
const targetMs = 800;

let hash: HashFunction;

describe('more work than the servers bear', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  function overload(): GrayFleet {
    const fleet = grayFleet(hash, {seed: 6, backends: [{id: 'core', servers: 10}], errorShare: 0});
    fleet.queue.runUntil(settleMs);
    const mix = {lookup: 30, payment: 70};
    grayLoad(fleet, {
      forMs: 10_000,
      perSecond: 100,
      mix,
      customers: {large: 1, medium: 1, small: 1},
    });
    fleet.queue.runUntil(settleMs + 14_000);
    return fleet;
  }

  it('serves the urgent route first', () => {
    const fleet = overload();
    const payments = summariseRoute(fleet, 'payment');
    const lookups = summariseRoute(fleet, 'lookup');
    expect(payments.servedShare).to.be.above(lookups.servedShare);
  });

  it('answers in time whom it answers, and refuses the rest long before their time is over', () => {
    const fleet = grayFleet(hash, {seed: 6, backends: [{id: 'core', servers: 20}]});
    fleet.queue.runUntil(settleMs);
    grayTurns(fleet, {mode: 'silent', share: 0.3, cycleMs, seed: 6});
    const mix = {lookup: 30, payment: 70};
    grayLoad(fleet, {
      forMs: 10_000,
      perSecond: 180,
      mix,
      customers: {large: 5, medium: 3, small: 2},
    });
    fleet.queue.runUntil(settleMs + 14_000);
    const {servedShare, inTargetShare} = summarise(fleet.outcomes);
    const refused = fleet.outcomes.filter(({refusal}) => refusal === 'overloaded');
    const tookMs = refused.map((request) => request.tookMs).sort((one, other) => one - other);
    expect(inTargetShare).to.be.above(0.55);
    expect(inTargetShare / servedShare).to.be.above(0.93);
    expect(tookMs[Math.floor(tookMs.length / 2)]).to.be.below(targetMs / 4);
    expect(tookMs.at(-1)).to.be.below(targetMs);
  });

  it('does not feed a server that fails at once while the others are busy', () => {
    const fleet = grayFleet(hash, {seed: 14, backends: [{id: 'core', servers: 12}], errorShare: 0});
    fleet.queue.runUntil(settleMs);
    const [failing] = [...fleet.servers.values()];
    if (failing === undefined) {
      throw new Error('the fleet has no servers');
    }
    failing.mode = 'failing';
    failing.failsInMs = 4;
    grayLoad(fleet, {forMs: 10_000, perSecond: 110, mix: {lookup: 30, payment: 70}});
    fleet.queue.runUntil(settleMs + 13_000);
    const fed = fleet.startsMs.get(failing.id)?.length ?? 0;
    expect(fed).to.be.below(40);
  });

  it('uses servers of which little is known rather than refuse, also without repeats to spare', () => {
    const bounds = {...DEFAULT_FLEET_BOUNDS, retryRatio: 0.001, retrySlack: 0};
    const fleet = grayFleet(hash, {
      seed: 15,
      backends: [{id: 'core', servers: 14}],
      errorShare: 0,
      bounds,
    });
    fleet.queue.runUntil(settleMs);
    const servers = [...fleet.servers.values()];
    for (const server of servers.slice(3)) {
      server.mode = 'silent';
    }
    const mix = {lookup: 20, payment: 46};
    grayLoad(fleet, {forMs: 16_000, perSecond: 80, mix});
    fleet.queue.runUntil(settleMs + 4_000);
    for (const server of servers) {
      server.mode = 'well';
    }
    fleet.queue.runUntil(settleMs + 18_000);
    const later = fleet.outcomes.filter(({arrivedAtMs}) => arrivedAtMs > settleMs + 8_000);
    expect(summarise(later).servedShare).to.be.above(0.9);
  });

  it('sends no second attempt of a request without work while a server is a little slow', () => {
    const fleet = grayFleet(hash, {seed: 16, errorShare: 0});
    fleet.queue.runUntil(settleMs);
    grayLoad(fleet, {forMs: 10_000, mix: {lookup: 10, payment: 46, check: 30}, perSecond: 86});
    fleet.queue.runUntil(settleMs + 13_000);
    const seconds = fleet.logs.filter(
      ({event, fields}) => event === 'attempt.started' && Number(fields.beside) > 0,
    );
    const checks = new Set(
      fleet.logs
        .filter(({event, fields}) => event === 'request.delivering' && fields.route === 'check')
        .map(({fields}) => fields.requestName),
    );
    const ofChecks = seconds.filter(({fields}) => checks.has(fields.requestName));
    expect(ofChecks.length).to.be.at.most(checks.size * 0.01);
  });

  it('refuses with a wait, and truly', () => {
    const fleet = overload();
    const refused = fleet.outcomes.filter(({refusal}) => refusal === 'overloaded');
    expect(refused.length).to.be.above(0);
    for (const {outcome, retryAfterMs} of refused) {
      expect(outcome).to.equal('not-run');
      expect(retryAfterMs).to.be.above(0);
    }
  });

  it('does not let one customer at many times its usual push out a small one', () => {
    const fleet = grayFleet(hash, {seed: 7, backends: [{id: 'core', servers: 10}], errorShare: 0});
    fleet.queue.runUntil(settleMs);
    const mix = {payment: 1};
    grayLoad(fleet, {forMs: 10_000, perSecond: 100, mix, customers: {large: 9, small: 1}});
    fleet.queue.runUntil(settleMs + 14_000);
    const small = summarise(fleet.outcomes.filter(({customerId}) => customerId === 'small'));
    expect(small.servedShare).to.be.above(0.9);
  });
});

describe('servers that reject part of their work', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('go on getting work when all of them do so', () => {
    const fleet = grayFleet(hash, {seed: 12, errorShare: 0});
    fleet.queue.runUntil(settleMs);
    for (const server of fleet.servers.values()) {
      server.mode = 'shedding';
      server.spoiledShare = 0.5;
    }
    grayLoad(fleet, {forMs: 10_000});
    fleet.queue.runUntil(settleMs + 13_000);
    const {servedShare, doubtfulShare} = summarise(fleet.outcomes);
    expect(servedShare).to.be.above(0.55);
    expect(doubtfulShare).to.be.below(0.01);
  });

  it('do not keep work waiting when all are silent: it is refused at once', () => {
    const fleet = grayFleet(hash, {seed: 13, errorShare: 0});
    fleet.queue.runUntil(settleMs);
    for (const server of fleet.servers.values()) {
      server.mode = 'silent';
      server.spoiledShare = 1;
    }
    grayLoad(fleet, {forMs: 8_000, mix: {payment: 1}});
    fleet.queue.runUntil(settleMs + 11_000);
    const refused = fleet.outcomes.filter(({refusal}) => refusal === 'no-server');
    expect(refused.length).to.be.above(fleet.outcomes.length / 3);
    for (const {outcome, retryAfterMs, tookMs} of refused) {
      expect(outcome).to.equal('not-run');
      expect(retryAfterMs).to.be.above(0);
      expect(tookMs).to.be.below(1_300);
    }
  });
});

describe('repeats while half of the servers fail', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('stay within the share of the requests that operators allow', () => {
    const bounds = {
      ...DEFAULT_FLEET_BOUNDS,
      retryRatio: 0.2,
      retrySlack: 10,
      retryWindowMs: 10_000,
    };
    const fleet = grayFleet(hash, {seed: 8, bounds});
    fleet.queue.runUntil(settleMs);
    for (const server of fleet.servers.values()) {
      server.mode = server.id.endsWith('1') ? 'well' : 'failing';
    }
    grayLoad(fleet, {forMs: 10_000, mix: {lookup: 1}});
    fleet.queue.runUntil(settleMs + 10_000);
    const repeats = fleet.logs.filter(
      ({event, fields}) => event === 'place.granted' && fields.isRepeat === true,
    );
    const asked = fleet.outcomes.length;
    expect(repeats.length).to.be.at.most(asked * 0.2 + 10);
  });
});
