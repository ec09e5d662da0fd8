import type {Backend, Customer, FleetDocument, Route} from '@godwitspring/document';
import {serverIdsInService} from './serverIdsInService.ts';

/** Indexes entries by their id. */
function byId<T extends {readonly id: string}>(entries: readonly T[]): Map<string, T> {
  return new Map(entries.map((entry) => [entry.id, entry]));
}

/** Pairs the entries of two lists by id; `old` or `now` is undefined where an entry was added or removed. */
function* pairById<T extends {readonly id: string}>(
  before: readonly T[],
  after: readonly T[],
): Generator<{id: string; old: T | undefined; now: T | undefined}> {
  const entriesBefore = byId(before);
  const entriesAfter = byId(after);
  for (const id of new Set([...entriesBefore.keys(), ...entriesAfter.keys()])) {
    yield {id, old: entriesBefore.get(id), now: entriesAfter.get(id)};
  }
}

function customerChanges(
  id: string,
  old: Customer | undefined,
  now: Customer | undefined,
): string[] {
  if (now === undefined) {
    return [`customer ${id} is removed; its keys stop working`];
  }
  const rateText = `${now.ratePerSecond} requests/s, burst ${now.burstRequests}`;
  if (old === undefined) {
    return [`customer ${id} is created: ${rateText}, ${now.keyDigests.length} keys`];
  }
  const changes: string[] = [];
  if (old.ratePerSecond !== now.ratePerSecond || old.burstRequests !== now.burstRequests) {
    changes.push(
      `customer ${id}: ${old.ratePerSecond} requests/s, burst ${old.burstRequests} becomes ${rateText}`,
    );
  }
  for (const digest of now.keyDigests.filter((candidate) => !old.keyDigests.includes(candidate))) {
    changes.push(`customer ${id} gets key ${digest.slice(0, 12)}…`);
  }
  for (const digest of old.keyDigests.filter((candidate) => !now.keyDigests.includes(candidate))) {
    changes.push(`customer ${id} loses key ${digest.slice(0, 12)}…: refused everywhere within 5 s`);
  }
  return changes;
}

function routeChanges(id: string, old: Route | undefined, now: Route | undefined): string[] {
  if (now === undefined) {
    return [`route ${id} is removed`];
  }
  if (old === undefined) {
    return [`route ${id} is created: ${now.pathPrefix} to ${now.backend}`];
  }
  const changes: string[] = [];
  for (const field of [
    'host',
    'pathPrefix',
    'backend',
    'openToAll',
    'idempotent',
    'timeoutMs',
  ] as const) {
    if (old[field] !== now[field]) {
      changes.push(`route ${id}: ${field} ${String(old[field])} becomes ${String(now[field])}`);
    }
  }
  return changes;
}

function backendChanges(
  old: Backend | undefined,
  now: Backend | undefined,
  before: FleetDocument,
  after: FleetDocument,
): string[] {
  if (old === undefined || now === undefined) {
    const id = old?.id ?? now?.id ?? '';
    return [`backend ${id} is ${old === undefined ? 'created' : 'removed'}`];
  }
  const changes: string[] = [];
  const serverIdsBefore = serverIdsInService(before, old);
  const serverIdsAfter = serverIdsInService(after, now);
  const floor = now.floor.totalServers;
  const lostCount = serverIdsBefore.filter((id) => !serverIdsAfter.includes(id)).length;
  const gainedCount = serverIdsAfter.filter((id) => !serverIdsBefore.includes(id)).length;
  const floorCheck =
    serverIdsAfter.length >= floor ? `floor of ${floor} is met` : `floor of ${floor} is not met`;
  if (lostCount > 0) {
    changes.push(
      `${now.id} loses ${lostCount} of ${serverIdsBefore.length} servers in service, ${serverIdsAfter.length} remain: ${floorCheck}`,
    );
  }
  if (gainedCount > 0) {
    changes.push(
      `${now.id} gains ${gainedCount} servers, ${serverIdsAfter.length} in service; each goes through slow start`,
    );
  }
  if (old.floor.totalServers !== floor) {
    changes.push(`${now.id}: floor ${old.floor.totalServers} becomes ${floor}`);
  }
  return changes;
}

/** Describes in words the differences between two versions of the document, one line per difference. */
export function describeChanges(before: FleetDocument, after: FleetDocument): string[] {
  const changes: string[] = [];
  for (const {id, old, now} of pairById(before.dataCentres, after.dataCentres)) {
    if (old?.inService !== now?.inService) {
      changes.push(
        `data centre ${id} is taken ${now?.inService === true ? 'back into' : 'out of'} service`,
      );
    }
  }
  for (const {id, old, now} of pairById(before.customers, after.customers)) {
    changes.push(...customerChanges(id, old, now));
  }
  for (const {old, now} of pairById(before.backends, after.backends)) {
    changes.push(...backendChanges(old, now, before, after));
  }
  for (const {id, old, now} of pairById(before.routes, after.routes)) {
    changes.push(...routeChanges(id, old, now));
  }
  return changes;
}
