import type {IndexedServer} from '../placement/serverIndex.ts';
import type {SlotCounts} from './hedgingPolicy.ts';

/** Risk below which the slots of a server count as usable: it is likelier to succeed than to fail. */
const usableBelowRisk = 0.5;

/** State of a server that decides whether its slots count. */
export interface ServerLoad {
  readonly slots: number;
  /** Estimated probability that an attempt fails, 0 to 1. */
  readonly risk: number;
  /** Attempts that run there. */
  readonly running: number;
  /** True where an attempt may start there now. */
  readonly mayStart: boolean;
}

/** Counts the slots of the servers that are likelier to succeed than to fail; free are those that may be used now. */
export function countSlots(
  servers: Iterable<IndexedServer>,
  loadOf: (server: IndexedServer) => ServerLoad,
): SlotCounts {
  let free = 0;
  let usable = 0;
  for (const server of servers) {
    const {slots, risk, running, mayStart} = loadOf(server);
    if (risk < usableBelowRisk) {
      usable += slots;
      free += mayStart ? slots - running : 0;
    }
  }
  return {free, usable};
}
