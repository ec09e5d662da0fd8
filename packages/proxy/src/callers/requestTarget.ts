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
const ambiguousPath = /(^|\/)(\.|%2e){1,2}(\/|$)|\\|%5c|%2f|\/\//i;

/**
 * Reads the target of a request; rejects paths that a server might interpret as a different path.
 *
 * Dot segments, encoded slashes, backslashes and empty segments are rejected, unless paths are opaque, so
 * that the path by which the route was chosen is the one that the server serves.
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
  const path = url.split('?', 1)[0] ?? '/';
  if (!isPathOpaque && ambiguousPath.test(path)) {
    return err('the path has dot segments, empty segments or encoded slashes');
  }
  const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
  return ok({host, path, pathAndQuery: url});
}
