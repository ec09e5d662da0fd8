import {expect} from 'chai';
import {decodeServerNotice} from '../dialect/decodeServerNotice.ts';

describe('decodeServerNotice', () => {
  const names = {limit: 'server-limit', leaving: 'server-leaving', retryAfter: 'retry-after'};

  it('reads the limit of a server as requests per second', () => {
    const limitOf = (value: string): number | undefined =>
      decodeServerNotice(200, {'server-limit': value}, names).limitPerSecond;
    expect(limitOf('4.9')).to.equal(4.9);
    expect(limitOf('0')).to.equal(0);
  });

  it('leaves out a limit that is no number of 0 or more', () => {
    for (const value of ['', ' ', 'many', '-1', '1, 2', 'Infinity']) {
      const {limitPerSecond} = decodeServerNotice(200, {'server-limit': value}, names);
      expect(limitPerSecond, value).to.equal(undefined);
    }
  });

  it('reads whether a server leaves, from responses of any status', () => {
    for (const status of [200, 404, 500, 503]) {
      const leaving = decodeServerNotice(status, {'server-leaving': '1'}, names);
      expect(leaving.isLeaving, String(status)).to.equal(true);
    }
    for (const value of ['0', '', 'no']) {
      const {isLeaving} = decodeServerNotice(200, {'server-leaving': value}, names);
      expect(isLeaving, value).to.equal(undefined);
    }
  });

  it('reads for how long a server that refuses with 503 wants no requests', () => {
    const retryAfterMsOf = (status: number, value: string): number | undefined =>
      decodeServerNotice(status, {'retry-after': value}, names).retryAfterMs;
    expect(retryAfterMsOf(503, '1.5')).to.equal(1_500);
    expect(retryAfterMsOf(429, '1.5')).to.equal(undefined);
    expect(retryAfterMsOf(503, 'Fri, 04 Dec 2026 00:00:00 GMT')).to.equal(undefined);
  });
});
