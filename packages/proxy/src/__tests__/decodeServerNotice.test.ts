import {expect} from 'chai';
import {decodeServerNotice} from '../dialect/decodeServerNotice.ts';

describe('decodeServerNotice', () => {
  const names = {limit: 'server-limit'};

  it('reads the limit of a server as requests per second', () => {
    expect(decodeServerNotice({'server-limit': '4.9'}, names).limitPerSecond).to.equal(4.9);
    expect(decodeServerNotice({'server-limit': '0'}, names).limitPerSecond).to.equal(0);
  });

  it('leaves out a limit that is no number of 0 or more', () => {
    for (const value of ['', ' ', 'many', '-1', '1, 2', 'Infinity']) {
      const {limitPerSecond} = decodeServerNotice({'server-limit': value}, names);
      expect(limitPerSecond, value).to.equal(undefined);
    }
  });
});
