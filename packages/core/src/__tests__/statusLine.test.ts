import {expect} from 'chai';
import {isStatusLine} from '../responses/statusLine.ts';

describe('isStatusLine', () => {
  it('accepts the versions of HTTP/1 and statuses from 100 to 599', () => {
    for (const line of [
      'HTTP/1.1 200 OK',
      'HTTP/1.0 404 Not Found',
      'HTTP/1.1 100 Continue',
      'HTTP/1.1 599',
      'HTTP/1.1 204 ',
    ]) {
      expect(isStatusLine(line), line).to.equal(true);
    }
  });

  it('refuses other versions and statuses', () => {
    for (const line of [
      'HTTP/1.1 000 OK',
      'HTTP/1.1 099 OK',
      'HTTP/1.1 600 OK',
      'HTTP/1.1 999 OK',
      'HTTP/1.1 20 OK',
      'HTTP/1.1 2000 OK',
      'HTTP/1.1 +200 OK',
      'HTTP/1.1 200OK',
      'HTTP/1.1  200 OK',
      'HTTP/1.1',
      'HTTP/1.9 200 OK',
      'HTTP/0.9 200 OK',
      'HTTP/2.0 200 OK',
      'HTTP/2 200',
      'ICY 200 OK',
    ]) {
      expect(isStatusLine(line), line).to.equal(false);
    }
  });
});
