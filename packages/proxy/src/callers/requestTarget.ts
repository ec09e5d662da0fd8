import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

/** Host and path of a request, as used for routing. */
export interface RequestTarget {
  /** Host name in lower case, without port. */
  readonly host: string;
  readonly path: string;
  /** Path and query as sent to the backend server. */
  readonly pathAndQuery: string;
}

/** Matches paths that two HTTP implementations may normalise differently. */
const ambiguousPath = /(^|\/)\.{1,2}(\/|$)|\\|%5c|%2f|\/\/|#/i;

/** Characters that mean the same encoded and not (RFC 3986, section 2.3). */
const unreserved = /^[a-z0-9._~-]$/i;

/** Decodes the percent-encoded characters of a path that need no encoding, as a server may do. */
function decodeUnreserved(path: string): string {
  return path.replaceAll(/%([0-9a-f]{2})/gi, (encoded, digits: string) => {
    const character = String.fromCharCode(Number.parseInt(digits, 16));
    return unreserved.test(character) ? character : encoded;
  });
}

/**
 * Reads the target of a request; rejects paths that a server might interpret as a different path.
 *
 * Dot segments, encoded slashes, backslashes, empty segments and fragments are rejected, unless paths are opaque, and
 * characters that need no encoding are decoded, so that the path by which the route is chosen is the one that the server
 * serves. The server gets path and query as they were sent.
 */
export function readRequestTarget(
  url: string,
  hostHeader: string | undefined,
  {isPathOpaque}: {readonly isPathOpaque: boolean},
): Result<RequestTarget, string> {
  if (hostHeader === undefined || !/^[a-z0-9.:[\]_-]+$/i.test(hostHeader)) {
    return err('the Host header is missing or malformed');
  }
  if (!url.startsWith('/')) {
    return err('the request target must be a path');
  }
  const sentPath = url.split('?', 1)[0] ?? '/';
  const path = isPathOpaque ? sentPath : decodeUnreserved(sentPath);
  if (!isPathOpaque && ambiguousPath.test(path)) {
    return err('the path has dot segments, empty segments, encoded slashes or a fragment');
  }
  const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
  return ok({host, path, pathAndQuery: url});
}
