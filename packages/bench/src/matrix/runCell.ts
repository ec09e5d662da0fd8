import type {HashFunction} from '@godwitspring/core';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {CellContext, cellCustomers, startupMs} from './cellContext.ts';
import type {Fault} from './faultTable.ts';
import {checkCurrentState, checkHistory} from './invariants.ts';
import {stoppedHostId} from './stepTable.ts';
import type {Step} from './stepTable.ts';

/** One cell of the fault matrix: one or two faults, injected at one step of a process. */
export interface Cell {
  readonly faults: readonly Fault[];
  readonly step: Step;
  readonly seed: number;
}

/** Result of one cell. */
export interface CellResult {
  readonly name: string;
  readonly seed: number;
  /** Invariants that were violated; empty for a cell that passed. */
  readonly broken: readonly string[];
}

/** Time from the start of a fault to its end, in ms. */
const faultDurationMs = 6_000;
/** Interval of the checks of the present state, in ms. */
const checkEveryMs = 500;
/** Duration of the load and of the checks of the present state, in ms. */
const runMs = 24_000;
/** Time after which the faults start even though the step was not reached, in ms. */
const stepTimeoutMs = 2_000;
/** Time from the first fault of a pair to the second, in ms. */
const secondFaultAfterMs = 300;
/** Time within which a request must be served once the faults are over, in ms. */
const livenessTimeoutMs = 3_000;
/** Largest relative deviation of clock rates without the fault `clock drift`. */
const typicalClockDrift = 0.0002;
/** Largest relative deviation of clock rates under the fault `clock drift`. */
const largestClockDrift = 0.0005;
/** Load of a customer, as a multiple of its rate. */
const overloadFactor = 1.5;

/** Name of a cell: its faults, process and step. Known failures are listed by this name. */
export function cellName({faults, step}: Pick<Cell, 'faults' | 'step'>): string {
  return `${faults.map(({name}) => name).join(' + ')} @ ${step.process}: ${step.name}`;
}

function sendLoad({fleet}: CellContext, seed: number): void {
  for (const [index, {id, ratePerSecond}] of cellCustomers.entries()) {
    if (id === 'probe') {
      continue;
    }
    const perSecond = id === 'leaver' ? 5 : ratePerSecond * overloadFactor;
    sendSteadyLoad(fleet, {customerId: id, perSecond, forMs: runMs, seed: seed * 10 + index});
  }
}

function startFaults(context: CellContext, {faults}: Cell): void {
  for (const [index, fault] of faults.entries()) {
    context.fleet.after(index * secondFaultAfterMs, () => {
      fault.start(context);
    });
    context.fleet.after(index * secondFaultAfterMs + faultDurationMs, () => {
      fault.stop(context);
    });
  }
}

/** Starts the process, and the faults as soon as a host reaches the step or, at the latest, after 2 s. */
function beginStep(context: CellContext, cell: Cell): void {
  let hasStarted = false;
  const start = (hostId: string): void => {
    if (hasStarted) {
      return;
    }
    hasStarted = true;
    stop();
    context.targetHostId = hostId;
    context.fleet.after(0, () => {
      startFaults(context, cell);
    });
  };
  const stop = context.listen((hostId, effect) => {
    if (cell.step.isReached(effect)) {
      start(hostId);
    }
  });
  cell.step.begin(context);
  context.fleet.after(stepTimeoutMs, () => {
    start(context.targetHostId);
  });
}

/** Once the faults are over, every host that runs and is listed must serve a request. */
function checkLiveness(context: CellContext): string[] {
  const {fleet} = context;
  const names = new Map<string, string>();
  for (const [id, host] of fleet.hosts) {
    if (host.isUp && context.listedHostIds.has(id) && id !== stoppedHostId) {
      names.set(fleet.request(id, 'probe'), id);
    }
  }
  fleet.run(livenessTimeoutMs);
  const violations: string[] = [];
  for (const [name, id] of names) {
    const outcome = fleet.outcomes.find((one) => one.name === name);
    if (outcome?.status !== 200) {
      violations.push(
        `${id} does not serve requests after the faults: ${outcome?.refusal ?? 'no response'}`,
      );
    }
  }
  return violations;
}

/** Runs one cell in virtual time: starts a fleet, injects the faults under load, and checks the invariants. */
export function runCell(cell: Cell, hash: HashFunction): CellResult {
  const hasDrift = cell.faults.some(({name}) => name === 'clock drift');
  const maxClockDrift = hasDrift ? largestClockDrift : typicalClockDrift;
  const context = new CellContext({hash, seed: cell.seed, maxClockDrift});
  context.fleet.run(startupMs);
  sendLoad(context, cell.seed);
  context.fleet.run(1_500);
  beginStep(context, cell);
  const violations = new Set<string>();
  const lastVersions = new Map<string, number>();
  for (let elapsedMs = 0; elapsedMs < runMs; elapsedMs += checkEveryMs) {
    context.fleet.run(checkEveryMs);
    for (const violation of checkCurrentState(context, lastVersions)) {
      violations.add(violation);
    }
  }
  for (const violation of [...checkLiveness(context), ...checkHistory(context)]) {
    violations.add(violation);
  }
  return {name: cellName(cell), seed: cell.seed, broken: [...violations]};
}
