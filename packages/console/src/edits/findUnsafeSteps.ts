import type {FleetDocument} from '@godwitspring/document';
import {serverIdsInService} from './serverIdsInService.ts';

/** Largest fraction of a backend's servers that one document may take out of service without confirmation. */
const maxLossFraction = 0.5;

/**
 * Lists changes that are valid but risky, so that the operator must confirm them before the document is created.
 *
 * These are: a backend with fewer servers in service than its floor, the loss of a large part of its servers at
 * once, and a customer's burst of less than a tenth of a second of the customer's rate.
 */
export function findUnsafeSteps(before: FleetDocument, after: FleetDocument): string[] {
  const steps: string[] = [];
  for (const backend of after.backends) {
    const countAfter = serverIdsInService(after, backend).length;
    const floor = backend.floor.totalServers;
    if (countAfter < floor) {
      steps.push(
        `${backend.id} would have ${countAfter} servers in service, below its floor of ${floor}`,
      );
    }
    const backendBefore = before.backends.find(({id}) => id === backend.id);
    const countBefore =
      backendBefore === undefined ? 0 : serverIdsInService(before, backendBefore).length;
    if (countBefore - countAfter > countBefore * maxLossFraction) {
      steps.push(
        `${backend.id} would lose ${countBefore - countAfter} of ${countBefore} servers at once`,
      );
    }
  }
  for (const {id, burstRequests, ratePerSecond} of after.customers) {
    if (burstRequests < ratePerSecond / 10) {
      steps.push(
        `customer ${id}: burst ${burstRequests} is less than a tenth of a second of its rate`,
      );
    }
  }
  return steps;
}
