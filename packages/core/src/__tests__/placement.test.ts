import {expect} from 'chai';
import {createPlaceAsk} from './__fixtures__/createPlaceAsk.ts';
import type {PlacementCandidate, PlacementContext} from '../placement/placementPolicy.ts';
import {ServerRisk} from '../placement/serverRisk.ts';
import {LowestRiskPolicy} from '../placement/lowestRiskPolicy.ts';
import {FloorPolicy} from '../placement/floorPolicy.ts';
import {NewServerPolicy} from '../placement/newServerPolicy.ts';
import {TrialPolicy} from '../placement/trialPolicy.ts';
import {PlacementQueue} from '../placement/placementQueue.ts';
import {DurationHistogram} from '../placement/durationHistogram.ts';

/** Share of the responses that take longer than an age, for an exponential distribution with a mean of 200 ms. */
const typicalShareAbove = (_routeId: string, ageMs: number): number => Math.exp(-ageMs / 200);

function attempt(startedAtMs: number): {hostId: string; routeId: string; startedAtMs: number} {
  return {hostId: 'h', routeId: 'r', startedAtMs};
}

function candidate(serverId: string, fields: Partial<PlacementCandidate>): PlacementCandidate {
  return {
    serverId,
    risk: 0.01,
    running: 0,
    recentStarts: 0,
    lastStartMs: 0,
    isConnected: false,
    isLocal: false,
    newForMs: undefined,
    ...fields,
  };
}

const context: PlacementContext = {
  nowMs: 10_000,
  serverCount: 8,
  failedShare: 0,
  hasSpareRetries: true,
  bodyBytes: 0,
  isRepeatable: true,
  unservedShare: 0,
  usedHealthyShare: () => 1,
};

describe('ServerRisk', () => {
  it('rises while an attempt runs longer than typical, long before it times out', () => {
    const serverRisk = new ServerRisk();
    serverRisk.start('a', attempt(0));
    serverRisk.recordOutcome(attempt(0), 'ok', 100, typicalShareAbove);
    serverRisk.end('a');
    serverRisk.start('b', attempt(200));
    expect(serverRisk.risk(250, typicalShareAbove)).to.be.below(0.05);
    expect(serverRisk.risk(1_200, typicalShareAbove)).to.be.above(0.4);
  });

  it('is not cleared by the late success of an attempt that started before a failed one', () => {
    const serverRisk = new ServerRisk();
    serverRisk.recordOutcome(attempt(500), 'timeout', 1_500, typicalShareAbove);
    const riskAfterTimeout = serverRisk.risk(1_500, typicalShareAbove);
    expect(riskAfterTimeout).to.be.above(0.9);
    serverRisk.recordOutcome(attempt(100), 'ok', 1_600, typicalShareAbove);
    expect(serverRisk.risk(1_600, typicalShareAbove)).to.be.above(0.03);
  });

  it('falls again with time, so that the server is tried again', () => {
    const serverRisk = new ServerRisk();
    serverRisk.recordOutcome(attempt(0), 'timeout', 1_000, typicalShareAbove);
    expect(serverRisk.risk(2_000, typicalShareAbove)).to.be.above(0.85);
    expect(serverRisk.risk(9_000, typicalShareAbove)).to.be.below(0.7);
  });

  it('rises sharply once two hosts cannot reach the server, but not when only one cannot', () => {
    const serverRisk = new ServerRisk();
    serverRisk.recordOutcome({...attempt(0), hostId: 'one'}, 'ok', 100, typicalShareAbove);
    serverRisk.recordOutcome(
      {...attempt(200), hostId: 'one'},
      'unreachable',
      300,
      typicalShareAbove,
    );
    expect(serverRisk.risk(310, typicalShareAbove)).to.be.below(0.1);
    serverRisk.recordOutcome(
      {...attempt(200), hostId: 'two'},
      'unreachable',
      320,
      typicalShareAbove,
    );
    expect(serverRisk.risk(330, typicalShareAbove)).to.be.above(0.7);
  });

  it('does not count a cancelled start against the rate of the server', () => {
    const serverRisk = new ServerRisk();
    serverRisk.start('a', attempt(100));
    serverRisk.start('b', attempt(120));
    serverRisk.cancelStart(100);
    expect(serverRisk.startsInSecond(200)).to.equal(1);
  });

  it('makes a host avoid a server that was silent to it, but not other hosts', () => {
    const serverRisk = new ServerRisk();
    serverRisk.recordOutcome(attempt(0), 'timeout', 1_000, typicalShareAbove);
    expect(serverRisk.isAvoidedBy('h', 2_000)).to.equal(true);
    expect(serverRisk.isAvoidedBy('other', 2_000)).to.equal(false);
  });
});

