import {Readable} from 'node:stream';
import {ResponseMemoryError, UndeclaredBodyError} from '../errors/hostErrors.ts';
import type {BufferResponseOptions, BufferedResponse} from './bufferResponse.ts';
import {soundChunks} from './soundChunks.ts';

/** Reads the chunks of a body; fails where the connection is reset, or where the body exceeds a limit. */
async function readChunks(
  body: Readable,
  {maxBytes, memory, ...options}: BufferResponseOptions,
): Promise<{chunks: Buffer[]; wholeBytes: number}> {
  const chunks: Buffer[] = [];
  let wholeBytes = 0;
  for await (const chunk of soundChunks(body, options)) {
    wholeBytes += chunk.length;
    if (wholeBytes > maxBytes) {
      throw new UndeclaredBodyError(`a body without a length exceeds ${maxBytes} bytes`);
    }
    if (!memory.tryTake(chunk.length)) {
      throw new ResponseMemoryError('the responses that are being read hold all memory for them');
    }
    chunks.push(chunk);
  }
  return {chunks, wholeBytes};
}

/**
 * Reads a body completely whose end only the close of its connection marks. It is passed on the same way, so that a caller
 * must not get any of it before its end is seen: what this host breaks off would look like the whole. Fails where the
 * connection is reset or the body is larger than allowed, as bytes without end are.
 */
export async function readUndeclaredBody(
  body: Readable,
  options: BufferResponseOptions,
): Promise<BufferedResponse> {
  const {memory} = options;
  try {
    const {chunks, wholeBytes} = await readChunks(body, options);
    const whole = Readable.from(chunks);
    whole.once('close', memory.release);
    return {body: whole, wholeBytes};
  } catch (error) {
    memory.release();
    throw error;
  }
}
