import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import type {BufferedResponse} from './bufferResponse.ts';

/** Largest body that is surely handed to the kernel at once, in bytes: the least send buffer of a socket on Linux. */
const maxBytesSentAtOnce = 16_384;

/**
 * True for a response that is passed on as it came, without length and chunks, so that the close of its connection ends it
 * (RFC 9112, section 6.3).
 *
 * Nobody can tell a server that ended such a response from one that broke down, so no chunks say that it is complete. But
 * then a break of this host looks like an end, too. So only a body that is sent at once is passed on that way; a larger one
 * goes on in chunks.
 */
export function endsByClose(
  {headers}: Pick<Dispatcher.ResponseData, 'headers'>,
  {wholeBytes = Number.POSITIVE_INFINITY}: BufferedResponse,
): boolean {
  const isFramed =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return !isFramed && wholeBytes <= maxBytesSentAtOnce;
}

/** Makes a response end by the close of its connection; called before its head is sent. */
export function endByClose(outgoing: ServerResponse): void {
  outgoing.useChunkedEncodingByDefault = false;
  outgoing.shouldKeepAlive = false;
}
