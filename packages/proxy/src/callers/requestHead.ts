import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

const digestLength = 32;

/** Size of the body that follows, in bytes; undefined where it comes in chunks. */
export function announcedBytes({headers}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) {
    return undefined;
  }
  return Number(headers['content-length'] ?? 0);
}

/** Value of a header that stands once; undefined where it is absent or empty. */
export function singleHeader({headers}: IncomingMessage, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** SHA-256 of a key, in hex. */
export function digestOfKey(key: string | undefined): string | undefined {
  return key === undefined ? undefined : createHash('sha256').update(key).digest('hex');
}

/** Time that the caller gives in a header, in ms. */
export function budgetMs(incoming: IncomingMessage, deadlineHeader: string): number | undefined {
  const given = Number(singleHeader(incoming, deadlineHeader) ?? Number.NaN);
  return Number.isFinite(given) && given >= 0 ? given : undefined;
}

/** Names repeats of the same request; a streamed body counts by its announced size. */
export function requestDigest(incoming: IncomingMessage, body: Buffer | undefined): string {
  const hash = createHash('sha256').update(`${incoming.method ?? ''} ${incoming.url ?? ''}\n`);
  hash.update(body ?? String(announcedBytes(incoming)));
  return hash.digest('hex').slice(0, digestLength);
}
