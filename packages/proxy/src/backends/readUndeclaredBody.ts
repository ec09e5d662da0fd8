import type {Readable} from 'node:stream';
import {EndlessBodyError, ResponseMemoryError, UndeclaredBodyError} from '../errors/hostErrors.ts';
import type {TimerService} from '../timer/timerService.ts';
import type {BufferResponseOptions, BufferedResponse} from './bufferResponse.ts';
import {readableOf} from './readableOf.ts';
import {soundChunks} from './soundChunks.ts';

/** How a body is read whose end is not declared. */
export interface ReadUndeclaredBodyOptions extends BufferResponseOptions {
  readonly timers: TimerService;
}

/** Size from which a body counts as without end, so that its server counts as faulty, in bytes. */
const endlessBodyBytes = 8_388_608;
/** Time for which a body that is too large is read on and dropped, to find out whether its server ends it, in ms. */
const endlessCheckMs = 250;

/**
 * Reads and drops the rest of a body that is too large; fails in any case. A server that ends it in time, or sends slowly, is
 * taken for sound, so that it still gets other requests.
 */
async function refuseLargeBody(
  body: Readable,
  chunks: AsyncGenerator<Buffer>,
  {timers, maxBytes, receivedBytes}: ReadUndeclaredBodyOptions & {receivedBytes: number},
): Promise<never> {
  const tooLarge = new UndeclaredBodyError(`a body without a length exceeds ${maxBytes} bytes`);
  const timeout = timers.at(timers.nowMs() + endlessCheckMs, () => {
    body.destroy(tooLarge);
  });
  try {
    let bytes = receivedBytes;
    for await (const chunk of chunks) {
      bytes += chunk.length;
      if (bytes > endlessBodyBytes) {
        throw new EndlessBodyError(`a body without a length exceeds ${endlessBodyBytes} bytes`);
      }
    }
  } finally {
    timeout.cancel();
  }
  throw tooLarge;
}

/** Reads the chunks of a body; fails where the connection is reset, or where the body exceeds a limit. */
async function readChunks(
  body: Readable,
  options: ReadUndeclaredBodyOptions,
): Promise<{chunks: Buffer[]; wholeBytes: number}> {
  const {maxBytes, memory} = options;
  const chunks: Buffer[] = [];
  let wholeBytes = 0;
  const received = soundChunks(body, options);
  for (let next = await received.next(); next.done !== true; next = await received.next()) {
    wholeBytes += next.value.length;
    if (wholeBytes > maxBytes) {
      memory.release();
      return refuseLargeBody(body, received, {...options, receivedBytes: wholeBytes});
    }
    if (!memory.tryTake(next.value.length)) {
      body.on('error', () => undefined).destroy();
      throw new ResponseMemoryError('the responses that are being read hold all memory for them');
    }
    chunks.push(next.value);
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
  options: ReadUndeclaredBodyOptions,
): Promise<BufferedResponse> {
  const {memory} = options;
  try {
    const {chunks, wholeBytes} = await readChunks(body, options);
    return {body: readableOf(chunks, memory), wholeBytes};
  } catch (error) {
    memory.release();
    throw error;
  }
}
