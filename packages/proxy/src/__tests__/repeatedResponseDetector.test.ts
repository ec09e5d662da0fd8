import {expect} from 'chai';
import fc from 'fast-check';
import {RepeatedResponseDetector} from '../backends/repeatedResponseDetector.ts';
import type {RepeatedResponseDetectorOptions} from '../backends/repeatedResponseDetector.ts';

const copy =
  'HTTP/1.1 200 OK\r\nDate: today\r\nX-Request-Id: host-1-7.1\r\nContent-Length: 2\r\n\r\nok';

function detector(): RepeatedResponseDetector {
  return new RepeatedResponseDetector({
    requestNameHeader: 'x-request-id',
    attemptNames: ['host-1-6.1', 'host-1-7.1'],
  });
}

/** Limits of the detector, by which the reference below searches. */
const maxHeadBytes = 16_384;
const maxLineLength = 512;
const maxHeaderLines = 32;

/** Reference: joins the last `maxHeadBytes` bytes of the body with each chunk, and searches the whole. */
class JoiningDetector {
  readonly #requestNameHeader: string;
  readonly #attemptNames: readonly string[];
  #tail: Buffer = Buffer.alloc(0);

  constructor({requestNameHeader, attemptNames}: RepeatedResponseDetectorOptions) {
    this.#requestNameHeader = requestNameHeader;
    this.#attemptNames = attemptNames;
  }

  hasFoundIn(chunk: Buffer): boolean {
    const bytes = Buffer.concat([this.#tail, chunk]);
    this.#tail = bytes.subarray(-maxHeadBytes);
    const startsAt = bytes.indexOf('HTTP/1.');
    if (startsAt < 0) {
      return false;
    }
    const headPattern = new RegExp(
      `HTTP/1\\.[01] \\d{3}[^\\r\\n]{0,${maxLineLength}}\\r\\n` +
        `(?:[^\\r\\n]{1,${maxLineLength}}\\r\\n){0,${maxHeaderLines}}?` +
        `${this.#requestNameHeader}:[ \\t]*([^\\r\\n]{0,${maxLineLength}}?)[ \\t]*\\r\\n`,
      'gi',
    );
    for (const [, name = ''] of bytes.toString('latin1', startsAt).matchAll(headPattern)) {
      if (this.#attemptNames.includes(name)) {
        return true;
      }
    }
    return false;
  }
}

/** Pieces of bodies that hold heads, parts of heads, or bytes about as many as the detector keeps. */
const pieces = fc.oneof(
  fc.constantFrom(
    copy,
    copy.toLowerCase(),
    copy.replace('host-1-7.1', 'host-1-8.1'),
    'HTTP/1.',
    'HHTTP/1.',
    'HTTP/1.1 200',
    ' OK\r\n',
    '\r\n',
    'X-Request-Id: host-1-7.1\r\n',
    'x-request-id:host-1-6.1 \r\n',
    'x-request-id: host-1-9.1\r\n',
    'x'.repeat(511),
    'x'.repeat(513),
    `${'y'.repeat(510)}\r\n`.repeat(16),
    `${'y'.repeat(510)}\r\n`.repeat(31),
    'z'.repeat(16_384),
  ),
  fc
    .nat({max: copy.length - 1})
    .chain((from) => fc.nat({max: copy.length}).map((length) => copy.slice(from, from + length))),
  fc.integer({min: 16_100, max: 16_500}).map((length) => 'w'.repeat(length)),
);

/** A body divided at random places, most of them near each other or near the limit of what is kept. */
const dividedBodies = fc
  .array(pieces, {minLength: 1, maxLength: 9})
  .map((parts) => Buffer.from(parts.join(''), 'latin1'))
  .chain((body) =>
    fc
      .array(
        fc.oneof(
          fc.integer({min: 1, max: 9}),
          fc.integer({min: 1, max: 200}),
          fc.integer({min: 1, max: 20_000}),
        ),
        {minLength: 1, maxLength: 40},
      )
      .map((sizes) => {
        const chunks: Buffer[] = [];
        let at = 0;
        for (const size of sizes) {
          chunks.push(body.subarray(at, at + size));
          at += size;
        }
        chunks.push(body.subarray(at));
        return chunks;
      }),
  );

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

  // Guards against copies that are missed, or found too many, as only a part of the body is kept.
  it('finds after each chunk what a search of the kept bytes and the chunk together finds', () => {
    const options = {
      requestNameHeader: 'x-request-id',
      attemptNames: ['host-1-6.1', 'host-1-7.1'],
    };
    let found = 0;
    fc.assert(
      fc.property(dividedBodies, (chunks) => {
        const reference = new JoiningDetector(options);
        const repeats = new RepeatedResponseDetector(options);
        for (const [index, chunk] of chunks.entries()) {
          const isFound = reference.hasFoundIn(chunk);
          expect(repeats.hasFoundIn(chunk), `chunk ${index}`).to.equal(isFound);
          found += isFound ? 1 : 0;
        }
      }),
      {seed: 7, numRuns: 3_000},
    );
    expect(found, 'copies found').to.be.above(1_000);
  });

  it('keeps exactly the last 16,384 bytes in which a head has begun', () => {
    const start = `HTTP/1.1 200 OK\r\n${`${'y'.repeat(510)}\r\n`.repeat(31)}x-request-id:`;
    for (const before of ['', 'x', `HTTP/1.${'x'.repeat(20_000)}`]) {
      for (const [keptBytes, isFound] of [
        [maxHeadBytes, true],
        [maxHeadBytes + 1, false],
      ] as const) {
        const repeats = detector();
        const begun = `${before}${start.padEnd(keptBytes, ' ')}`;
        expect(repeats.hasFoundIn(Buffer.from(begun))).to.equal(false);
        expect(repeats.hasFoundIn(Buffer.from('host-1-7.1\r\n')), `${keptBytes}`).to.equal(isFound);
      }
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
