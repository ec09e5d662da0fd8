import {expect} from 'chai';
import {RetryTokenBucket} from '../placement/retryTokenBucket.ts';
import type {RetryTokenBucketOptions} from '../placement/retryTokenBucket.ts';
import {SeededRandom} from '../random/seededRandom.ts';

const windowMs = 10_000;

/** Sends requests to a bucket, one each `intervalMs`, until a time; every host in turn. */
function sendRequests(
  bucket: RetryTokenBucket,
  {fromMs = 0, untilMs, intervalMs, hosts = 1}: SteadyRequests,
): void {
  for (let atMs = fromMs; atMs < untilMs; atMs += intervalMs) {
    bucket.recordRequest(`h-${(atMs / intervalMs) % hosts}`, atMs);
  }
}

interface SteadyRequests {
  readonly fromMs?: number;
  readonly untilMs: number;
  readonly intervalMs: number;
  readonly hosts?: number;
}

/** Takes all retries that a bucket holds; returns their number. */
function takeAll(bucket: RetryTokenBucket): number {
  let taken = 0;
  while (bucket.hasRoom) {
    bucket.recordRetry();
    taken += 1;
  }
  return taken;
}

describe('the retry budget of one home', () => {
  it('holds a share of the requests and no more than its part of the slack', () => {
    const bucket = new RetryTokenBucket({windowMs, ratio: 0.2, slack: 40});
    expect(bucket.hasRoom).to.equal(false);
    sendRequests(bucket, {untilMs: 20, intervalMs: 1});
    expect(takeAll(bucket)).to.equal(5);
    expect(bucket.usedShare()).to.equal(1);
    sendRequests(bucket, {fromMs: 20, untilMs: 1_000, intervalMs: 1});
    expect(takeAll(bucket)).to.equal(10);
  });

  it('allows one retry that it does not hold, and none before that is made up for', () => {
    const bucket = new RetryTokenBucket({windowMs, ratio: 0.2, slack: 0});
    const allowed: number[] = [];
    for (let atMs = 0; atMs < 12; atMs += 1) {
      bucket.recordRequest('h', atMs);
      allowed.push(takeAll(bucket));
    }
    expect(allowed).to.deep.equal([1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0]);
  });

  it('is not used before its first retry, however little it holds', () => {
    const bucket = new RetryTokenBucket({windowMs, ratio: 0.2, slack: 50});
    expect(bucket.usedShare()).to.equal(0);
    bucket.recordRequest('h', 0);
    expect(bucket.usedShare()).to.equal(0);
  });

  it('adds a part of the slack over time, by the hosts that use the home', () => {
    const slack = 400;
    for (const [knownHosts, expected] of [
      [1, 100],
      [4, 25],
    ] as const) {
      const bucket = new RetryTokenBucket({windowMs, ratio: 0, slack});
      bucket.setKnownHosts(knownHosts);
      sendRequests(bucket, {untilMs: windowMs + 100, intervalMs: 100});
      expect(takeAll(bucket), `${knownHosts} hosts`).to.be.within(expected - 2, expected + 1);
    }
  });

  it('forgets what it holds while it is not used', () => {
    const bucket = new RetryTokenBucket({windowMs, ratio: 0.2, slack: 100});
    sendRequests(bucket, {untilMs: 1_000, intervalMs: 1});
    bucket.recordRequest('h', 30_000);
    expect(takeAll(bucket)).to.equal(1);
  });
});

describe('the retry budget of several homes of a backend', () => {
  const options: RetryTokenBucketOptions = {windowMs, ratio: 0.2, slack: 60};
  const hosts = 12;
  const runMs = 60_000;

  /**
   * Runs homes of which up to three act at once, each for some of the hosts, and which are replaced by new ones. Every
   * retry that is allowed is taken. Returns by how many retries the worst window exceeds the budget.
   */
  function worstExcess(seed: number): number {
    const random = new SeededRandom(seed);
    const createBucket = (): RetryTokenBucket => {
      const bucket = new RetryTokenBucket(options);
      bucket.setKnownHosts(hosts);
      return bucket;
    };
    const buckets = [createBucket(), createBucket(), createBucket()];
    const homeOfHost = Array.from({length: hosts}, () => 0);
    const requestsMs: number[] = [];
    const retriesMs: number[] = [];
    let isDemanded = true;
    for (let atMs = 0; atMs < runMs; atMs += 2) {
      if (random.nextInt(1_000) === 0) {
        buckets[random.nextInt(buckets.length)] = createBucket();
      }
      if (random.nextInt(1_000) === 0) {
        const homes = 1 + random.nextInt(buckets.length);
        const first = random.nextInt(buckets.length);
        for (const host of homeOfHost.keys()) {
          homeOfHost[host] = (first + (host % homes)) % buckets.length;
        }
      }
      // Tokens are saved for a while and then taken at once.
      isDemanded = random.nextInt(1_500) === 0 ? !isDemanded : isDemanded;
      const host = random.nextInt(hosts);
      const bucket = buckets[homeOfHost[host] ?? 0];
      bucket?.recordRequest(`${host}`, atMs);
      requestsMs.push(atMs);
      while (isDemanded && bucket?.hasRoom === true) {
        bucket.recordRetry();
        retriesMs.push(atMs);
      }
    }
    let worst = Number.NEGATIVE_INFINITY;
    for (const [index, lastMs] of retriesMs.entries()) {
      const firstIndex = retriesMs.findIndex((atMs) => atMs > lastMs - windowMs);
      const requests = requestsMs.filter((atMs) => atMs > lastMs - windowMs && atMs <= lastMs);
      const allowed = requests.length * options.ratio + options.slack;
      worst = Math.max(worst, index - firstIndex + 1 - allowed);
    }
    return worst;
  }

  // Guards against homes that begin with a budget which others have used in the same window.
  it('is kept in every window, whichever home counts', () => {
    for (let seed = 1; seed <= 12; seed += 1) {
      expect(worstExcess(seed), `seed ${seed}`).to.be.at.most(0);
    }
  });
});
