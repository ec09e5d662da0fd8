import type {HostEffect} from '@godwitspring/core';
import type {CellContext} from './cellContext.ts';

/** A moment inside one of the fleet's processes at which a fault can fall. */
export interface Step {
  readonly process: 'request' | 'lease' | 'configuration' | 'drain' | 'shutdown';
  readonly name: string;
  /** Starts the process. */
  readonly begin: (context: CellContext) => void;
  /** Tells whether an effect of some host is the moment. */
  readonly isMoment: (effect: HostEffect) => boolean;
}

const payment = {path: '/pagos', method: 'POST', idempotencyKey: 'cell'};
const resendAfterMs = [1_000, 7_500];
export const leaverHostId = 'host-4';
const stopAfterMs = 1_200;

function beginRequest({fleet}: CellContext): void {
  fleet.request('host-1', 'probe', payment);
  for (const [index, afterMs] of resendAfterMs.entries()) {
    fleet.after(afterMs, () => fleet.request(`host-${5 + index}`, 'probe', payment));
  }
}

function beginLease(): void {
  // Loans are renewed all the time.
}

function beginConfiguration(context: CellContext): void {
  context.change(({customers}) => {
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
  fleet.hosts.get(leaverHostId)?.tell({type: 'shutdownWanted'});
  fleet.after(stopAfterMs, () => {
    fleet.crashHost(leaverHostId);
  });
  fleet.after(2 * stopAfterMs, () => {
    context.changeList({without: leaverHostId});
  });
}

function sends(type: string): (effect: HostEffect) => boolean {
  return (effect) => effect.type === 'sendToPeer' && effect.message.type === type;
}

function gives(type: string): (effect: HostEffect) => boolean {
  return (effect) => effect.type === type;
}

function logs(event: string): (effect: HostEffect) => boolean {
  return (effect) => effect.type === 'log' && effect.event === event;
}

/** Every step of the matrix. */
export const stepTable: readonly Step[] = [
  {process: 'request', name: 'claim asked', begin: beginRequest, isMoment: sends('claimAsk')},
  {process: 'request', name: 'claim answered', begin: beginRequest, isMoment: sends('claimAnswer')},
  {process: 'request', name: 'token asked', begin: beginRequest, isMoment: sends('tokenAsk')},
  {process: 'request', name: 'attempt sent', begin: beginRequest, isMoment: gives('startAttempt')},
  {
    process: 'request',
    name: 'answer handed on',
    begin: beginRequest,
    isMoment: gives('deliverAnswer'),
  },
  {process: 'lease', name: 'loan asked', begin: beginLease, isMoment: sends('loanAsk')},
  {process: 'lease', name: 'loan granted', begin: beginLease, isMoment: sends('loanAnswer')},
  {process: 'lease', name: 'tokens granted', begin: beginLease, isMoment: sends('tokenAnswer')},
  {process: 'configuration', name: 'published', begin: beginConfiguration, isMoment: () => true},
  {
    process: 'configuration',
    name: 'part read',
    begin: beginConfiguration,
    isMoment: gives('readPart'),
  },
  {
    process: 'configuration',
    name: 'in force at one',
    begin: beginConfiguration,
    isMoment: logs('configuration.inForce'),
  },
  {
    process: 'configuration',
    name: 'announced',
    begin: beginConfiguration,
    isMoment: sends('versionAnnounced'),
  },
  {process: 'drain', name: 'published', begin: beginDrain, isMoment: () => true},
  {
    process: 'drain',
    name: 'in force at one',
    begin: beginDrain,
    isMoment: logs('configuration.inForce'),
  },
  {process: 'drain', name: 'reported', begin: beginDrain, isMoment: sends('healthReport')},
  {process: 'shutdown', name: 'begun', begin: beginShutdown, isMoment: () => true},
  {process: 'shutdown', name: 'announced', begin: beginShutdown, isMoment: sends('leaving')},
  {
    process: 'shutdown',
    name: 'loans returned',
    begin: beginShutdown,
    isMoment: sends('loanReturn'),
  },
  {
    process: 'shutdown',
    name: 'stock handed over',
    begin: beginShutdown,
    isMoment: sends('stockHandover'),
  },
];
