import {expect} from 'chai';
import {requestStory} from '../requestStory.ts';

const line = (time: string, host: string, event: string, fields: object): string =>
  JSON.stringify({time, host, event, requestName: 'r1', ...fields});

describe('the story of a request', () => {
  it('joins the lines of all hosts in time order and passes over what is no line of it', () => {
    const entry = [
      line('2026-01-01T00:00:00.002Z', 'entry', 'attempt.started', {
        attempt: 1,
        serverId: 's-1',
        sinceArrivalMs: 2,
        leftMs: 998,
      }),
      'no JSON about r1',
      line('2026-01-01T00:00:01.000Z', 'entry', 'request.refused', {
        kind: 'answer-timeout',
        outcome: 'unknown',
        phase: 'attempt',
        afterMs: 1_000,
      }),
    ].join('\n');
    const home = line('2026-01-01T00:00:00.001Z', 'home', 'place.granted', {
      serverId: 's-1',
      waitedMs: 0,
      risk: 0.02,
      provenAgoMs: 40,
      waiting: 0,
    });
    const story = requestStory('r1', [entry, home]);
    expect(story).to.have.length(3);
    const refused = line('2026-01-01T00:00:00.001Z', 'home', 'quota.refused', {
      customerId: 'cafe',
      admitted: 30,
      windowMs: 5_000,
      ratePerSecond: 5,
      burstRequests: 5,
      fleetShare: 1,
    });
    expect(requestStory('r1', [refused])[0]).to.contain('30 requests in 5000 ms at 5/s');
    expect(story[0]).to.contain('home grants server s-1');
    expect(story[0]).to.contain('risk 2.0 %');
    expect(story[2]).to.contain('refused as answer-timeout (unknown)');
  });
});
