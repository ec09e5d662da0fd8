import fc from 'fast-check';
import {expect} from 'chai';
import {wholePermits} from '../allowance/wholePermits.ts';
import {responseTable} from '../errors/responseTable.ts';
import {errorKindSchema} from '../errors/errorKinds.ts';
import {FailureEvidence} from '../health/failureEvidence.ts';
import {HostListHistory} from '../membership/hostListHistory.ts';
import {PlatformClock} from '../membership/platformClock.ts';
import {RetryBudget} from '../request/retryBudget.ts';
import {FairQueue} from '../routing/fairQueue.ts';
import type {WaitingRequest} from '../routing/fairQueue.ts';
import {PowerOfTwoChoices} from '../routing/powerOfTwoChoices.ts';
import {SeededRandom} from '../random/seededRandom.ts';

/** A request that waits for a server. */
function waiting(requestId: number, customerId: string, expiresAtMs = 1_000): WaitingRequest {
  return {requestId, customerId, isRepeatable: true, excludedServerIds: [], expiresAtMs};
}

describe('whole permits', () => {
  it('of all homes together never exceed the limit', () => {
    const shares = fc.array(fc.integer({min: 0, max: 48}), {minLength: 1, maxLength: 6});
    fc.assert(
      fc.property(shares, fc.integer({min: 0, max: 40}), (parts, limit) => {
        const total = Math.max(
          48,
          parts.reduce((sum, part) => sum + part, 0),
        );
        const given = parts.map((part) => wholePermits(part / total, limit));
        expect(given.reduce((sum, count) => sum + count, 0)).to.be.at.most(limit);
      }),
      {numRuns: 2_000, seed: 42},
    );
  });

  it('are all available while one of 48 hosts is missing', () => {
    expect(wholePermits(47 / 48, 2)).to.equal(2);
  });
});

describe('fair queue', () => {
  it('serves customers in turn, however many requests one of them has in the queue', () => {
    const queue = new FairQueue();
    for (let index = 0; index < 20; index += 1) {
      queue.add(waiting(index, 'large'));
    }
    queue.add(waiting(100, 'small'));
    queue.add(waiting(101, 'small'));
    const order: string[] = [];
    for (let index = 0; index < 4; index += 1) {
      order.push(queue.dequeue(() => true)?.customerId ?? '');
    }
    expect(order).to.deep.equal(['large', 'small', 'large', 'small']);
  });

  it('drops a request of the customer with the most waiting requests when it is full', () => {
    const queue = new FairQueue({maxWaiting: 3});
    for (let index = 0; index < 3; index += 1) {
      queue.add(waiting(index, 'large'));
    }
    expect(queue.add(waiting(9, 'small'))?.customerId).to.equal('large');
    expect(queue.size).to.equal(3);
  });

  it('removes requests that have expired', () => {
    const queue = new FairQueue();
    queue.add(waiting(1, 'a', 100));
    queue.add(waiting(2, 'a', 300));
    expect(queue.removeExpired(200).map(({requestId}) => requestId)).to.deep.equal([1]);
  });
});

describe('failure evidence against a server', () => {
  it('reaches the threshold by failures, but never by the losses of a single host', () => {
    const failing = new FailureEvidence();
    const lost = new FailureEvidence();
    for (let index = 0; index < 20; index += 1) {
      failing.addReport('host-1', {good: 1, failed: 1, lost: 0}, 0);
      lost.addReport('host-1', {good: 0, failed: 0, lost: 5}, 0);
    }
    expect(failing.reachesThreshold(false)).to.equal(true);
    expect(lost.reachesThreshold(false)).to.equal(false);
    lost.addReport('host-2', {good: 0, failed: 0, lost: 5}, 0);
    expect(lost.reachesThreshold(false)).to.equal(true);
  });

  it('stays below the threshold at the baseline failure rate', () => {
    const evidence = new FailureEvidence();
    const random = new SeededRandom(3);
    for (let index = 0; index < 200_000; index += 1) {
      const failed = random.nextInt(200) === 0 ? 1 : 0;
      evidence.addReport('host-1', {good: 1 - failed, failed, lost: 0}, 0.005);
      expect(evidence.reachesThreshold(false)).to.equal(false);
    }
  });
});

describe('clock of the platform', () => {
  it('shows the lag of a platform whose clock stands still, without synchronised clocks', () => {
    const clock = new PlatformClock(0.0005);
    clock.recordReading(5_000, 100);
    expect(clock.lagMs(6_000, 1_100, 1_100)).to.be.at.most(2);
    clock.recordReading(6_000, 1_100);
    expect(clock.lagMs(6_000, 4_100, 4_100)).to.be.within(2_990, 3_000);
  });
});

describe('history of host lists', () => {
  const list = (version: number, ids: readonly string[]) => ({
    version,
    asOfMs: 0,
    hosts: ids.map((id) => ({id, dataCentre: 'd', peerAddress: 'a', state: 'live' as const})),
  });

  it('gives a settled host no share any more once it has missed a list in between', () => {
    const history = new HostListHistory('a', 1_000);
    history.adopt(list(1, ['a', 'b']), 0);
    history.adoptSettledLists([list(1, ['a', 'b'])]);
    expect(history.ownShare()).to.equal(0.5);
    history.adopt(list(3, ['a', 'b']), 10);
    expect(history.ownShare()).to.equal(0);
  });

  it('gives the least share under all lists that are still in force', () => {
    const history = new HostListHistory('a', 1_000);
    history.adoptSettledLists([list(1, ['a', 'b', 'c'])]);
    history.adopt(list(2, ['a', 'b']), 10);
    expect(history.ownShare()).to.equal(1 / 3);
  });

  it('gives no share to a host that an older list still in force does not name', () => {
    const history = new HostListHistory('c', 1_000);
    history.adoptSettledLists([list(1, ['a', 'b']), list(2, ['a', 'b', 'c'])]);
    expect(history.ownShare()).to.equal(0);
    history.adoptSettledLists([list(2, ['a', 'b', 'c'])]);
    expect(history.ownShare()).to.equal(1 / 3);
  });
});

describe('error responses, retry budget and load balancing', () => {
  it('use no status that promises "not executed" where the request may have run', () => {
    for (const [kind, {status, outcome}] of Object.entries(responseTable)) {
      if (outcome === 'unknown') {
        expect([421, 429, 503], kind).to.not.include(status);
      }
    }
  });

  it('define a response for every error kind', () => {
    for (const kind of errorKindSchema.options) {
      expect(responseTable[kind].status).to.be.within(400, 599);
    }
  });

  it('bound retries to a fraction of the requests', () => {
    const budget = new RetryBudget({retriesPerRequest: 0.1, maxRetries: 20, initialRetries: 0});
    let spent = 0;
    for (let index = 0; index < 1_000; index += 1) {
      budget.recordRequest();
      spent += budget.tryAcquireRetry() ? 1 : 0;
    }
    expect(spent).to.be.within(95, 100);
  });

  it('prefer the less loaded of two servers, unless its weight is low', () => {
    const policy = new PowerOfTwoChoices(new SeededRandom(1));
    const base = {origin: '', dataCentre: '', weight: 1, isTrial: false};
    const busy = {...base, serverId: 'busy', runningAttempts: 1};
    const free = {...base, serverId: 'free', runningAttempts: 0};
    expect(policy.select([busy, free])?.serverId).to.equal('free');
    const lowWeight = {...free, serverId: 'low-weight', weight: 0.05};
    expect(policy.select([busy, lowWeight])?.serverId).to.equal('busy');
  });
});
