import {expect} from 'chai';
import fc from 'fast-check';
import {ResponseHeadLimiter} from '../backends/responseHeadLimiter.ts';

const options = {maxLines: 10, maxLineBytes: 100};
const head = 'HTTP/1.1 200 OK\r\n';
const chunked = `${head}Transfer-Encoding: gzip, Chunked\r\n\r\n`;

/** Divides a text at random places. */
function divided(text: string): fc.Arbitrary<Buffer[]> {
  return fc.array(fc.integer({min: 0, max: text.length}), {maxLength: 20}).map((places) => {
    const ends = [...places, text.length].sort((one, other) => one - other);
    let start = 0;
    return ends.map((end) => {
      const piece = Buffer.from(text.slice(start, end), 'latin1');
      start = end;
      return piece;
    });
  });
}

/** Expects the same result of a text however it is divided. */
function expectAccepted(text: string, isAccepted: boolean): void {
  fc.assert(
    fc.property(divided(text), (pieces) => {
      const limiter = new ResponseHeadLimiter(options);
      const results = pieces.map((piece) => limiter.accepts(piece));
      expect(
        results.every((result) => result),
        text.slice(0, 200),
      ).to.equal(isAccepted);
    }),
    {seed: 3, numRuns: 200},
  );
}

/** `count` fields, each with a line of 4 bytes. */
function fields(count: number): string {
  return 'a:\r\n'.repeat(count);
}

describe('ResponseHeadLimiter', () => {
  // Guards against a host that runs out of memory as a server sends very many short fields.
  it('accepts as many lines of heads and trailers as the limit, and no more', () => {
    for (const [start, lines] of [
      [head, 1],
      [chunked, 2],
      [`${chunked}3\r\nabc\r\n0\r\n`, 2],
      [`HTTP/1.1 103 Hints\r\n${fields(3)}\r\n${head}`, 5],
      [`\r\n${head}`, 2],
    ] as const) {
      const isHead = start.endsWith(head);
      expectAccepted(`${start}${fields(10 - lines)}`, true);
      if (isHead || start.endsWith('0\r\n')) {
        expectAccepted(`${start}${fields(11 - lines)}`, false);
      }
    }
  });

  it('finds lines that are too long, before their end', () => {
    expectAccepted(`HTTP/1.1 200 ${'x'.repeat(200)}`, false);
    expectAccepted(`${head}a: ${'x'.repeat(200)}`, false);
    expectAccepted(`${chunked}5;${'x'.repeat(200)}`, false);
    expectAccepted(`${chunked}0\r\na: ${'x'.repeat(200)}`, false);
    expectAccepted(`${head}a: ${'x'.repeat(95)}\r\n`, true);
    expectAccepted(`${head}a: ${'x'.repeat(96)}\r\n`, false);
  });

  // Guards against sound responses that are cut because their bodies look like heads.
  it('accepts bodies of any content in each framing', () => {
    const body = `${'x'.repeat(200)}${fields(50)}`;
    const size = body.length.toString(16);
    expectAccepted(`${head}content-length: ${body.length}\r\n\r\n${body}`, true);
    expectAccepted(`${head}\r\n${body}`, true);
    expectAccepted(`${chunked}${size}\r\n${body}\r\n`.concat(`${size};e=1\r\n${body}\r\n`), true);
    expectAccepted(`${chunked}${`${size}\r\n${body}\r\n`.repeat(20)}0\r\n${fields(8)}\r\n`, true);
  });

  it('leaves bytes that are no response to the HTTP client', () => {
    expectAccepted(`no response\r\n${fields(50)}`, true);
    expectAccepted(`${chunked}no size\r\n${fields(50)}`, true);
  });

  it('counts each response of a connection for itself', () => {
    const limiter = new ResponseHeadLimiter(options);
    for (let response = 0; response < 5; response += 1) {
      limiter.startResponse();
      expect(limiter.accepts(Buffer.from(`${head}${fields(9)}\r\nbody`))).to.equal(true);
    }
    limiter.startResponse();
    expect(limiter.accepts(Buffer.from(`${head}${fields(10)}`))).to.equal(false);
  });

  it('accepts a head of 16,384 bytes in one field, or of 400 fields, with the defaults', () => {
    const oneField = `${head}a: ${'x'.repeat(16_384)}\r\n\r\n`;
    expect(new ResponseHeadLimiter().accepts(Buffer.from(oneField))).to.equal(true);
    const manyFields = `${head}${fields(400)}\r\n`;
    expect(new ResponseHeadLimiter().accepts(Buffer.from(manyFields))).to.equal(true);
  });
});
