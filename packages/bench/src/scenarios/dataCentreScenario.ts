import type {HashFunction} from '@godwitspring/core';
import type {FleetDocument} from '@godwitspring/document';
import {MemoryFleet} from '../fleet/memoryFleet.ts';
import {steadyLoad} from '../fleet/steadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

const settleMs = 16_000;
const phaseMs = 20_000;
const customers = [
  {id: 'large', ratePerSecond: 500, burstRequests: 500},
  {id: 'payer', ratePerSecond: 100, burstRequests: 100},
];

/** Service while a data centre is taken out and comes back, and the time to its last new request. */
export function measureDataCentre(hostCount: number, isAbrupt: boolean, hash: HashFunction): Row {
  const base = testDocument({customers, serverCount: 30, floorServers: 15});
  const fleet = new MemoryFleet({
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
  fleet.run(settleMs);
  const load = {forMs: 3 * phaseMs};
  steadyLoad(fleet, {customerId: 'large', perSecond: 300, ...load, seed: 1});
  steadyLoad(fleet, {
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
  const inDcOut = new Set(
    base.backends[0]?.servers.filter(({dataCentre}) => dataCentre === 'dc-2').map(({id}) => id),
  );
  const lastNew = fleet.attempts
    .filter(
      ({serverId, atMs}) => inDcOut.has(serverId) && atMs >= outAtMs && atMs < outAtMs + phaseMs,
    )
    .at(-1);
  const share = (customerId: string): number => {
    const own = fleet.outcomes.filter(
      (one) => one.customerId === customerId && one.arrivedAtMs >= outAtMs,
    );
    return own.filter(({status}) => status === 200).length / Math.max(1, own.length);
  };
  const inDoubt = fleet.outcomes.filter(
    ({customerId, toldOutcome, arrivedAtMs}) =>
      customerId === 'payer' && toldOutcome === 'unknown' && arrivedAtMs >= outAtMs,
  ).length;
  return {
    case: isAbrupt ? 'servers die, taken out 3 s later' : 'taken out in order',
    'idempotent answered': round(share('large'), 4),
    'payments answered': round(share('payer'), 4),
    'payments in doubt': inDoubt,
    'last new request after ms': lastNew === undefined ? 0 : Math.round(lastNew.atMs - outAtMs),
  };
}
