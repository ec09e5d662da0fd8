import {PassThrough, Readable} from 'node:stream';
import {pipeline} from 'node:stream';

/**
 * Reads a body whole if it is not larger than `maxBytes`, so that a broken answer is known before any of
 * it went to the caller; a larger one is passed on as it comes. Fails where the body breaks off.
 */
export async function bufferAnswer(body: Readable, maxBytes: number): Promise<Readable> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const iterator = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  while (bytes <= maxBytes) {
    const next = await iterator.next();
    if (next.done === true) {
      return Readable.from(chunks.length === 0 ? [] : [Buffer.concat(chunks)]);
    }
    chunks.push(next.value);
    bytes += next.value.length;
  }
  const rest = new PassThrough();
  pipeline(
    async function* () {
      yield Buffer.concat(chunks);
      for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
        yield next.value;
      }
    },
    rest,
    (error) => {
      if (error) {
        rest.destroy(error);
      }
    },
  );
  return rest;
}
