import {PassThrough, pipeline, Readable} from 'node:stream';
import type {ResponseMemory} from '@godwitspring/core';
import {readableOf} from './readableOf.ts';
import {soundChunks} from './soundChunks.ts';
import type {SoundChunksOptions} from './soundChunks.ts';

/** How a body is read before any of it is passed on. */
export interface BufferResponseOptions extends SoundChunksOptions {
  /** Largest body that is read completely, in bytes. */
  readonly maxBytes: number;
  /** Memory for what is read of the body before any of it is passed on. */
  readonly memory: ResponseMemory;
}

/** A response body, of which at least the start was read. */
export interface BufferedResponse {
  readonly body: Readable;
  /** Size of the body, in bytes; undefined where it was not read to its end. */
  readonly wholeBytes: number | undefined;
}

/**
 * Reads a small response body completely, so that a broken response is detected before any of it was sent to the caller; a
 * larger body, and one for which no memory is left, is streamed. Fails where the body breaks off while it is read.
 */
export async function bufferResponse(
  body: Readable,
  options: BufferResponseOptions,
): Promise<BufferedResponse> {
  const {maxBytes, memory} = options;
  const chunks: Buffer[] = [];
  let bytes = 0;
  const checkedChunks = soundChunks(body, options);
  try {
    for (let isHeld = true; isHeld && bytes <= maxBytes;) {
      const next = await checkedChunks.next();
      if (next.done === true) {
        return {body: readableOf(chunks, memory), wholeBytes: bytes};
      }
      chunks.push(next.value);
      bytes += next.value.length;
      isHeld = memory.tryTake(next.value.length);
    }
  } catch (error) {
    memory.release();
    throw error;
  }
  const forwarded = new PassThrough();
  forwarded.once('drain', memory.release);
  forwarded.once('close', () => {
    memory.release();
    // The generator that reads the body would wait for its next bytes before it ends.
    body.on('error', () => undefined).destroy();
  });
  forwarded.write(Buffer.concat(chunks));
  pipeline(Readable.from(checkedChunks), forwarded, () => {
    // A failure destroys `forwarded`, which breaks the caller's connection, so that the caller notices.
  });
  return {body: forwarded, wholeBytes: undefined};
}
