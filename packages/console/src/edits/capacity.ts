import type {Backend, FleetDocument} from '@godwitspring/document';

/** Servers of a backend that may get work. */
export function serversInService(document: FleetDocument, backend: Backend): string[] {
  const open = new Set(document.dataCentres.filter(({inService}) => inService).map(({id}) => id));
  return backend.servers
    .filter(({state, dataCentre}) => state === 'in-service' && open.has(dataCentre))
    .map(({id}) => id);
}
