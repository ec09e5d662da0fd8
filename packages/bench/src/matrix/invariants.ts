import {worstExcess} from '../oracles/worstExcess.ts';
import {cellCustomers} from './cellContext.ts';
import type {CellContext} from './cellContext.ts';

/** Excess in tokens up to which a limit counts as met; covers rounding errors of sums. */
const roundingTokens = 1e-6;
/** Time within which every host must refuse a withdrawn key, in ms. */
const keyWithdrawnWithinMs = 5_000;
/** Time within which every host must stop sending requests to a drained server, in ms. */
const drainedWithinMs = 5_000;
/** Names under which servers count the executions of payments: `customer/idempotency key`. */
const paymentRunNames = ['probe/cell'];

/** No customer exceeds burst + rate × window in any window. */
function checkRateLimits({fleet}: CellContext): string[] {
  const violations: string[] = [];
  for (const customer of cellCustomers) {
    const admittedAtMs = fleet.attempts
      .filter(({customerId, attempt}) => customerId === customer.id && attempt === 1)
      .map(({atMs}) => atMs);
    const excess = worstExcess(customer, admittedAtMs);
    if (excess > roundingTokens) {
      violations.push(`rate of ${customer.id} exceeded by ${excess.toFixed(3)} requests`);
    }
  }
  return violations;
}

/** Payments run at most once, and no request that was reported as not run has run. */
function checkExecutions({fleet}: CellContext): string[] {
  const violations: string[] = [];
  const runs = new Map<string, number>();
  for (const server of fleet.servers.values()) {
    for (const [name, count] of server.runsByRequest) {
      runs.set(name, (runs.get(name) ?? 0) + count);
    }
  }
  for (const name of paymentRunNames) {
    if ((runs.get(name) ?? 0) > 1) {
      violations.push(`${name} ran ${runs.get(name)} times`);
    }
  }
  for (const {name, reportedOutcome} of fleet.outcomes) {
    if (reportedOutcome === 'not-run' && (runs.get(name) ?? 0) > 0) {
      violations.push(`${name} was reported as not run but ran`);
    }
  }
  return violations;
}

/** No request with the withdrawn key is admitted once the time to withdraw it has passed. */
function checkWithdrawnKey({fleet, keyWithdrawnAtMs}: CellContext): string[] {
  if (keyWithdrawnAtMs === undefined) {
    return [];
  }
  const lateAttempts = fleet.attempts.filter(
    ({customerId, atMs}) =>
      customerId === 'leaver' && atMs > keyWithdrawnAtMs + keyWithdrawnWithinMs,
  );
  return lateAttempts.length === 0
    ? []
    : [`withdrawn key used ${lateAttempts.length} times after 5 s`];
}

/** The drained server gets no request once the time to drain it has passed. */
function checkDrainedServer({fleet, drainedAtMs}: CellContext): string[] {
  if (drainedAtMs === undefined) {
    return [];
  }
  const lateAttempts = fleet.attempts.filter(
    ({serverId, atMs}) => serverId === 'nucleo-4' && atMs > drainedAtMs + drainedWithinMs,
  );
  return lateAttempts.length === 0
    ? []
    : [`drained server got ${lateAttempts.length} requests after 5 s`];
}

/** Checks what happened over a whole run; returns the violations. */
export function checkHistory(context: CellContext): string[] {
  return [
    ...checkRateLimits(context),
    ...checkExecutions(context),
    ...checkWithdrawnKey(context),
    ...checkDrainedServer(context),
  ];
}

/** What the check reads of the health status of a server. */
interface ServerVerdictView {
  readonly state: string;
}

/**
 * Checks the present state: no host returns to an older document, and no more servers are out of service
 * than the floor allows. Returns the violations. `lastVersions` stores the versions of the call before.
 */
export function checkCurrentState(
  context: CellContext,
  lastVersions: Map<string, number>,
): string[] {
  const violations: string[] = [];
  const outOfServiceIds = new Set<string>();
  for (const [id, host] of context.fleet.hosts) {
    if (!host.isUp) {
      lastVersions.delete(id);
      continue;
    }
    const {configuration, serverVerdicts} = host.status();
    const version = Number(configuration?.version ?? 0);
    if (version < (lastVersions.get(id) ?? 0)) {
      violations.push(`${id} returned to the older version ${version}`);
    }
    lastVersions.set(id, version);
    for (const [serverId, verdict] of Object.entries(serverVerdicts ?? {})) {
      if ((verdict as ServerVerdictView).state !== 'ramping') {
        outOfServiceIds.add(serverId);
      }
    }
  }
  const floor = context.document.backends[0]?.floor.totalServers ?? 0;
  const servers = context.document.backends[0]?.servers.length ?? 0;
  if (outOfServiceIds.size > servers - floor) {
    violations.push(
      `${outOfServiceIds.size} servers out of service with a floor of ${floor} of ${servers}`,
    );
  }
  return violations;
}