describe('placement policies', () => {
  it('select the server with the lowest risk for a request that must not be retried', () => {
    const chosen = new LowestRiskPolicy().select(
      [candidate('a', {risk: 0.3}), candidate('b', {risk: 0.02}), candidate('c', {risk: 0.1})],
      context,
    );
    expect(chosen?.serverId).to.equal('b');
  });

  it('spread attempts over the servers while many attempts fail', () => {
    const candidates = [
      candidate('a', {risk: 0.01, recentStarts: 5}),
      candidate('b', {risk: 0.05, recentStarts: 0}),
    ];
    const policy = new LowestRiskPolicy();
    expect(policy.select(candidates, context)?.serverId).to.equal('a');
    expect(policy.select(candidates, {...context, failedShare: 0.2})?.serverId).to.equal('b');
  });

  // Guards against slow servers that are used like fast ones, and against speed that outweighs the risk of silence.
  it('prefer a faster server among safe ones as far as the target latency is short', () => {
    const policy = new LowestRiskPolicy();
    const slow = candidate('slow', {risk: 0.01, speedFactor: 2});
    const fast = candidate('fast', {risk: 0.04, speedFactor: 1});
    const risky = candidate('risky', {risk: 0.06, speedFactor: 0.2});
    const short = {...context, slownessWeight: 0.4};
    expect(policy.select([slow, fast], short)?.serverId).to.equal('fast');
    expect(policy.select([slow, fast], {...context, slownessWeight: 0.01})?.serverId).to.equal(
      'slow',
    );
    expect(policy.select([slow, fast], context)?.serverId).to.equal('slow');
    expect(policy.select([slow, risky], short)?.serverId).to.equal('slow');
  });

  it('keep a large body within the data centre unless it is likelier to fail there', () => {
    const large = {...context, bodyBytes: 60_000};
    const remote = candidate('remote', {risk: 0.01, isConnected: true});
    const policy = new LowestRiskPolicy();
    const near = (risk: number): PlacementCandidate => candidate('near', {risk, isLocal: true});
    expect(policy.select([remote, near(0.03)], context)?.serverId).to.equal('remote');
    expect(policy.select([remote, near(0.03)], large)?.serverId).to.equal('near');
    expect(policy.select([remote, near(0.2)], large)?.serverId).to.equal('remote');
  });

  it('send a retryable request to a server of unknown state while few were recently successful', () => {
    const candidates = [candidate('a', {risk: 0.01}), candidate('b', {risk: 0.25})];
    const policy = new TrialPolicy();
    expect(policy.select(candidates, context)?.serverId).to.equal('b');
  });

  it('prefer servers with an open connection for trial requests while few were recently successful', () => {
    const candidates = [
      candidate('a', {risk: 0.25, lastStartMs: 1_000}),
      candidate('b', {risk: 0.25, lastStartMs: 5_000, isConnected: true}),
    ];
    const policy = new TrialPolicy();
    expect(policy.select(candidates, context)?.serverId).to.equal('b');
  });

  it('send no trial requests while the retry budget is nearly used up', () => {
    const candidates = [candidate('a', {risk: 0.01}), candidate('b', {risk: 0.25})];
    const policy = new TrialPolicy();
    const chosen = policy.select(candidates, {...context, hasSpareRetries: false});
    expect(chosen).to.equal(undefined);
  });
});

describe('NewServerPolicy', () => {
  const policy = new NewServerPolicy();

  it('sends a retryable request to a new server at once, and any other after a while', () => {
    const candidates = [candidate('proven', {}), candidate('new', {newForMs: 10, risk: 0.25})];
    expect(policy.select(candidates, context)?.serverId).to.equal('new');
    expect(policy.select(candidates, {...context, isRepeatable: false})).to.equal(undefined);
    const later = [candidate('proven', {}), candidate('new', {newForMs: 900, risk: 0.25})];
    expect(policy.select(later, {...context, isRepeatable: false})?.serverId).to.equal('new');
  });

  it('selects nothing while no server is new', () => {
    expect(policy.select([candidate('proven', {})], context)).to.equal(undefined);
  });
});

describe('FloorPolicy', () => {
  const policy = new FloorPolicy();
  const candidates = [
    candidate('proven', {lastStartMs: 9_900}),
    candidate('unknown', {risk: 0.25, lastStartMs: 8_000}),
    candidate('suspect', {risk: 0.8, lastStartMs: 1_000}),
  ];

  it('selects a healthy server without a recent start while requests fail and few servers are used', () => {
    const failing = {...context, unservedShare: 0.12, usedHealthyShare: () => 0.5};
    expect(policy.select(candidates, failing)?.serverId).to.equal('unknown');
  });

  it('selects nothing while requests are served, or while enough healthy servers are used', () => {
    const served = {...context, unservedShare: 0.02, usedHealthyShare: () => 0.2};
    expect(policy.select(candidates, served)).to.equal(undefined);
    const used = {...context, unservedShare: 0.12, usedHealthyShare: () => 0.9};
    expect(policy.select(candidates, used)).to.equal(undefined);
  });
});

describe('statistics of a home', () => {
  it('estimates the durations of a route from its samples', () => {
    const times = new DurationHistogram(250);
    for (let count = 0; count < 300; count += 1) {
      times.record(100);
    }
    expect(times.quantileMs(0.5)).to.be.within(90, 125);
    expect(times.shareAbove(400)).to.be.below(0.05);
  });

  it('serves the most urgent request first, then the customer that was served least', () => {
    const queue = new PlacementQueue();
    const enqueue = (
      key: string,
      customerId: string,
      priority: number,
      arrivedAtMs: number,
    ): void => {
      const query = createPlaceAsk({customerId, priority});
      queue.add(key, {
        entryHost: {hostId: 'h', dataCentre: 'dc'},
        query,
        arrivedAtMs,
        congestedDeadlineMs: 5_000,
        expiresAtMs: 5_000,
      });
    };
    queue.recordServed('large', 0);
    enqueue('large-early', 'large', 1, 10);
    enqueue('small', 'small', 1, 20);
    enqueue('urgent', 'large', 0, 30);
    const order = [...queue.inOrder(40)].map(([key]) => key);
    expect(order).to.deep.equal(['urgent', 'small', 'large-early']);
  });
});
