import type {IncomingHttpHeaders} from 'node:http';

/** Headers as names and values in turn, the way `undici` and `writeHead` take them. */
export type HeaderMap = Record<string, string | string[]>;

/** Header that names the customer to the backend server in place of the key. */
export const customerHeader = 'x-customer-id';
/** Header that carries the identity of one attempt; a server may send it back. */
export const requestIdHeader = 'x-request-id';
/** Header that carries the time left for the answer, in ms. */
export const deadlineHeader = 'x-request-timeout-ms';

/** Hop-by-hop fields of RFC 9110, section 7.6.1, and those that this host sets itself. */
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

function namedByConnection(headers: IncomingHttpHeaders): Set<string> {
  const names = new Set<string>();
  for (const name of (headers.connection ?? '').split(',')) {
    names.add(name.trim().toLowerCase());
  }
  return names;
}

/** Headers that go on to the next hop, without those in `dropped`. */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
  dropped: readonly string[] = [],
): HeaderMap {
  const connectionNames = namedByConnection(headers);
  const kept: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped =
      hopByHopNames.has(name) || connectionNames.has(name) || dropped.includes(name);
    if (value !== undefined && !isDropped) {
      kept[name] = value;
    }
  }
  return kept;
}
