import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {publishedDocumentSchema} from './documentSchema.ts';
import type {Backend, FleetDocument} from './documentSchema.ts';
import type {ValidationIssue} from './validationIssue.ts';
import {issuesFromZod, renderValue} from './issuesFromZod.ts';

/** Id: 1 to 63 lower-case letters, digits, dots and hyphens, the first a letter or digit. */
const idPattern = /^[a-z0-9][a-z0-9.-]{0,62}$/;

/** Values that occur more than once. */
function duplicatesIn(values: Iterable<string>): Set<string> {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const value of values) {
    if (seen.has(value)) {
      duplicates.add(value);
    }
    seen.add(value);
  }
  return duplicates;
}

/** Issues for ids that are used more than once in one list of the document. */
function duplicateIdIssues(path: string, ids: readonly string[]): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  for (const id of duplicatesIn(ids)) {
    issues.push({
      path,
      value: renderValue(id),
      message: `id "${id}" is used more than once; rename the duplicate`,
    });
  }
  return issues;
}

/** Issues for ids that are not safe to use in file names, metrics and addresses of the console. */
function malformedIdIssues(path: string, ids: readonly string[]): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  for (const [index, id] of ids.entries()) {
    if (!idPattern.test(id)) {
      issues.push({
        path: `${path}.${index}.id`,
        value: renderValue(id),
        message: 'must be 1 to 63 lower-case letters, digits, dots or hyphens; rename it',
      });
    }
  }
  return issues;
}

/** Issues for API keys that belong to more than one customer. */
function duplicateKeyIssues(document: FleetDocument): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  const ownerByDigest = new Map<string, string>();
  for (const [index, customer] of document.customers.entries()) {
    for (const digest of customer.keyDigests) {
      const owner = ownerByDigest.get(digest);
      if (owner !== undefined) {
        issues.push({
          path: `customers.${index}.keyDigests`,
          value: renderValue(digest),
          message: `the key already belongs to customer "${owner}"; generate a new key`,
        });
      }
      ownerByDigest.set(digest, customer.id);
    }
  }
  return issues;
}

/** Issues for a floor that requires more servers in service than the backend has. */
function floorIssues(backend: Backend, path: string): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  const {floor, servers} = backend;
  if (floor.totalServers > servers.length) {
    issues.push({
      path: `${path}.floor.totalServers`,
      value: renderValue(floor.totalServers),
      message: `floor is above the ${servers.length} servers of backend "${backend.id}"; lower it or add servers`,
    });
  }
  for (const [dataCentre, minServers] of Object.entries(floor.serversByDataCentre)) {
    const serverCount = servers.filter((server) => server.dataCentre === dataCentre).length;
    if (minServers > serverCount) {
      issues.push({
        path: `${path}.floor.serversByDataCentre.${dataCentre}`,
        value: renderValue(minServers),
        message: `floor is above the ${serverCount} servers of backend "${backend.id}" in this data centre; lower it or add servers`,
      });
    }
  }
  return issues;
}

/**
 * Issues for hedging that is enabled with a share of 0. Each home allows a few hedged attempts beyond the shares,
 * so that a share of 0 does not turn hedging off.
 */
function hedgingIssues({hedging}: Backend, path: string): ValidationIssue[] {
  if (hedging?.enabled !== true) {
    return [];
  }
  const issues: ValidationIssue[] = [];
  for (const field of ['maxAttemptShare', 'maxBusyShare'] as const) {
    if (hedging[field] === 0) {
      issues.push({
        path: `${path}.hedging.${field}`,
        value: renderValue(hedging[field]),
        message:
          'must be above 0 while hedging is enabled; set enabled to false to send no hedged attempts',
      });
    }
  }
  return issues;
}

/** Issues for floors, for hedging limits, and for servers in data centres that the document does not define. */
function backendIssues(document: FleetDocument): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  const dataCentres = new Set(document.dataCentres.map(({id}) => id));
  for (const [index, backend] of document.backends.entries()) {
    const path = `backends.${index}`;
    issues.push(...floorIssues(backend, path), ...hedgingIssues(backend, path));
    for (const [serverIndex, server] of backend.servers.entries()) {
      if (dataCentres.has(server.dataCentre)) {
        continue;
      }
      issues.push({
        path: `${path}.servers.${serverIndex}.dataCentre`,
        value: renderValue(server.dataCentre),
        message: `data centre "${server.dataCentre}" does not exist; add it to dataCentres or correct the name`,
      });
    }
  }
  return issues;
}

/** Issue for a reference to a backend that the document does not define. */
function missingBackendIssue(path: string, backend: string): ValidationIssue {
  return {
    path,
    value: renderValue(backend),
    message: `backend "${backend}" does not exist; add it to backends or correct the name`,
  };
}

/** Issues for routes that refer to backends that the document does not define. */
function routeIssues(document: FleetDocument): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  const backends = new Set(document.backends.map(({id}) => id));
  for (const [index, route] of document.routes.entries()) {
    if (!backends.has(route.backend)) {
      issues.push(missingBackendIssue(`routes.${index}.backend`, route.backend));
    }
    for (const [partIndex, {backend}] of (route.split ?? []).entries()) {
      if (!backends.has(backend)) {
        issues.push(missingBackendIssue(`routes.${index}.split.${partIndex}.backend`, backend));
      }
    }
  }
  return issues;
}

/** Issues for the ids of one list of the document: malformed ones and duplicates. */
function idIssues(path: string, entries: readonly {readonly id: string}[]): ValidationIssue[] {
  const ids = entries.map(({id}) => id);
  return [...malformedIdIssues(path, ids), ...duplicateIdIssues(path, ids)];
}

/** Issues for the ids of the backend servers, which are unique over all backends. */
function serverIdIssues({backends}: FleetDocument): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  for (const [index, {servers}] of backends.entries()) {
    const ids = servers.map(({id}) => id);
    issues.push(...malformedIdIssues(`backends.${index}.servers`, ids));
  }
  const ids = backends.flatMap(({servers}) => servers.map(({id}) => id));
  return [...issues, ...duplicateIdIssues('backends.servers', ids)];
}

/** Every malformed id and every inconsistency between the parts of a document whose shape is valid. */
function consistencyIssues(document: FleetDocument): ValidationIssue[] {
  return [
    ...idIssues('dataCentres', document.dataCentres),
    ...idIssues('customers', document.customers),
    ...idIssues('backends', document.backends),
    ...serverIdIssues(document),
    ...idIssues('routes', document.routes),
    ...duplicateKeyIssues(document),
    ...backendIssues(document),
    ...routeIssues(document),
  ];
}

/**
 * Validates a configuration document: first its shape, then the consistency of its parts. On failure it
 * returns every issue found in the stage that failed.
 */
export function checkDocument(input: unknown): Result<FleetDocument, ValidationIssue[]> {
  const parsed = publishedDocumentSchema.safeParse(input);
  if (!parsed.success) {
    return err(issuesFromZod(parsed.error, input));
  }
  const issues = consistencyIssues(parsed.data);
  return issues.length === 0 ? ok(parsed.data) : err(issues);
}
