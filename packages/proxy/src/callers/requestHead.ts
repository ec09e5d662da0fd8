import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

/** Length of a request digest, in hex digits. */
const digestLength = 32;

/** Declared size of a request body, in bytes; undefined where the body is chunked. */
export function declaredBodyBytes({headers}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) {
    return undefined;
  }
  return Number(headers['content-length'] ?? 0);
}

/** Value of a header; undefined where it is absent, empty or a list of several values. */
export function singleHeader({headers}: IncomingMessage, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** SHA-256 of the bytes of a caller's key, in hex; undefined where there is no key. `node:http` reads headers as Latin-1. */
export function digestOfKey(key: string | undefined): string | undefined {
  return key === undefined ? undefined : createHash('sha256').update(key, 'latin1').digest('hex');
}

/** Time budget that the caller sets in the header `deadlineHeader`, in ms; undefined where absent or invalid. */
export function budgetMs(incoming: IncomingMessage, deadlineHeader: string): number | undefined {
  const given = Number(singleHeader(incoming, deadlineHeader) ?? Number.NaN);
  return Number.isFinite(given) && given >= 0 ? given : undefined;
}

/**
 * Digest by which duplicates of a request are recognised: of method, target and body. A streamed body counts
 * by its declared size only.
 */
export function requestDigest(incoming: IncomingMessage, body: Buffer | undefined): string {
  const hash = createHash('sha256').update(`${incoming.method ?? ''} ${incoming.url ?? ''}\n`);
  hash.update(body ?? String(declaredBodyBytes(incoming)));
  return hash.digest('hex').slice(0, digestLength);
}
