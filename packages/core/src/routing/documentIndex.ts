import type {Backend, BackendServer, Customer, FleetDocument, Route} from '@godwitspring/document';

/** Host of routes that match requests to any host. */
const wildcardHost = '*';

/**
 * Yields the prefixes of a path at the boundaries of its segments, longest first, but none that is longer than
 * `maxLength`: for `/a/b` these are `/a/b`, `/a/`, `/a` and `/`. A prefix that ends with a slash thus matches the paths
 * below it, but not the path that lacks its last slash.
 */
function* prefixesOf(path: string, maxLength: number): Generator<string> {
  if (path.length <= maxLength) {
    yield path;
  }
  for (let index = Math.min(path.length - 1, maxLength); index >= 0; index -= 1) {
    if (path[index] !== '/') {
      continue;
    }
    if (index < path.length - 1) {
      yield path.slice(0, index + 1);
    }
    if (index > 0) {
      yield path.slice(0, index);
    }
  }
}

/** The routes of one host name. */
interface HostRoutes {
  readonly byPrefix: Map<string, Route[]>;
  /** Length of the longest prefix, in characters. */
  maxPrefixLength: number;
}

/** Result of a route lookup; a `kind` other than `found` is the error kind of the refusal. */
export type RouteMatch =
  | {readonly kind: 'found'; readonly route: Route}
  | {readonly kind: 'no-route'}
  | {readonly kind: 'method-not-taken'};

/** Lookup tables for one version of the fleet's configuration document. */
export class DocumentIndex {
  readonly document: FleetDocument;
  readonly #routes = new Map<string, HostRoutes>();
  readonly #customersByDigest = new Map<string, Customer>();
  readonly #customers = new Map<string, Customer>();
  readonly #backends = new Map<string, Backend>();
  readonly #dataCentresInService = new Set<string>();

  constructor(document: FleetDocument) {
    this.document = document;
    for (const route of document.routes) {
      this.#addRoute(route);
    }
    for (const customer of document.customers) {
      this.#customers.set(customer.id, customer);
      for (const digest of customer.keyDigests) {
        this.#customersByDigest.set(digest, customer);
      }
    }
    for (const backend of document.backends) {
      this.#backends.set(backend.id, backend);
    }
    for (const dataCentre of document.dataCentres) {
      if (dataCentre.inService) {
        this.#dataCentresInService.add(dataCentre.id);
      }
    }
  }

  /**
   * Finds the route with the longest matching path prefix. A prefix that ends with a slash matches the paths that begin
   * with it; any other matches its own path and those below it.
   *
   * Routes of the exact host are searched before those of the host `*`.
   */
  findRoute(host: string, path: string, method: string): RouteMatch {
    for (const key of [host, wildcardHost]) {
      const hostRoutes = this.#routes.get(key);
      if (hostRoutes === undefined) {
        continue;
      }
      const {byPrefix, maxPrefixLength} = hostRoutes;
      for (const prefix of prefixesOf(path, maxPrefixLength)) {
        const routes = byPrefix.get(prefix);
        if (routes === undefined) {
          continue;
        }
        const route = routes.find(({methods}) => methods.length === 0 || methods.includes(method));
        return route === undefined ? {kind: 'method-not-taken'} : {kind: 'found', route};
      }
    }
    return {kind: 'no-route'};
  }

  /** Finds the customer that owns an API key, by the digest of the key. */
  customerByKeyDigest(digest: string): Customer | undefined {
    return this.#customersByDigest.get(digest);
  }

  customer(id: string): Customer | undefined {
    return this.#customers.get(id);
  }

  backend(id: string): Backend | undefined {
    return this.#backends.get(id);
  }

  /** Servers of a backend that may receive new requests: in service, in a data centre that is in service. */
  serversInService(backend: Backend): BackendServer[] {
    return backend.servers.filter(
      ({state, dataCentre}) => state === 'in-service' && this.#dataCentresInService.has(dataCentre),
    );
  }

  #addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const hostRoutes = this.#routes.get(host) ?? {byPrefix: new Map(), maxPrefixLength: 0};
    const {pathPrefix} = route;
    const routes = hostRoutes.byPrefix.get(pathPrefix) ?? [];
    routes.push(route);
    hostRoutes.byPrefix.set(pathPrefix, routes);
    hostRoutes.maxPrefixLength = Math.max(hostRoutes.maxPrefixLength, pathPrefix.length);
    this.#routes.set(host, hostRoutes);
  }
}
