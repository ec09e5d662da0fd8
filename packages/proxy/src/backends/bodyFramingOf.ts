import type {IncomingHttpHeaders} from 'node:http';
import type {BodyFraming} from '@godwitspring/core';
import {TransferCodingError} from '../errors/hostErrors.ts';

/** Head of a response, with the method of its request. */
export interface FramedHead {
  readonly method: string;
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
}

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Transfer codings that a head names, in lower case; it may name them in several fields. */
function transferCodings({'transfer-encoding': codings}: IncomingHttpHeaders): string | undefined {
  return codings === undefined ? undefined : [codings].flat().join(',').trim().toLowerCase();
}

/**
 * How a response that the HTTP parser accepted marks the end of its body (RFC 9112, section 6.3). Fails for transfer
 * codings that no request of a host accepts: without them, callers would get coded bytes for the body.
 */
export function bodyFramingOf({method, statusCode, headers}: FramedHead): BodyFraming {
  if (method === 'HEAD' || statusesWithoutBody.has(statusCode)) {
    return 'none';
  }
  const codings = transferCodings(headers);
  if (codings === 'chunked') {
    return 'chunks';
  }
  if (codings !== undefined && codings !== 'identity') {
    throw new TransferCodingError(`the transfer coding "${codings}" is not accepted`);
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}
