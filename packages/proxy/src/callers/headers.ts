import type {IncomingHttpHeaders} from 'node:http';

/** Header values by name, in the form that `undici` and `writeHead` accept. */
export type HeaderMap = Record<string, string | string[]>;

/** Header that names the customer to the backend server, in place of the caller's key. */
export const customerHeader = 'x-customer-id';
/** Header with the name of a request or attempt; a server may echo it. */
export const requestIdHeader = 'x-request-id';
/** Header with the time left for the response, in ms. */
export const deadlineHeader = 'x-request-timeout-ms';
/** Response headers in which a server states something about itself. */
export const serverNoticeHeaders = {
  limit: 'server-limit',
  leaving: 'server-leaving',
  retryAfter: 'retry-after',
} as const;

/**
 * Hop-by-hop header fields of RFC 9110, section 7.6.1, and fields that each hop sets itself, in lower case.
 */
const hopByHopNames: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Value of a header for a text of any characters: its bytes in UTF-8, as `node:http` and `undici` send them. */
export function utf8HeaderValue(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/** Names that the Connection header lists, which are hop-by-hop too. */
function connectionOptions(headers: IncomingHttpHeaders): Set<string> {
  const names = new Set<string>();
  for (const name of (headers.connection ?? '').split(',')) {
    names.add(name.trim().toLowerCase());
  }
  // A response without the length that its server declared could end early like a whole one.
  names.delete('content-length');
  return names;
}

/** Selects the headers to forward to the next hop: all but the hop-by-hop ones and those in `dropped`. */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
  dropped: readonly string[] = [],
): HeaderMap {
  const connectionNames = connectionOptions(headers);
  const forwarded: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped =
      hopByHopNames.has(name) || connectionNames.has(name) || dropped.includes(name);
    if (value !== undefined && !isDropped) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}
