import type {Customer, Route} from '@godwitspring/document';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {DocumentIndex} from '../routing/documentIndex.ts';

/** What the head of a request says about its route, its customer and its body. */
export interface ScreenedHead {
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly keyDigest?: string | undefined;
  /** Announced size of the body, in bytes; undefined if it is sent in chunks. */
  readonly bodyBytes?: number | undefined;
}

/** State of the host on which the check of a head depends. */
export interface ScreeningContext {
  /** Index of the configuration document in force; undefined before the first one. */
  readonly index: DocumentIndex | undefined;
  /** True while the host's view of keys and configuration is confirmed within the freshness bound. */
  readonly isFresh: boolean;
  /** True where requests of routes without a key (`openToAll`) are also refused without a fresh view. */
  readonly requiresFreshViewForOpenRoutes: boolean;
  readonly isShuttingDown: boolean;
}

/** Route and customer of a request that its head does not rule out. */
export interface AcceptedHead {
  readonly route: Route;
  readonly customer: Customer | undefined;
  readonly index: DocumentIndex;
}

/** Finds the customer of a request by its key; undefined for a route that needs no key. */
function authenticateCustomer(
  route: Route,
  {keyDigest}: ScreenedHead,
  index: DocumentIndex,
): Customer | ErrorKind | undefined {
  if (route.openToAll) {
    return undefined;
  }
  if (keyDigest === undefined) {
    return 'key-missing';
  }
  return index.customerByKeyDigest(keyDigest) ?? 'key-unknown';
}

/**
 * Checks the head of a request against the document: route, method, key and announced size of the body. Returns the
 * reason for which the request will be refused, so that its body need not be read.
 */
export function screenHead(
  head: ScreenedHead,
  {index, isFresh, requiresFreshViewForOpenRoutes, isShuttingDown}: ScreeningContext,
): AcceptedHead | ErrorKind {
  if (isShuttingDown) {
    return 'shutting-down';
  }
  if (index === undefined) {
    return 'no-configuration';
  }
  if (!isFresh && requiresFreshViewForOpenRoutes) {
    return 'host-not-current';
  }
  const match = index.findRoute(head.host, head.path, head.method);
  if (!isFresh && !(match.kind === 'found' && match.route.openToAll)) {
    return 'host-not-current';
  }
  if (match.kind !== 'found') {
    return match.kind;
  }
  const {route} = match;
  const customer = authenticateCustomer(route, head, index);
  if (typeof customer === 'string') {
    return customer;
  }
  const maxBodyBytes = index.document.callerLimits?.maxBodyBytes ?? route.maxBodyBytes;
  if ((head.bodyBytes ?? 0) > Math.min(route.maxBodyBytes, maxBodyBytes)) {
    return 'body-too-large';
  }
  return {route, customer, index};
}
