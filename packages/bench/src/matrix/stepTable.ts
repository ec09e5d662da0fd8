import type {HostEffect} from '@godwitspring/core';
import type {CellContext} from './cellContext.ts';

/** A step of one of the fleet's processes, such as the processing of a request, at which faults are injected. */
export interface Step {
  readonly process: 'request' | 'lease' | 'configuration' | 'drain' | 'shutdown';
  readonly name: string;
  /** Starts the process. */
  readonly begin: (context: CellContext) => void;
  /** True for the effect of a host that marks the step. */
  readonly isReached: (effect: HostEffect) => boolean;
}

/** Request that must run at most once; its duplicates carry the same idempotency key. */
const payment = {path: '/pagos', method: 'POST', idempotencyKey: 'cell'};
/** Times after which the caller sends a duplicate of the payment to another host, in ms. */
const duplicateAfterMs = [1_000, 7_500];
/** Host that shuts down in the steps of the process `shutdown`. */
export const stoppedHostId = 'host-4';
/** Time from the start of the shutdown to the end of the process, in ms. */
const exitAfterMs = 1_200;

function beginRequest({fleet}: CellContext): void {
  fleet.request('host-1', 'probe', payment);
  for (const [index, afterMs] of duplicateAfterMs.entries()) {
    fleet.after(afterMs, () => fleet.request(`host-${5 + index}`, 'probe', payment));
  }
}

function beginLease(): void {
  // Nothing to start: the load makes hosts renew their loans all the time.
}

function beginConfiguration(context: CellContext): void {
  context.updateDocument(({customers}) => {
    const customer = customers.find(({id}) => id === 'probe');
    if (customer !== undefined) {
      customer.ratePerSecond += 1;
    }
  });
}

function beginDrain(context: CellContext): void {
  context.drain('nucleo-4');
}

function beginShutdown(context: CellContext): void {
  const {fleet} = context;
  fleet.hosts.get(stoppedHostId)?.deliver({type: 'shutdownWanted'});
  fleet.after(exitAfterMs, () => {
    fleet.crashHost(stoppedHostId);
  });
  fleet.after(2 * exitAfterMs, () => {
    context.updateHostList({without: stoppedHostId});
  });
}

function sendsPeerMessage(type: string): (effect: HostEffect) => boolean {
  return (effect) => effect.type === 'sendToPeer' && effect.message.type === type;
}

function hasType(type: string): (effect: HostEffect) => boolean {
  return (effect) => effect.type === type;
}

function logsEvent(event: string): (effect: HostEffect) => boolean {
  return (effect) => effect.type === 'log' && effect.event === event;
}

/** All steps of the matrix. Cell names and seeds derive from the names and the order of this table. */
export const stepTable: readonly Step[] = [
  {
    process: 'request',
    name: 'claim asked',
    begin: beginRequest,
    isReached: sendsPeerMessage('claimAsk'),
  },
  {
    process: 'request',
    name: 'claim answered',
    begin: beginRequest,
    isReached: sendsPeerMessage('claimAnswer'),
  },
  {
    process: 'request',
    name: 'token asked',
    begin: beginRequest,
    isReached: sendsPeerMessage('tokenAsk'),
  },
  {
    process: 'request',
    name: 'attempt sent',
    begin: beginRequest,
    isReached: hasType('startAttempt'),
  },
  {
    process: 'request',
    name: 'answer handed on',
    begin: beginRequest,
    isReached: hasType('deliverAnswer'),
  },
  {process: 'lease', name: 'loan asked', begin: beginLease, isReached: sendsPeerMessage('loanAsk')},
  {
    process: 'lease',
    name: 'loan granted',
    begin: beginLease,
    isReached: sendsPeerMessage('loanAnswer'),
  },
  {
    process: 'lease',
    name: 'tokens granted',
    begin: beginLease,
    isReached: sendsPeerMessage('tokenAnswer'),
  },
  {process: 'configuration', name: 'published', begin: beginConfiguration, isReached: () => true},
  {
    process: 'configuration',
    name: 'part read',
    begin: beginConfiguration,
    isReached: hasType('readPart'),
  },
  {
    process: 'configuration',
    name: 'in force at one',
    begin: beginConfiguration,
    isReached: logsEvent('configuration.inForce'),
  },
  {
    process: 'configuration',
    name: 'announced',
    begin: beginConfiguration,
    isReached: sendsPeerMessage('versionAnnounced'),
  },
  {process: 'drain', name: 'published', begin: beginDrain, isReached: () => true},
  {
    process: 'drain',
    name: 'in force at one',
    begin: beginDrain,
    isReached: logsEvent('configuration.inForce'),
  },
  {
    process: 'drain',
    name: 'reported',
    begin: beginDrain,
    isReached: sendsPeerMessage('healthReport'),
  },
  {process: 'shutdown', name: 'begun', begin: beginShutdown, isReached: () => true},
  {
    process: 'shutdown',
    name: 'announced',
    begin: beginShutdown,
    isReached: sendsPeerMessage('leaving'),
  },
  {
    process: 'shutdown',
    name: 'loans returned',
    begin: beginShutdown,
    isReached: sendsPeerMessage('loanReturn'),
  },
  {
    process: 'shutdown',
    name: 'stock handed over',
    begin: beginShutdown,
    isReached: sendsPeerMessage('stockHandover'),
  },
];
