import type {Backend, BackendServer, Customer, FleetDocument, Route} from '@godwitspring/document';

/** Host of routes that match requests to any host. */
const wildcardHost = '*';

function withoutTrailingSlash(path: string): string {
  return path.length > 1 && path.endsWith('/') ? path.slice(0, -1) : path;
}

/** Yields the prefixes of a path at segment boundaries, longest first: `/a/b`, `/a`, `/`. */
function* prefixesOf(path: string): Generator<string> {
  let prefix = withoutTrailingSlash(path);
  while (prefix.length > 1) {
    yield prefix;
    prefix = prefix.slice(0, prefix.lastIndexOf('/'));
  }
  yield '/';
}

/** Result of a route lookup; a `kind` other than `found` is the error kind of the refusal. */
export type RouteMatch =
  | {readonly kind: 'found'; readonly route: Route}
  | {readonly kind: 'no-route'}
  | {readonly kind: 'method-not-taken'};

/** Lookup tables for one version of the fleet's configuration document. */
export class DocumentIndex {
  readonly document: FleetDocument;
  readonly #routes = new Map<string, Map<string, Route[]>>();
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
   * Finds the route with the longest matching path prefix.
   *
   * Routes of the exact host are searched before those of the host `*`.
   */
  findRoute(host: string, path: string, method: string): RouteMatch {
    for (const key of [host, wildcardHost]) {
      const routesByPrefix = this.#routes.get(key);
      if (routesByPrefix === undefined) {
        continue;
      }
      for (const prefix of prefixesOf(path)) {
        const routes = routesByPrefix.get(prefix);
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
    const prefix = withoutTrailingSlash(route.pathPrefix);
    const routesByPrefix = this.#routes.get(host) ?? new Map<string, Route[]>();
    const routes = routesByPrefix.get(prefix) ?? [];
    routes.push(route);
    routesByPrefix.set(prefix, routes);
    this.#routes.set(host, routesByPrefix);
  }
}
