import type {Backend, FleetDocument} from '../documentSchema.ts';

/** Ids of the servers of a backend that may receive requests: not draining, in a data centre in service. */
export function serverIdsInService(document: FleetDocument, backend: Backend): string[] {
  const dataCentresInService = new Set(
    document.dataCentres.filter(({inService}) => inService).map(({id}) => id),
  );
  return backend.servers
    .filter(({state, dataCentre}) => state === 'in-service' && dataCentresInService.has(dataCentre))
    .map(({id}) => id);
}
