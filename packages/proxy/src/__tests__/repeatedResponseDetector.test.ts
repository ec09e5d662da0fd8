import {expect} from 'chai';
import {RepeatedResponseDetector} from '../backends/repeatedResponseDetector.ts';

const copy =
  'HTTP/1.1 200 OK\r\nDate: today\r\nX-Request-Id: host-1-7.1\r\nContent-Length: 2\r\n\r\nok';

function detector(): RepeatedResponseDetector {
  return new RepeatedResponseDetector({
    requestNameHeader: 'x-request-id',
    attemptNames: ['host-1-6.1', 'host-1-7.1'],
  });
}

describe('RepeatedResponseDetector', () => {
  it('finds a copy wherever the chunks of the body divide it', () => {
    const body = Buffer.from(`${'x'.repeat(50)}${copy}${'y'.repeat(50)}`);
    for (let at = 0; at <= body.length; at += 1) {
      const chunks = [body.subarray(0, at), body.subarray(at)];
      const repeats = detector();
      expect(
        chunks.some((chunk) => repeats.hasFoundIn(chunk)),
        `divided at ${at}`,
      ).to.equal(true);
    }
    const repeats = detector();
    expect([...body].some((byte) => repeats.hasFoundIn(Buffer.from([byte])))).to.equal(true);
  });

  it('finds no copy in bodies that name other attempts or hold no head', () => {
    for (const body of [
      copy.replace('host-1-7.1', 'host-1-71'),
      copy.replace('X-Request-Id', 'X-Other-Id'),
      copy.replace('HTTP/1.1 200 OK', 'GET / HTTP/1.1'),
      'x-request-id: host-1-7.1\r\n',
    ]) {
      expect(detector().hasFoundIn(Buffer.from(body)), body).to.equal(false);
    }
  });

  // Guards against a host that stands still while a faulty server sends what looks like heads without end.
  it('reads a megabyte of status lines in a short time', () => {
    for (const line of [
      'HTTP/1.1 200 OK\r\n',
      'HTTP/1.1 200 ',
      `HTTP/1.1 200\r\n${'a'.repeat(500)}\r\n`,
    ]) {
      const repeats = detector();
      const chunk = Buffer.from(line.repeat(Math.ceil(65_536 / line.length)));
      const startedAtMs = performance.now();
      for (let bytes = 0; bytes < 1_048_576; bytes += chunk.length) {
        expect(repeats.hasFoundIn(chunk)).to.equal(false);
      }
      expect(performance.now() - startedAtMs, line).to.be.below(1_000);
    }
  });
});
