import {Readable} from 'node:stream';
import {UndeclaredBodyError} from '../errors/hostErrors.ts';
import {soundChunks} from './soundChunks.ts';
import type {SoundChunksOptions} from './soundChunks.ts';
import type {BufferedResponse} from './bufferResponse.ts';

/** Limits of reading a body whose end is not declared. */
export interface ReadUndeclaredBodyOptions extends SoundChunksOptions {
  /** Largest body that is read, in bytes. */
  readonly maxBytes: number;
}

/**
 * Reads a body completely whose end only the close of its connection marks. It is passed on the same way, so that a caller
 * must not get any of it before its end is seen: what this host breaks off would look like the whole. Fails where the
 * connection is reset or the body is larger than allowed, as bytes without end are.
 */
export async function readUndeclaredBody(
  body: Readable,
  {maxBytes, ...options}: ReadUndeclaredBodyOptions,
): Promise<BufferedResponse> {
  const chunks: Buffer[] = [];
  let wholeBytes = 0;
  for await (const chunk of soundChunks(body, options)) {
    wholeBytes += chunk.length;
    if (wholeBytes > maxBytes) {
      throw new UndeclaredBodyError(`a body without a length exceeds ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return {body: Readable.from(chunks), wholeBytes};
}
