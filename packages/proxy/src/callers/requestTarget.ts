import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

/** Path and host of a request, as used for routing. */
export interface RequestTarget {
  readonly host: string;
  readonly path: string;
  /** Path and query as sent to the backend server. */
  readonly pathAndQuery: string;
}

const ambiguousPath = /(^|\/)(\.|%2e){1,2}(\/|$)|\\|%5c|%2f|\/\//i;

/**
 * Reads the target of a request; refuses paths that a server might read as another path.
 *
 * Dot segments, encoded slashes, backslashes and empty segments are refused, so that the route that was
 * checked is the one that the server sees, unless paths are opaque.
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
