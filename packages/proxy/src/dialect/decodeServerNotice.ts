import type {IncomingHttpHeaders} from 'node:http';
import type {ServerNotice} from '@godwitspring/core';

/** Names of the response headers in which a server states something about itself, in lower case. */
export interface ServerNoticeHeaders {
  /** Requests per second that the server accepts from the whole fleet, as a decimal number. */
  readonly limit: string;
}

/** Value of a header as a number of 0 or more; undefined where it is absent or no such number. */
function nonNegativeNumber(value: string | string[] | undefined): number | undefined {
  if (typeof value !== 'string' || value.trim() === '') {
    return undefined;
  }
  const number = Number(value);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}

/** Decodes what a server states about itself in the headers of a response; values that cannot be read are left out. */
export function decodeServerNotice(
  headers: IncomingHttpHeaders,
  names: ServerNoticeHeaders,
): ServerNotice {
  return {limitPerSecond: nonNegativeNumber(headers[names.limit])};
}
