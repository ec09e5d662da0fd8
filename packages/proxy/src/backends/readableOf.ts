import {Readable} from 'node:stream';
import type {ResponseMemory} from '@godwitspring/core';

/** Releases the memory of a body as its reader takes it: from then on, it counts as held for the caller. */
function* takeChunks(chunks: readonly Buffer[], memory: ResponseMemory): Generator<Buffer> {
  memory.release();
  yield* chunks;
}

/** A body that was read completely, as a stream. */
export function readableOf(chunks: readonly Buffer[], memory: ResponseMemory): Readable {
  const body = Readable.from(takeChunks(chunks, memory));
  body.once('close', memory.release);
  return body;
}
