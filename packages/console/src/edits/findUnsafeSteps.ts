import type {FleetDocument} from '@godwitspring/document';
import {serversInService} from './capacity.ts';

const mostLostAtOnce = 0.5;

/** Steps that are valid but unsafe, and asked for a second time before they are put out. */
export function findUnsafeSteps(before: FleetDocument, after: FleetDocument): string[] {
  const steps: string[] = [];
  for (const backend of after.backends) {
    const has = serversInService(after, backend).length;
    const floor = backend.floor.totalServers;
    if (has < floor) {
      steps.push(`${backend.id} would have ${has} servers in service, below its floor of ${floor}`);
    }
    const old = before.backends.find(({id}) => id === backend.id);
    const had = old === undefined ? 0 : serversInService(before, old).length;
    if (had - has > had * mostLostAtOnce) {
      steps.push(`${backend.id} would lose ${had - has} of ${had} servers at once`);
    }
  }
  for (const {id, burstRequests, ratePerSecond} of after.customers) {
    if (burstRequests < ratePerSecond / 10) {
      steps.push(`customer ${id}: burst ${burstRequests} is under a tenth of a second of its rate`);
    }
  }
  return steps;
}
