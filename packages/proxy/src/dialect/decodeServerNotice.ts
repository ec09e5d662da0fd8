import type {IncomingHttpHeaders} from 'node:http';
import type {ServerNotice} from '@godwitspring/core';

/** Names of the response headers in which a server states something about itself, in lower case. */
export interface ServerNoticeHeaders {
  /** Requests per second that the server accepts from the whole fleet, as a decimal number. */
  readonly limit: string;
  /** `1` where the server will stop soon. */
  readonly leaving: string;
  /** Time for which a server that refuses a request wants no other from the same host, in seconds. */
  readonly retryAfter: string;
}

/** Status of a refusal for which `retryAfter` counts. */
const unavailableStatus = 503;

/** Value of a header as a number of 0 or more; undefined where it is absent or no such number. */
function nonNegativeNumber(value: string | string[] | undefined): number | undefined {
  if (typeof value !== 'string' || value.trim() === '') {
    return undefined;
  }
  const number = Number(value);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}

/**
 * Decodes what a server states about itself in the status and headers of a response; values that cannot be read,
 * such as a date in place of seconds, are left out.
 */
export function decodeServerNotice(
  status: number,
  headers: IncomingHttpHeaders,
  names: ServerNoticeHeaders,
): ServerNotice {
  const retryAfterS =
    status === unavailableStatus ? nonNegativeNumber(headers[names.retryAfter]) : undefined;
  return {
    limitPerSecond: nonNegativeNumber(headers[names.limit]),
    isLeaving: headers[names.leaving] === '1' ? true : undefined,
    retryAfterMs: retryAfterS === undefined ? undefined : retryAfterS * 1_000,
  };
}
