import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {documentSchema} from './documentSchema.ts';
import type {Backend, FleetDocument} from './documentSchema.ts';
import type {Fault} from './fault.ts';
import {faultsFromZod, renderValue} from './faultsFromZod.ts';

function repeated(values: Iterable<string>): Set<string> {
  const seen = new Set<string>();
  const twice = new Set<string>();
  for (const value of values) {
    if (seen.has(value)) {
      twice.add(value);
    }
    seen.add(value);
  }
  return twice;
}

function repeatFaults(path: string, ids: readonly string[]): Fault[] {
  const faults: Fault[] = [];
  for (const id of repeated(ids)) {
    faults.push({
      path,
      value: renderValue(id),
      message: `id "${id}" stands twice; rename one`,
    });
  }
  return faults;
}

function keyFaults(document: FleetDocument): Fault[] {
  const faults: Fault[] = [];
  const ownerByDigest = new Map<string, string>();
  for (const [index, customer] of document.customers.entries()) {
    for (const digest of customer.keyDigests) {
      const owner = ownerByDigest.get(digest);
      if (owner !== undefined) {
        faults.push({
          path: `customers.${index}.keyDigests`,
          value: renderValue(digest),
          message: `the key already belongs to customer "${owner}"; make a new key`,
        });
      }
      ownerByDigest.set(digest, customer.id);
    }
  }
  return faults;
}

function floorFaults(backend: Backend, path: string): Fault[] {
  const faults: Fault[] = [];
  const {floor, servers} = backend;
  if (floor.totalServers > servers.length) {
    faults.push({
      path: `${path}.floor.totalServers`,
      value: renderValue(floor.totalServers),
      message: `floor is above the ${servers.length} servers of backend "${backend.id}"; lower it or add servers`,
    });
  }
  for (const [dataCentre, least] of Object.entries(floor.serversByDataCentre)) {
    const present = servers.filter((server) => server.dataCentre === dataCentre).length;
    if (least > present) {
      faults.push({
        path: `${path}.floor.serversByDataCentre.${dataCentre}`,
        value: renderValue(least),
        message: `floor is above the ${present} servers of backend "${backend.id}" there; lower it or add servers`,
      });
    }
  }
  return faults;
}

function backendFaults(document: FleetDocument): Fault[] {
  const faults: Fault[] = [];
  const dataCentres = new Set(document.dataCentres.map(({id}) => id));
  for (const [index, backend] of document.backends.entries()) {
    const path = `backends.${index}`;
    faults.push(...floorFaults(backend, path));
    for (const [serverIndex, server] of backend.servers.entries()) {
      if (dataCentres.has(server.dataCentre)) {
        continue;
      }
      faults.push({
        path: `${path}.servers.${serverIndex}.dataCentre`,
        value: renderValue(server.dataCentre),
        message: `data centre "${server.dataCentre}" does not exist; add it to dataCentres or correct the name`,
      });
    }
  }
  return faults;
}

function missingBackend(path: string, backend: string): Fault {
  return {
    path,
    value: renderValue(backend),
    message: `backend "${backend}" does not exist; add it to backends or correct the name`,
  };
}

function routeFaults(document: FleetDocument): Fault[] {
  const faults: Fault[] = [];
  const backends = new Set(document.backends.map(({id}) => id));
  for (const [index, route] of document.routes.entries()) {
    if (!backends.has(route.backend)) {
      faults.push(missingBackend(`routes.${index}.backend`, route.backend));
    }
    for (const [partIndex, {backend}] of (route.split ?? []).entries()) {
      if (!backends.has(backend)) {
        faults.push(missingBackend(`routes.${index}.split.${partIndex}.backend`, backend));
      }
    }
  }
  return faults;
}

function referenceFaults(document: FleetDocument): Fault[] {
  const servers = document.backends.flatMap((backend) => backend.servers);
  return [
    ...repeatFaults(
      'dataCentres',
      document.dataCentres.map(({id}) => id),
    ),
    ...repeatFaults(
      'customers',
      document.customers.map(({id}) => id),
    ),
    ...repeatFaults(
      'backends',
      document.backends.map(({id}) => id),
    ),
    ...repeatFaults(
      'backends.servers',
      servers.map(({id}) => id),
    ),
    ...repeatFaults(
      'routes',
      document.routes.map(({id}) => id),
    ),
    ...keyFaults(document),
    ...backendFaults(document),
    ...routeFaults(document),
  ];
}

/** Checks shape and references of a document; lists every fault found. */
export function checkDocument(input: unknown): Result<FleetDocument, Fault[]> {
  const parsed = documentSchema.safeParse(input);
  if (!parsed.success) {
    return err(faultsFromZod(parsed.error, input));
  }
  const faults = referenceFaults(parsed.data);
  return faults.length === 0 ? ok(parsed.data) : err(faults);
}
