import type {Readable} from 'node:stream';
import {ResponseTooLargeError} from '../errors/hostErrors.ts';

/** Largest response of the platform that a host accepts, in bytes. */
export const maxPlatformResponseBytes = 32 * 1_048_576;

/**
 * Reads a response body as UTF-8 text.
 *
 * Throws `ResponseTooLargeError`, and closes the connection, where the body is larger than
 * `maxPlatformResponseBytes`: bytes may come without end.
 */
export async function readBoundedText(body: Readable): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxPlatformResponseBytes) {
      throw new ResponseTooLargeError(`the response exceeds ${maxPlatformResponseBytes} bytes`);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}
