import type {IncomingMessage} from 'node:http';
import type {PendingResponse} from './exchange.ts';

/** Memory of a header field besides its characters, in bytes: two strings and their places in objects. */
const fieldBytes = 128;
/** Most memory that a response takes at a time, in bytes: what is buffered of it and what its streams hold. */
const maxResponseBytes = 327_680;

/** Memory that a request head takes, in bytes. */
export function headBytes({rawHeaders, url = ''}: IncomingMessage): number {
  let bytes = url.length + (rawHeaders.length / 2) * fieldBytes;
  for (const text of rawHeaders) {
    bytes += text.length;
  }
  return bytes;
}

/** Memory that a response takes at most while its caller reads it, in bytes. */
export function responseBytes({headers, framing, bodyBytes}: PendingResponse): number {
  if (framing === 'close' && bodyBytes !== undefined) {
    return bodyBytes;
  }
  const declared = Number(headers['content-length'] ?? Number.NaN);
  return Number.isNaN(declared) ? maxResponseBytes : Math.min(declared, maxResponseBytes);
}
