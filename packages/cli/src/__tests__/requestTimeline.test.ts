import {expect} from 'chai';
import {requestTimeline} from '../requestTimeline.ts';

/** A log line about request `r1`, as a host writes it. */
const logLine = (time: string, host: string, event: string, fields: object): string =>
  JSON.stringify({time, host, event, requestName: 'r1', ...fields});

describe('requestTimeline', () => {
  it('merges the log lines of all hosts in time order and skips lines that are not about the request', () => {
    const entryHostLog = [
      logLine('2026-01-01T00:00:00.002Z', 'entry', 'attempt.started', {
        attempt: 1,
        serverId: 's-1',
        sinceArrivalMs: 2,
        leftMs: 998,
      }),
      'not JSON, but names r1',
      logLine('2026-01-01T00:00:01.000Z', 'entry', 'request.refused', {
        kind: 'answer-timeout',
        outcome: 'unknown',
        phase: 'attempt',
        afterMs: 1_000,
      }),
    ].join('\n');
    const homeLog = logLine('2026-01-01T00:00:00.001Z', 'home', 'place.granted', {
      serverId: 's-1',
      waitedMs: 0,
      risk: 0.02,
      provenAgoMs: 40,
      waiting: 0,
    });
    const timeline = requestTimeline('r1', [entryHostLog, homeLog]);
    expect(timeline).to.have.length(3);
    const refusedLine = logLine('2026-01-01T00:00:00.001Z', 'home', 'quota.refused', {
      customerId: 'cafe',
      admitted: 30,
      windowMs: 5_000,
      ratePerSecond: 5,
      burstRequests: 5,
      fleetShare: 1,
    });
    expect(requestTimeline('r1', [refusedLine])[0]).to.contain('30 requests in 5000 ms at 5/s');
    expect(timeline[0]).to.contain('home grants server s-1 after 0 ms in the queue');
    expect(timeline[0]).to.contain('failure risk 2.0 %, last success 40 ms ago');
    expect(timeline[2]).to.contain('refused as answer-timeout (unknown)');
  });
});
