import type {Readable} from 'node:stream';
import {soundChunks} from './soundChunks.ts';
import type {SoundChunksOptions} from './soundChunks.ts';

/** Reads a body to its end and drops it; fails where it is not complete. */
export async function discardBody(body: Readable, options: SoundChunksOptions): Promise<void> {
  const chunks = soundChunks(body, options);
  for (let next = await chunks.next(); next.done !== true;) {
    next = await chunks.next();
  }
}
