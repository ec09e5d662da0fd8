import type {Backend, Customer, FleetDocument, Route} from '../documentSchema.ts';
import type {Finding} from './finding.ts';
import {serverIdsInService} from './serverIdsInService.ts';
import {keyDigestDigits} from './withoutSecrets.ts';

/** Largest fraction of a backend's servers that one document may take out of service without confirmation. */
const maxLossFraction = 0.5;

/** An entry of one list in both versions; `old` or `now` is undefined where it was added or removed. */
interface Pair<T> {
  readonly id: string;
  readonly old: T | undefined;
  readonly now: T | undefined;
  /** Path of the entry in the new version, or of its list where the entry was removed. */
  readonly path: string;
}

/** Pairs the entries of two lists by id. */
function* pairById<T extends {readonly id: string}>(
  list: string,
  before: readonly T[],
  after: readonly T[],
): Generator<Pair<T>> {
  const entriesBefore = new Map(before.map((entry) => [entry.id, entry]));
  const indexById = new Map(after.map(({id}, index) => [id, index]));
  for (const id of new Set([...entriesBefore.keys(), ...indexById.keys()])) {
    const index = indexById.get(id);
    yield {
      id,
      old: entriesBefore.get(id),
      now: index === undefined ? undefined : after[index],
      path: index === undefined ? list : `${list}.${index}`,
    };
  }
}

/** Creates a difference that needs no confirmation. */
function difference(path: string, message: string): Finding {
  return {severity: 'difference', kind: 'changed', path, message, correction: '', isUnsafe: false};
}

