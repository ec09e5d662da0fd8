import {DEFAULT_FLEET_BOUNDS} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {loadXxHash} from '@godwitspring/proxy';
import {expect} from 'chai';
import {
  createGrayFailureFleet,
  sendRandomLoad,
  scheduleFailureCycles,
  summariseOutcomes,
  summariseRoute,
} from '../gray-failure/grayFailureSetup.ts';
import type {GrayFailureFleet} from '../gray-failure/grayFailureFleet.ts';

/** Time in which the hosts find each other and the servers, in ms. */
const startupMs = 8_000;
/** Time in which each server falls silent and recovers once, in ms. */
const cycleMs = 12_000;
/** Target latency of the routes of the test document, in ms. */
const targetMs = 800;

let hash: HashFunction;

describe('more load than the servers can handle', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  /** A fleet of 10 servers under a load that they cannot handle. */
  function runOverloaded(): GrayFailureFleet {
    const fleet = createGrayFailureFleet(hash, {
      seed: 6,
      backends: [{id: 'core', servers: 10}],
      errorShare: 0,
    });
    fleet.queue.runUntil(startupMs);
    const mix = {lookup: 30, payment: 70};
    sendRandomLoad(fleet, {
      forMs: 10_000,
      perSecond: 100,
      mix,
      customers: {large: 1, medium: 1, small: 1},
    });
    fleet.queue.runUntil(startupMs + 14_000);
    return fleet;
  }

  it('serves the route with the higher priority first', () => {
    const fleet = runOverloaded();
    const payments = summariseRoute(fleet, 'payment');
    const lookups = summariseRoute(fleet, 'lookup');
    expect(payments.servedShare).to.be.above(lookups.servedShare);
  });

  it('answers accepted requests within their target latency, and refuses the others early', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 6, backends: [{id: 'core', servers: 20}]});
    fleet.queue.runUntil(startupMs);
    scheduleFailureCycles(fleet, {mode: 'silent', share: 0.3, cycleMs, seed: 6});
    const mix = {lookup: 30, payment: 70};
    sendRandomLoad(fleet, {
      forMs: 10_000,
      perSecond: 180,
      mix,
      customers: {large: 5, medium: 3, small: 2},
    });
    fleet.queue.runUntil(startupMs + 14_000);
    const {servedShare, inTargetShare} = summariseOutcomes(fleet.outcomes);
    const refused = fleet.outcomes.filter(({refusal}) => refusal === 'overloaded');
    const durationsMs = refused
      .map((request) => request.durationMs)
      .sort((one, other) => one - other);
    expect(inTargetShare).to.be.above(0.55);
    expect(inTargetShare / servedShare).to.be.above(0.93);
    expect(durationsMs[Math.floor(durationsMs.length / 2)]).to.be.below(targetMs / 4);
    expect(durationsMs.at(-1)).to.be.below(targetMs);
  });

  it('does not send load to a server that fails immediately while the others are busy', () => {
    const fleet = createGrayFailureFleet(hash, {
      seed: 14,
      backends: [{id: 'core', servers: 12}],
      errorShare: 0,
    });
    fleet.queue.runUntil(startupMs);
    const [failing] = [...fleet.servers.values()];
    if (failing === undefined) {
      throw new Error('the fleet has no servers');
    }
    failing.mode = 'failing';
    failing.failAfterMs = 4;
    sendRandomLoad(fleet, {forMs: 10_000, perSecond: 110, mix: {lookup: 30, payment: 70}});
    fleet.queue.runUntil(startupMs + 13_000);
    const starts = fleet.attemptTimesMs.get(failing.id)?.length ?? 0;
    expect(starts).to.be.below(40);
  });

  it('uses servers of unknown state rather than refuse requests, even without a retry budget', () => {
    const bounds = {...DEFAULT_FLEET_BOUNDS, retryRatio: 0.001, retrySlack: 0};
    const fleet = createGrayFailureFleet(hash, {
      seed: 15,
      backends: [{id: 'core', servers: 14}],
      errorShare: 0,
      bounds,
    });
    fleet.queue.runUntil(startupMs);
    const servers = [...fleet.servers.values()];
    for (const server of servers.slice(3)) {
      server.mode = 'silent';
    }
    const mix = {lookup: 20, payment: 46};
    sendRandomLoad(fleet, {forMs: 16_000, perSecond: 80, mix});
    fleet.queue.runUntil(startupMs + 4_000);
    for (const server of servers) {
      server.mode = 'healthy';
    }
    fleet.queue.runUntil(startupMs + 18_000);
    const later = fleet.outcomes.filter(({arrivedAtMs}) => arrivedAtMs > startupMs + 8_000);
    expect(summariseOutcomes(later).servedShare).to.be.above(0.9);
  });

  it('sends no hedged attempt of a trivial request while a server is a little slow', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 16, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    sendRandomLoad(fleet, {
      forMs: 10_000,
      mix: {lookup: 10, payment: 46, check: 30},
      perSecond: 86,
    });
    fleet.queue.runUntil(startupMs + 13_000);
    const hedgedAttempts = fleet.logs.filter(
      ({event, fields}) => event === 'attempt.started' && Number(fields.beside) > 0,
    );
    const checks = new Set(
      fleet.logs
        .filter(({event, fields}) => event === 'request.delivering' && fields.route === 'check')
        .map(({fields}) => fields.requestName),
    );
    const hedgedChecks = hedgedAttempts.filter(({fields}) => checks.has(fields.requestName));
    expect(hedgedChecks.length).to.be.at.most(checks.size * 0.01);
  });

  it('refuses requests with a retry-after, and has not run them', () => {
    const fleet = runOverloaded();
    const refused = fleet.outcomes.filter(({refusal}) => refusal === 'overloaded');
    expect(refused.length).to.be.above(0);
    for (const {outcome, retryAfterMs} of refused) {
      expect(outcome).to.equal('not-run');
      expect(retryAfterMs).to.be.above(0);
    }
  });

  it('does not let a customer at many times its typical load displace a small one', () => {
    const fleet = createGrayFailureFleet(hash, {
      seed: 7,
      backends: [{id: 'core', servers: 10}],
      errorShare: 0,
    });
    fleet.queue.runUntil(startupMs);
    const mix = {payment: 1};
    sendRandomLoad(fleet, {forMs: 10_000, perSecond: 100, mix, customers: {large: 9, small: 1}});
    fleet.queue.runUntil(startupMs + 14_000);
    const small = summariseOutcomes(
      fleet.outcomes.filter(({customerId}) => customerId === 'small'),
    );
    expect(small.servedShare).to.be.above(0.9);
  });
});

