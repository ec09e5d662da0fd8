import {poisonPath} from '../fleet/simulatedFleet.ts';
import type {CellContext} from './cellContext.ts';

/** A kind of fault: how it is injected and how it is removed. */
export interface Fault {
  readonly name: string;
  readonly start: (context: CellContext) => void;
  readonly stop: (context: CellContext) => void;
}

/** Name of the platform as an end of a network link. */
const platformNodeId = 'platform';

function otherHostIds({fleet, targetHostId}: CellContext): string[] {
  return [...fleet.hosts.keys()].filter((id) => id !== targetHostId);
}

function serverBehaviour(context: CellContext, id: string): object {
  return context.fleet.servers.get(id)?.behaviour ?? {};
}

/** For faults that end by themselves, and for clock drift, which lasts the whole run. */
function noAction(): void {
  // Nothing to do.
}

/** Makes a server fail all of its requests and none by turns, for 700 ms each, and leaves it healthy. */
function alternateFailures(context: CellContext, remainingTurns: number): void {
  if (remainingTurns === 0) {
    Object.assign(serverBehaviour(context, 'nucleo-2'), {failureShare: 0});
    return;
  }
  Object.assign(serverBehaviour(context, 'nucleo-2'), {
    failureShare: remainingTurns % 2 === 0 ? 1 : 0,
  });
  context.fleet.after(700, () => {
    alternateFailures(context, remainingTurns - 1);
  });
}

/**
 * All faults of the matrix. Cell names and seeds derive from the names and the order of this table.
 */
export const faultTable: readonly Fault[] = [
  {
    name: 'loss',
    start: ({fleet}) => (fleet.network.faults.lossPerMille = 300),
    stop: ({fleet}) => (fleet.network.faults.lossPerMille = 0),
  },
  {
    name: 'delay',
    start: ({fleet}) => (fleet.network.faults.maxExtraDelayMs = 400),
    stop: ({fleet}) => (fleet.network.faults.maxExtraDelayMs = 0),
  },
  {
    name: 'duplicate',
    start: ({fleet}) => (fleet.network.faults.duplicatePerMille = 500),
    stop: ({fleet}) => (fleet.network.faults.duplicatePerMille = 0),
  },
  {
    name: 'one-way cut',
    start: (context) => {
      for (const other of otherHostIds(context)) {
        context.fleet.network.cut(context.targetHostId, other);
      }
    },
    stop: ({fleet}) => {
      fleet.network.heal();
    },
  },
  {
    name: 'split',
    start: ({fleet}) => {
      const ids = [...fleet.hosts.keys()];
      for (const one of ids) {
        for (const other of ids) {
          if ((fleet.dataCentreOf(one) === 'dc-1') !== (fleet.dataCentreOf(other) === 'dc-1')) {
            fleet.network.cut(one, other);
          }
        }
        if (fleet.dataCentreOf(one) === 'dc-1') {
          fleet.network.cut(platformNodeId, one);
        }
      }
    },
    stop: ({fleet}) => {
      fleet.network.heal();
    },
  },
  {
    name: 'pause and late wake',
    start: ({fleet, targetHostId}) => {
      fleet.hosts.get(targetHostId)?.pause(6_000);
    },
    stop: noAction,
  },
  {
    name: 'crash and replace',
    start: ({fleet, targetHostId}) => {
      fleet.crashHost(targetHostId);
      fleet.after(2_000, () => fleet.startHost(targetHostId));
    },
    stop: noAction,
  },
  {name: 'clock drift', start: noAction, stop: noAction},
  {
    name: 'platform down',
    start: ({fleet}) => (fleet.platform.isDown = true),
    stop: ({fleet}) => (fleet.platform.isDown = false),
  },
  {
    name: 'platform stale',
    start: ({fleet}) => {
      fleet.setPlatformStale(true);
    },
    stop: ({fleet}) => {
      fleet.setPlatformStale(false);
    },
  },
  {
    name: 'list late',
    start: (context) => {
      const {fleet, targetHostId} = context;
      const newId = `host-${fleet.hosts.size + 1}`;
      fleet.crashHost(targetHostId);
      fleet.after(5_000, () => {
        context.updateHostList({without: targetHostId, with: newId});
      });
      fleet.startHost(newId);
    },
    stop: noAction,
  },
  {
    name: 'gray server',
    start: (context) => Object.assign(serverBehaviour(context, 'nucleo-1'), {failureShare: 0.5}),
    stop: (context) => Object.assign(serverBehaviour(context, 'nucleo-1'), {failureShare: 0}),
  },
  {
    name: 'flapping server',
    start: (context) => {
      alternateFailures(context, 12);
    },
    stop: noAction,
  },
  {
    name: 'cold server',
    start: (context) =>
      Object.assign(serverBehaviour(context, 'nucleo-5'), {
        serviceMs: 150,
        slots: 1,
        maxWaiting: 0,
      }),
    stop: (context) =>
      Object.assign(serverBehaviour(context, 'nucleo-5'), {serviceMs: 10, slots: 2, maxWaiting: 8}),
  },
  {
    name: 'lying health',
    start: (context) => {
      Object.assign(serverBehaviour(context, 'nucleo-6'), {saysHealthy: false});
      Object.assign(serverBehaviour(context, 'nucleo-7'), {failureShare: 0.9});
    },
    stop: (context) => {
      Object.assign(serverBehaviour(context, 'nucleo-6'), {saysHealthy: true});
      Object.assign(serverBehaviour(context, 'nucleo-7'), {failureShare: 0});
    },
  },
  {
    name: 'poison request',
    start: ({fleet}) => {
      for (const [index, hostId] of [...fleet.hosts.keys()].entries()) {
        fleet.after(index * 250, () => fleet.request(hostId, 'probe', {path: poisonPath}));
      }
    },
    stop: noAction,
  },
  {
    name: 'key withdrawn',
    start: (context) => {
      context.withdrawKey();
    },
    stop: noAction,
  },
  {
    name: 'data centre out',
    start: (context) => {
      context.updateDocument(({dataCentres}) => {
        for (const dataCentre of dataCentres) {
          dataCentre.inService = dataCentre.id !== 'dc-2';
        }
      });
    },
    stop: (context) => {
      context.updateDocument(({dataCentres}) => {
        for (const dataCentre of dataCentres) {
          dataCentre.inService = true;
        }
      });
    },
  },
];