/** Renders the value of a field; text stands without quotes. */
function show(value: unknown): string {
  if (value === undefined) {
    return 'unset';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Differences of the fields of an entry that have no text of their own. */
function fieldDifferences(
  {path, old, now}: Pair<object>,
  name: string,
  ownFields: ReadonlySet<string>,
): Finding[] {
  const findings: Finding[] = [];
  const before = new Map<string, unknown>(Object.entries(old ?? {}));
  const after = new Map<string, unknown>(Object.entries(now ?? {}));
  for (const field of new Set([...before.keys(), ...after.keys()])) {
    const shownBefore = show(before.get(field));
    const shownAfter = show(after.get(field));
    if (!ownFields.has(field) && shownBefore !== shownAfter) {
      const message = `${name}: ${field} ${shownBefore} becomes ${shownAfter}`;
      findings.push(difference(`${path}.${field}`, message));
    }
  }
  return findings;
}

/** Fields of customers that `customerDifferences` describes. */
const customerFields = new Set(['id', 'ratePerSecond', 'burstRequests', 'keyDigests']);

function customerDifferences(pair: Pair<Customer>): Finding[] {
  const {id, old, now, path} = pair;
  if (now === undefined) {
    return [difference(path, `customer ${id} is removed; its keys stop working`)];
  }
  const rateText = `${now.ratePerSecond} requests/s, burst ${now.burstRequests}`;
  if (old === undefined) {
    const message = `customer ${id} is created: ${rateText}, ${now.keyDigests.length} keys`;
    return [difference(path, message)];
  }
  const findings: Finding[] = [];
  if (old.ratePerSecond !== now.ratePerSecond || old.burstRequests !== now.burstRequests) {
    const rateBefore = `${old.ratePerSecond} requests/s, burst ${old.burstRequests}`;
    const message = `customer ${id}: ${rateBefore} becomes ${rateText}`;
    findings.push(difference(`${path}.ratePerSecond`, message));
  }
  const keysBefore = new Set(old.keyDigests.map((digest) => digest.slice(0, keyDigestDigits)));
  const keysAfter = new Set(now.keyDigests.map((digest) => digest.slice(0, keyDigestDigits)));
  const keyPath = `${path}.keyDigests`;
  for (const key of keysAfter) {
    if (!keysBefore.has(key)) {
      findings.push(difference(keyPath, `customer ${id} gets key ${key}…`));
    }
  }
  for (const key of keysBefore) {
    if (!keysAfter.has(key)) {
      const message = `customer ${id} loses key ${key}…: refused everywhere within 5 s`;
      findings.push(difference(keyPath, message));
    }
  }
  return [...findings, ...fieldDifferences(pair, `customer ${id}`, customerFields)];
}

function routeDifferences(pair: Pair<Route>): Finding[] {
  const {id, old, now, path} = pair;
  if (now === undefined) {
    return [difference(path, `route ${id} is removed`)];
  }
  if (old === undefined) {
    return [difference(path, `route ${id} is created: ${now.pathPrefix} to ${now.backend}`)];
  }
  return fieldDifferences(pair, `route ${id}`, new Set());
}

/** Fields of backends that `serverDifferences` and `backendDifferences` describe. */
const backendFields = new Set(['id', 'servers', 'floor']);
/** Fields of servers of which the number in service tells. */
const serverFields = new Set(['id', 'state']);

/** Differences of the servers in service; losing most of them at once is unsafe. */
function serverDifferences(
  path: string,
  now: Backend,
  before: string[],
  after: string[],
): Finding[] {
  const findings: Finding[] = [];
  const floor = now.floor.totalServers;
  const floorText = `floor of ${floor} is ${after.length >= floor ? 'met' : 'not met'}`;
  const lostCount = before.filter((id) => !after.includes(id)).length;
  const gainedCount = after.filter((id) => !before.includes(id)).length;
  if (lostCount > 0) {
    const message = `${now.id} loses ${lostCount} of ${before.length} servers in service, ${after.length} remain: ${floorText}`;
    findings.push(difference(`${path}.servers`, message));
  }
  if (gainedCount > 0) {
    const message = `${now.id} gains ${gainedCount} servers, ${after.length} in service; each goes through slow start`;
    findings.push(difference(`${path}.servers`, message));
  }
  const fewerCount = before.length - after.length;
  if (fewerCount > before.length * maxLossFraction) {
    findings.push({
      severity: 'difference',
      kind: 'servers-lost',
      path: `${path}.servers`,
      message: `${now.id} would lose ${fewerCount} of ${before.length} servers at once`,
      correction: 'take them out of service in several versions',
      isUnsafe: true,
    });
  }
  return findings;
}

function backendDifferences(
  pair: Pair<Backend>,
  before: FleetDocument,
  after: FleetDocument,
): Finding[] {
  const {id, old, now, path} = pair;
  if (old === undefined || now === undefined) {
    return [difference(path, `backend ${id} is ${old === undefined ? 'created' : 'removed'}`)];
  }
  const findings = serverDifferences(
    path,
    now,
    serverIdsInService(before, old),
    serverIdsInService(after, now),
  );
  for (const server of pairById(`${path}.servers`, old.servers, now.servers)) {
    if (server.old !== undefined && server.now !== undefined) {
      findings.push(...fieldDifferences(server, `${id}: server ${server.id}`, serverFields));
    }
  }
  const floors = {id, path: `${path}.floor`, old: old.floor, now: now.floor};
  findings.push(...fieldDifferences(floors, `${id}: floor`, new Set()));
  return [...findings, ...fieldDifferences(pair, id, backendFields)];
}

/** Describes the differences between two versions of the document in words; unsafe ones are marked. */
export function differencesBetween(before: FleetDocument, after: FleetDocument): Finding[] {
  const findings: Finding[] = [];
  for (const {id, old, now, path} of pairById(
    'dataCentres',
    before.dataCentres,
    after.dataCentres,
  )) {
    if (old?.inService !== now?.inService) {
      const state = now?.inService === true ? 'back into' : 'out of';
      findings.push(difference(path, `data centre ${id} is taken ${state} service`));
    }
  }
  const limits = {id: '', path: 'callerLimits', old: before.callerLimits, now: after.callerLimits};
  findings.push(...fieldDifferences(limits, 'limits of callers', new Set()));
  for (const pair of pairById('customers', before.customers, after.customers)) {
    findings.push(...customerDifferences(pair));
  }
  for (const pair of pairById('backends', before.backends, after.backends)) {
    findings.push(...backendDifferences(pair, before, after));
  }
  for (const pair of pairById('routes', before.routes, after.routes)) {
    findings.push(...routeDifferences(pair));
  }
  return findings;
}
