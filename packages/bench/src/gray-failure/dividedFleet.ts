import {SeededRandom} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {documentSchema} from '@godwitspring/document';
import {pack} from 'msgpackr';
import type {GrayFailureFleet, GrayFailureFleetOptions} from './grayFailureFleet.ts';
import {createGrayFailureFleet, grayFailureDocument, keyDigestOf} from './grayFailureSetup.ts';

/** Number of distinct values of a random fraction. */
const randomResolution = 1_000_000;
/** Data centres of a simulated fleet, in the order in which their load swings. */
export const dataCentres = ['dc-1', 'dc-2', 'dc-3'] as const;
/** Customers of the load, with equal shares. */
const customers = ['large', 'medium', 'small'] as const;

/** Messages between hosts and their size. */
export interface MessageTotals {
  count: number;
  bytes: number;
}

/** A fleet in front of one backend that stands in three data centres. */
export interface DividedFleet {
  readonly fleet: GrayFailureFleet;
  /** Placement messages between hosts of different data centres, by type. */
  readonly remoteMessages: Map<string, MessageTotals>;
}

/**
 * Creates a fleet in front of 60 servers of `core` in three data centres, whose customers have ample rates. Where
 * `isDivided` is false, all servers are registered in one data centre, so that one home places all requests.
 */
export function createDividedFleet(
  hash: HashFunction,
  {
    servers = 60,
    isDivided = true,
    ...options
  }: Partial<GrayFailureFleetOptions> & {servers?: number; isDivided?: boolean} = {},
): DividedFleet {
  const remoteMessages = new Map<string, MessageTotals>();
  const document = grayFailureDocument();
  const fleet = createGrayFailureFleet(hash, {
    document: documentSchema.parse({
      ...document,
      customers: document.customers.map((customer) => ({
        ...customer,
        ratePerSecond: 2_000,
        burstRequests: 2_000,
      })),
    }),
    backends: [{id: 'core', servers}],
    serverDataCentres: isDivided ? undefined : ['dc-1'],
    onPeerMessage: (message, from, to) => {
      if (from.dataCentre === to.dataCentre || !message.type.startsWith('place')) {
        return;
      }
      const totals = remoteMessages.get(message.type) ?? {count: 0, bytes: 0};
      totals.count += 1;
      totals.bytes += pack(message).length;
      remoteMessages.set(message.type, totals);
    },
    ...options,
  });
  return {fleet, remoteMessages};
}

/** A load of random requests whose rate differs between data centres. */
export interface DataCentreLoad {
  readonly forMs: number;
  readonly seed: number;
  /** Relative frequency of each route. */
  readonly mix: Readonly<Record<string, number>>;
  /**
   * Requests per second that callers send to the hosts of a data centre, by its index and the time since the start; a
   * data centre for which it is 0 gets no more.
   */
  readonly perSecondAt: (index: number, sinceStartMs: number) => number;
}

/**
 * Sends requests through random live hosts of each data centre, as Poisson processes of varying rate. Returns a count
 * of those that were sent.
 */
export function sendDataCentreLoad(
  fleet: GrayFailureFleet,
  {forMs, seed, mix, perSecondAt}: DataCentreLoad,
): {requests: number} {
  const sent = {requests: 0};
  const startAtMs = fleet.queue.nowMs;
  const routeIds = Object.entries(mix).flatMap(([routeId, weight]) =>
    Array.from({length: weight}, () => routeId),
  );
  for (const [index, dataCentre] of dataCentres.entries()) {
    const random = new SeededRandom(seed * 10 + index);
    const scheduleNext = (): void => {
      const uniform = (random.nextInt(randomResolution) + 1) / randomResolution;
      const perSecond = perSecondAt(index, fleet.queue.nowMs - startAtMs);
      if (perSecond > 0) {
        fleet.after((-Math.log(uniform) * 1_000) / perSecond, sendNext);
      }
    };
    const sendNext = (): void => {
      const sinceStartMs = fleet.queue.nowMs - startAtMs;
      if (sinceStartMs > forMs) {
        return;
      }
      const hosts = [...fleet.hosts.values()].filter(
        (host) => host.isUp && host.dataCentre === dataCentre,
      );
      const customerId = customers[random.nextInt(customers.length)] ?? '';
      const routeId = routeIds[random.nextInt(routeIds.length)] ?? '';
      const hostId = hosts[random.nextInt(hosts.length)]?.id;
      if (hostId !== undefined) {
        sent.requests += 1;
        fleet.request(routeId, customerId, keyDigestOf(customerId), {hostId});
      }
      scheduleNext();
    };
    scheduleNext();
  }
  return sent;
}

/** Requests per second of a data centre whose load swings around a mean, out of phase with the others. */
export function swingingLoad(
  meanPerSecond: number,
  swing: number,
  periodMs: number,
): DataCentreLoad['perSecondAt'] {
  return (index, sinceStartMs) =>
    meanPerSecond *
    (1 + swing * Math.sin(2 * Math.PI * (sinceStartMs / periodMs + index / dataCentres.length)));
}

/** Share of the attempts whose server stands in another data centre than the host that sent them. */
export function remoteAttemptShare(fleet: GrayFailureFleet): number {
  let attempts = 0;
  let remote = 0;
  for (const [serverId, hostIds] of fleet.attemptHostIds) {
    const dataCentre = fleet.servers.get(serverId)?.dataCentre;
    for (const hostId of hostIds) {
      attempts += 1;
      remote += fleet.hosts.get(hostId)?.dataCentre === dataCentre ? 0 : 1;
    }
  }
  return attempts === 0 ? 0 : remote / attempts;
}

/** Time for which a host keeps an idle connection to a server, in ms. */
const idleConnectionMs = 4_000;
/** Interval at which hosts report their idle connections, in ms. */
const reportIntervalMs = 200;

/** Makes each host report, from now on, the servers to which it has a connection from an earlier attempt. */
export function reportConnections(fleet: GrayFailureFleet): void {
  const report = (): void => {
    const sinceMs = fleet.queue.nowMs - idleConnectionMs;
    const serverIdsByHost = new Map<string, Set<string>>();
    for (const [serverId, attemptTimesMs] of fleet.attemptTimesMs) {
      const hostIds = fleet.attemptHostIds.get(serverId) ?? [];
      const firstIndex = attemptTimesMs.findIndex((atMs) => atMs > sinceMs);
      for (const hostId of firstIndex < 0 ? [] : hostIds.slice(firstIndex)) {
        const serverIds = serverIdsByHost.get(hostId) ?? new Set<string>();
        serverIds.add(serverId);
        serverIdsByHost.set(hostId, serverIds);
      }
    }
    for (const host of fleet.hosts.values()) {
      const idleServerIds = [...(serverIdsByHost.get(host.id) ?? [])];
      host.deliver({type: 'serverConnections', idleServerIds});
    }
    fleet.after(reportIntervalMs, report);
  };
  report();
}
