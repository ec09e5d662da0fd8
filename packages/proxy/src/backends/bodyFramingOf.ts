import type {IncomingHttpHeaders} from 'node:http';
import type {BodyFraming} from '@godwitspring/core';

/** Head of a response, with the method of its request. */
export interface FramedHead {
  readonly method: string;
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
}

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** The last transfer coding that a head names, in lower case; undefined where it names none. */
function lastTransferCoding(headers: IncomingHttpHeaders): string | undefined {
  return headers['transfer-encoding']?.split(',').at(-1)?.trim().toLowerCase();
}

/** How a response that the HTTP parser accepted marks the end of its body (RFC 9112, section 6.3). */
export function bodyFramingOf({method, statusCode, headers}: FramedHead): BodyFraming {
  if (method === 'HEAD' || statusesWithoutBody.has(statusCode)) {
    return 'none';
  }
  const coding = lastTransferCoding(headers);
  if (coding !== undefined) {
    return coding === 'chunked' ? 'chunks' : 'close';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}