describe('servers that shed or lose requests', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('keep receiving requests while all of them shed half', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 12, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    for (const server of fleet.servers.values()) {
      server.mode = 'shedding';
      server.affectedShare = 0.5;
    }
    sendRandomLoad(fleet, {forMs: 10_000});
    fleet.queue.runUntil(startupMs + 13_000);
    const {servedShare, unknownOutcomeShare} = summariseOutcomes(fleet.outcomes);
    expect(servedShare).to.be.above(0.55);
    expect(unknownOutcomeShare).to.be.below(0.01);
  });

  it('do not keep requests waiting while all are silent: they are refused at once', () => {
    const fleet = createGrayFailureFleet(hash, {seed: 13, errorShare: 0});
    fleet.queue.runUntil(startupMs);
    for (const server of fleet.servers.values()) {
      server.mode = 'silent';
      server.affectedShare = 1;
    }
    sendRandomLoad(fleet, {forMs: 8_000, mix: {payment: 1}});
    fleet.queue.runUntil(startupMs + 11_000);
    const refused = fleet.outcomes.filter(({refusal}) => refusal === 'no-server');
    expect(refused.length).to.be.above(fleet.outcomes.length / 3);
    for (const {outcome, retryAfterMs, durationMs} of refused) {
      expect(outcome).to.equal('not-run');
      expect(retryAfterMs).to.be.above(0);
      expect(durationMs).to.be.below(1_300);
    }
  });
});

describe('retries while most of the servers fail', () => {
  before(async () => {
    hash = await loadXxHash();
  });

  it('stay within the share of the requests that the fleet bounds allow', () => {
    const bounds = {
      ...DEFAULT_FLEET_BOUNDS,
      retryRatio: 0.2,
      retrySlack: 10,
      retryWindowMs: 10_000,
    };
    const fleet = createGrayFailureFleet(hash, {seed: 8, bounds});
    fleet.queue.runUntil(startupMs);
    for (const server of fleet.servers.values()) {
      server.mode = server.id.endsWith('1') ? 'healthy' : 'failing';
    }
    sendRandomLoad(fleet, {forMs: 10_000, mix: {lookup: 1}});
    fleet.queue.runUntil(startupMs + 10_000);
    const retries = fleet.logs.filter(
      ({event, fields}) => event === 'place.granted' && fields.isRepeat === true,
    );
    const requestCount = fleet.outcomes.length;
    expect(retries.length).to.be.at.most(requestCount * 0.2 + 10);
  });
});
