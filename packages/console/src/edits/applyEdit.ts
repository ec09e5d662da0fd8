import {documentSchema} from '@godwitspring/document';
import type {FleetDocument, Route} from '@godwitspring/document';
import type {Edit} from './editSchema.ts';

/** Changes rate and burst of a customer, or adds the customer without keys where the id is new. */
function setCustomer(document: FleetDocument, edit: Extract<Edit, {kind: 'setCustomer'}>): void {
  const {id, ratePerSecond, burstRequests} = edit;
  const existing = document.customers.find((customer) => customer.id === id);
  if (existing === undefined) {
    document.customers.push({id, ratePerSecond, burstRequests, keyDigests: []});
    return;
  }
  Object.assign(existing, {ratePerSecond, burstRequests});
}

/** Changes a route, or adds it for any host name and method where the id is new. */
function setRoute(document: FleetDocument, edit: Extract<Edit, {kind: 'setRoute'}>): void {
  const {id, pathPrefix, backend, access, idempotent, timeoutMs} = edit;
  const openToAll = access === 'open';
  const existing = document.routes.find((route) => route.id === id);
  if (existing !== undefined) {
    Object.assign(existing, {pathPrefix, backend, openToAll, idempotent, timeoutMs});
    return;
  }
  const route: Route = {
    id,
    host: '*',
    pathPrefix,
    methods: [],
    backend,
    openToAll,
    idempotent,
    timeoutMs,
    maxBodyBytes: documentSchema.shape.routes.element.shape.maxBodyBytes.parse(undefined),
  };
  document.routes.push(route);
}

function removeById<T extends {readonly id: string}>(entries: T[], id: string): void {
  const index = entries.findIndex((entry) => entry.id === id);
  if (index >= 0) {
    entries.splice(index, 1);
  }
}

/** Key digests of a customer, to be changed in place; an empty list that is not stored where the id is unknown. */
function keyDigestsOf(document: FleetDocument, id: string): string[] {
  return document.customers.find((customer) => customer.id === id)?.keyDigests ?? [];
}

function withdrawKey(document: FleetDocument, id: string, digest: string): void {
  const digests = keyDigestsOf(document, id);
  const index = digests.indexOf(digest);
  if (index >= 0) {
    digests.splice(index, 1);
  }
}

function setServer(document: FleetDocument, id: string, state: 'in-service' | 'draining'): void {
  for (const {servers} of document.backends) {
    const server = servers.find((candidate) => candidate.id === id);
    if (server !== undefined) {
      server.state = state;
    }
  }
}

/**
 * Returns a copy of the document with one edit applied.
 *
 * An edit of an unknown id has no effect, except that `setCustomer` and `setRoute` add the entry. References
 * between entries are checked later, with the whole document.
 */
export function applyEdit(before: FleetDocument, edit: Edit): FleetDocument {
  const document = structuredClone(before);
  switch (edit.kind) {
    case 'setCustomer':
      setCustomer(document, edit);
      break;
    case 'removeCustomer':
      removeById(document.customers, edit.id);
      break;
    case 'addKey':
      keyDigestsOf(document, edit.id).push(edit.digest);
      break;
    case 'withdrawKey':
      withdrawKey(document, edit.id, edit.digest);
      break;
    case 'setRoute':
      setRoute(document, edit);
      break;
    case 'removeRoute':
      removeById(document.routes, edit.id);
      break;
    case 'setDataCentre':
      Object.assign(document.dataCentres.find(({id}) => id === edit.id) ?? {}, {
        inService: edit.service === 'in',
      });
      break;
    case 'setFloor':
      Object.assign(document.backends.find(({id}) => id === edit.id)?.floor ?? {}, {
        totalServers: edit.totalServers,
      });
      break;
    case 'setServer':
      setServer(document, edit.id, edit.state);
      break;
    case 'addServer': {
      const {backendId, id, origin, dataCentre} = edit;
      const backend = document.backends.find((candidate) => candidate.id === backendId);
      backend?.servers.push({id, origin, dataCentre, state: 'in-service'});
      break;
    }
    case 'removeServer':
      for (const {servers} of document.backends) {
        removeById(servers, edit.id);
      }
      break;
  }
  return document;
}
