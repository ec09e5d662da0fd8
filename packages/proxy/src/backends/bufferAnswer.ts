import {PassThrough, pipeline, Readable} from 'node:stream';
import {BrokenAnswerError} from '../errors/hostErrors.ts';

export interface BufferAnswerOptions {
  /** Bodies up to this size are read whole before any of them is handed on, in bytes. */
  readonly maxBytes: number;
  /** Tells at the end of the body whether the connection broke rather than ended. */
  readonly wasBroken: () => boolean;
}

/** The chunks of a body; fails at its end where the connection broke rather than ended. */
async function* wholeChunks(body: Readable, wasBroken: () => boolean): AsyncGenerator<Buffer> {
  for await (const chunk of body) {
    yield chunk as Buffer;
  }
  if (wasBroken()) {
    throw new BrokenAnswerError('the connection broke before the answer was whole');
  }
}

/**
 * Reads a small body whole, so that a broken answer is known before any of it went to the caller; a larger
 * one is passed on as it comes. Fails where the body breaks off.
 */
export async function bufferAnswer(
  body: Readable,
  {maxBytes, wasBroken}: BufferAnswerOptions,
): Promise<Readable> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const whole = wholeChunks(body, wasBroken);
  while (bytes <= maxBytes) {
    const next = await whole.next();
    if (next.done === true) {
      return Readable.from(chunks.length === 0 ? [] : [Buffer.concat(chunks)]);
    }
    chunks.push(next.value);
    bytes += next.value.length;
  }
  const handedOn = new PassThrough();
  handedOn.write(Buffer.concat(chunks));
  pipeline(Readable.from(whole), handedOn, () => {
    // A failure destroys `handedOn`, which breaks the caller's answer visibly.
  });
  return handedOn;
}
