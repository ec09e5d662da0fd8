import {worstExcess} from '../oracles/worstExcess.ts';
import {cellCustomers} from './cellContext.ts';
import type {CellContext} from './cellContext.ts';

/** Least part of a token that counts as a broken bound; covers rounding of sums. */
const roundingTokens = 1e-6;
const keyWithdrawnWithinMs = 5_000;
const drainedWithinMs = 5_000;
const payments = ['probe/cell'];

function checkRates({fleet}: CellContext): string[] {
  const broken: string[] = [];
  for (const customer of cellCustomers) {
    const admittedAtMs = fleet.attempts
      .filter(({customerId, attempt}) => customerId === customer.id && attempt === 1)
      .map(({atMs}) => atMs);
    const excess = worstExcess(customer, admittedAtMs);
    if (excess > roundingTokens) {
      broken.push(`rate of ${customer.id} exceeded by ${excess.toFixed(3)} requests`);
    }
  }
  return broken;
}

function checkRuns({fleet}: CellContext): string[] {
  const broken: string[] = [];
  const runs = new Map<string, number>();
  for (const server of fleet.servers.values()) {
    for (const [name, count] of server.runsByRequest) {
      runs.set(name, (runs.get(name) ?? 0) + count);
    }
  }
  for (const name of payments) {
    if ((runs.get(name) ?? 0) > 1) {
      broken.push(`${name} ran ${runs.get(name)} times`);
    }
  }
  for (const {name, toldOutcome} of fleet.outcomes) {
    if (toldOutcome === 'not-run' && (runs.get(name) ?? 0) > 0) {
      broken.push(`${name} was told not run but ran`);
    }
  }
  return broken;
}

function checkKey({fleet, withdrawnAtMs}: CellContext): string[] {
  if (withdrawnAtMs === undefined) {
    return [];
  }
  const late = fleet.attempts.filter(
    ({customerId, atMs}) => customerId === 'leaver' && atMs > withdrawnAtMs + keyWithdrawnWithinMs,
  );
  return late.length === 0 ? [] : [`withdrawn key used ${late.length} times after 5 s`];
}

function checkDrain({fleet, drainedAtMs}: CellContext): string[] {
  if (drainedAtMs === undefined) {
    return [];
  }
  const late = fleet.attempts.filter(
    ({serverId, atMs}) => serverId === 'nucleo-4' && atMs > drainedAtMs + drainedWithinMs,
  );
  return late.length === 0 ? [] : [`drained server got ${late.length} requests after 5 s`];
}

/** Checks that hold over a whole run. */
export function checkRun(context: CellContext): string[] {
  return [
    ...checkRates(context),
    ...checkRuns(context),
    ...checkKey(context),
    ...checkDrain(context),
  ];
}

interface VerdictView {
  readonly state: string;
}

/** Checks that hold at every moment; `lastVersions` carries the versions seen before. */
export function checkMoment(context: CellContext, lastVersions: Map<string, number>): string[] {
  const broken: string[] = [];
  const out = new Set<string>();
  for (const [id, host] of context.fleet.hosts) {
    if (!host.isUp) {
      lastVersions.delete(id);
      continue;
    }
    const {configuration, serverVerdicts} = host.status();
    const version = Number(configuration?.version ?? 0);
    if (version < (lastVersions.get(id) ?? 0)) {
      broken.push(`${id} went back to version ${version}`);
    }
    lastVersions.set(id, version);
    for (const [serverId, verdict] of Object.entries(serverVerdicts ?? {})) {
      if ((verdict as VerdictView).state !== 'ramping') {
        out.add(serverId);
      }
    }
  }
  const floor = context.document.backends[0]?.floor.totalServers ?? 0;
  const servers = context.document.backends[0]?.servers.length ?? 0;
  if (out.size > servers - floor) {
    broken.push(`${out.size} servers out with a floor of ${floor} of ${servers}`);
  }
  return broken;
}
