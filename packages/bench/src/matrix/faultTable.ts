import {poisonPath} from '../fleet/memoryFleet.ts';
import type {CellContext} from './cellContext.ts';

/** One fault: how it starts and how it ends. */
export interface Fault {
  readonly name: string;
  readonly start: (context: CellContext) => void;
  readonly stop: (context: CellContext) => void;
}

const platform = 'platform';

function others({fleet, victimId}: CellContext): string[] {
  return [...fleet.hosts.keys()].filter((id) => id !== victimId);
}

function server(context: CellContext, id: string): object {
  return context.fleet.servers.get(id)?.behaviour ?? {};
}

function nothing(): void {
  // The fault ends by itself.
}

function flap(context: CellContext, turns: number): void {
  if (turns === 0) {
    Object.assign(server(context, 'nucleo-2'), {failPart: 0});
    return;
  }
  Object.assign(server(context, 'nucleo-2'), {failPart: turns % 2 === 0 ? 1 : 0});
  context.fleet.after(700, () => {
    flap(context, turns - 1);
  });
}

/** Every fault of the matrix. */
export const faultTable: readonly Fault[] = [
  {
    name: 'loss',
    start: ({fleet}) => (fleet.link.faults.lossPerMille = 300),
    stop: ({fleet}) => (fleet.link.faults.lossPerMille = 0),
  },
  {
    name: 'delay',
    start: ({fleet}) => (fleet.link.faults.maxExtraDelayMs = 400),
    stop: ({fleet}) => (fleet.link.faults.maxExtraDelayMs = 0),
  },
  {
    name: 'duplicate',
    start: ({fleet}) => (fleet.link.faults.duplicatePerMille = 500),
    stop: ({fleet}) => (fleet.link.faults.duplicatePerMille = 0),
  },
  {
    name: 'one-way cut',
    start: (context) => {
      for (const other of others(context)) {
        context.fleet.link.cut(context.victimId, other);
      }
    },
    stop: ({fleet}) => {
      fleet.link.heal();
    },
  },
  {
    name: 'split',
    start: ({fleet}) => {
      const ids = [...fleet.hosts.keys()];
      for (const one of ids) {
        for (const other of ids) {
          if ((fleet.dataCentreOf(one) === 'dc-1') !== (fleet.dataCentreOf(other) === 'dc-1')) {
            fleet.link.cut(one, other);
          }
        }
        if (fleet.dataCentreOf(one) === 'dc-1') {
          fleet.link.cut(platform, one);
        }
      }
    },
    stop: ({fleet}) => {
      fleet.link.heal();
    },
  },
  {
    name: 'pause and late wake',
    start: ({fleet, victimId}) => {
      fleet.hosts.get(victimId)?.pause(6_000);
    },
    stop: nothing,
  },
  {
    name: 'crash and replace',
    start: ({fleet, victimId}) => {
      fleet.crashHost(victimId);
      fleet.after(2_000, () => fleet.startHost(victimId));
    },
    stop: nothing,
  },
  {name: 'clock drift', start: nothing, stop: nothing},
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
      const {fleet, victimId} = context;
      const newId = `host-${fleet.hosts.size + 1}`;
      fleet.crashHost(victimId);
      fleet.after(5_000, () => {
        context.changeList({without: victimId, with: newId});
      });
      fleet.startHost(newId);
    },
    stop: nothing,
  },
  {
    name: 'gray server',
    start: (context) => Object.assign(server(context, 'nucleo-1'), {failPart: 0.5}),
    stop: (context) => Object.assign(server(context, 'nucleo-1'), {failPart: 0}),
  },
  {
    name: 'flapping server',
    start: (context) => {
      flap(context, 12);
    },
    stop: nothing,
  },
  {
    name: 'cold server',
    start: (context) =>
      Object.assign(server(context, 'nucleo-5'), {serviceMs: 150, slots: 1, maxWaiting: 0}),
    stop: (context) =>
      Object.assign(server(context, 'nucleo-5'), {serviceMs: 10, slots: 2, maxWaiting: 8}),
  },
  {
    name: 'lying health',
    start: (context) => {
      Object.assign(server(context, 'nucleo-6'), {saysHealthy: false});
      Object.assign(server(context, 'nucleo-7'), {failPart: 0.9});
    },
    stop: (context) => {
      Object.assign(server(context, 'nucleo-6'), {saysHealthy: true});
      Object.assign(server(context, 'nucleo-7'), {failPart: 0});
    },
  },
  {
    name: 'poison request',
    start: ({fleet}) => {
      for (const [index, hostId] of [...fleet.hosts.keys()].entries()) {
        fleet.after(index * 250, () => fleet.request(hostId, 'probe', {path: poisonPath}));
      }
    },
    stop: nothing,
  },
  {
    name: 'key withdrawn',
    start: (context) => {
      context.withdrawKey();
    },
    stop: nothing,
  },
  {
    name: 'data centre out',
    start: (context) => {
      context.change(({dataCentres}) => {
        for (const dataCentre of dataCentres) {
          dataCentre.inService = dataCentre.id !== 'dc-2';
        }
      });
    },
    stop: (context) => {
      context.change(({dataCentres}) => {
        for (const dataCentre of dataCentres) {
          dataCentre.inService = true;
        }
      });
    },
  },
];
