import type {Backend, Customer, FleetDocument, Route} from '@godwitspring/document';
import {serversInService} from './capacity.ts';

function byId<T extends {readonly id: string}>(entries: readonly T[]): Map<string, T> {
  return new Map(entries.map((entry) => [entry.id, entry]));
}

function* pairs<T extends {readonly id: string}>(
  before: readonly T[],
  after: readonly T[],
): Generator<{id: string; old: T | undefined; now: T | undefined}> {
  const olds = byId(before);
  const nows = byId(after);
  for (const id of new Set([...olds.keys(), ...nows.keys()])) {
    yield {id, old: olds.get(id), now: nows.get(id)};
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
  const rate = `${now.ratePerSecond} requests/s, burst ${now.burstRequests}`;
  if (old === undefined) {
    return [`customer ${id} is created: ${rate}, ${now.keyDigests.length} keys`];
  }
  const changes: string[] = [];
  if (old.ratePerSecond !== now.ratePerSecond || old.burstRequests !== now.burstRequests) {
    changes.push(
      `customer ${id}: ${old.ratePerSecond} requests/s, burst ${old.burstRequests} becomes ${rate}`,
    );
  }
  for (const digest of now.keyDigests.filter((one) => !old.keyDigests.includes(one))) {
    changes.push(`customer ${id} gets key ${digest.slice(0, 12)}…`);
  }
  for (const digest of old.keyDigests.filter((one) => !now.keyDigests.includes(one))) {
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
  const had = serversInService(before, old);
  const has = serversInService(after, now);
  const floor = now.floor.totalServers;
  const lost = had.filter((id) => !has.includes(id)).length;
  const gained = has.filter((id) => !had.includes(id)).length;
  const verdict = has.length >= floor ? `floor ${floor} holds` : `floor ${floor} is broken`;
  if (lost > 0) {
    changes.push(
      `${now.id} loses ${lost} of ${had.length} servers, ${has.length} stay: ${verdict}`,
    );
  }
  if (gained > 0) {
    changes.push(`${now.id} gains ${gained} servers, ${has.length} in service; each is ramped up`);
  }
  if (old.floor.totalServers !== floor) {
    changes.push(`${now.id}: floor ${old.floor.totalServers} becomes ${floor}`);
  }
  return changes;
}

/** Says in words what one document changes in another. */
export function describeChanges(before: FleetDocument, after: FleetDocument): string[] {
  const changes: string[] = [];
  for (const {id, old, now} of pairs(before.dataCentres, after.dataCentres)) {
    if (old?.inService !== now?.inService) {
      changes.push(
        `data centre ${id} is taken ${now?.inService === true ? 'back into' : 'out of'} service`,
      );
    }
  }
  for (const {id, old, now} of pairs(before.customers, after.customers)) {
    changes.push(...customerChanges(id, old, now));
  }
  for (const {old, now} of pairs(before.backends, after.backends)) {
    changes.push(...backendChanges(old, now, before, after));
  }
  for (const {id, old, now} of pairs(before.routes, after.routes)) {
    changes.push(...routeChanges(id, old, now));
  }
  return changes;
}
