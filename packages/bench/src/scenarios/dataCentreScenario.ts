import type {HashFunction} from '@godwitspring/core';
import type {FleetDocument} from '@godwitspring/document';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

/** Time that the fleet gets before the load starts, in ms. */
const startupMs = 16_000;
/** Duration of each phase: before, without, and after the return of the data centre, in ms. */
const phaseMs = 20_000;
const customers = [
  {id: 'large', ratePerSecond: 500, burstRequests: 500},
  {id: 'payer', ratePerSecond: 100, burstRequests: 100},
];

/**
 * Measures the service while a data centre is taken out of service and returns, and the time until its servers
 * get the last new request. With `isAbrupt` its servers crash 3 s before it is taken out.
 */
export function measureDataCentre(hostCount: number, isAbrupt: boolean, hash: HashFunction): Row {
  const base = testDocument({customers, serverCount: 30, floorServers: 15});
  const fleet = new SimulatedFleet({
    hostCount,
    document: base,
    hash,
    seed: 81,
    server: {serviceMs: 25},
  });
  const publish = (version: number, inService: boolean): void => {
    const document: FleetDocument = structuredClone(base);
    document.version = version;
    for (const dataCentre of document.dataCentres) {
      dataCentre.inService = dataCentre.id !== 'dc-2' || inService;
    }
    fleet.publish(document);
  };
  fleet.run(startupMs);
  const load = {forMs: 3 * phaseMs};
  sendSteadyLoad(fleet, {customerId: 'large', perSecond: 300, ...load, seed: 1});
  sendSteadyLoad(fleet, {
    customerId: 'payer',
    perSecond: 50,
    ...load,
    seed: 2,
    path: '/pagos',
    method: 'POST',
  });
  fleet.run(phaseMs);
  const outAtMs = fleet.queue.nowMs;
  if (isAbrupt) {
    for (const [index, server] of [...fleet.servers.values()].entries()) {
      if (index % 3 === 1) {
        server.crash(phaseMs);
      }
    }
    fleet.after(3_000, () => {
      publish(2, false);
    });
  } else {
    publish(2, false);
  }
  fleet.run(phaseMs);
  publish(3, true);
  fleet.run(phaseMs + 6_000);
  const drainedServerIds = new Set(
    base.backends[0]?.servers.filter(({dataCentre}) => dataCentre === 'dc-2').map(({id}) => id),
  );
  const lastNewAttempt = fleet.attempts
    .filter(
      ({serverId, atMs}) =>
        drainedServerIds.has(serverId) && atMs >= outAtMs && atMs < outAtMs + phaseMs,
    )
    .at(-1);
  const servedShare = (customerId: string): number => {
    const own = fleet.outcomes.filter(
      (one) => one.customerId === customerId && one.arrivedAtMs >= outAtMs,
    );
    return own.filter(({status}) => status === 200).length / Math.max(1, own.length);
  };
  const unknownOutcomes = fleet.outcomes.filter(
    ({customerId, reportedOutcome, arrivedAtMs}) =>
      customerId === 'payer' && reportedOutcome === 'unknown' && arrivedAtMs >= outAtMs,
  ).length;
  return {
    case: isAbrupt ? 'servers die, taken out 3 s later' : 'taken out in order',
    'idempotent answered': round(servedShare('large'), 4),
    'payments answered': round(servedShare('payer'), 4),
    'payments in doubt': unknownOutcomes,
    'last new request after ms':
      lastNewAttempt === undefined ? 0 : Math.round(lastNewAttempt.atMs - outAtMs),
  };
}
