import type {HedgingSettings} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {PlacementEntryTask} from '../placement/placementEntryTask.ts';
import {PlacementHomeTask} from '../placement/placementHomeTask.ts';
import {QuotaEntryTask} from '../quota/quotaEntryTask.ts';
import {QuotaHomeTask} from '../quota/quotaHomeTask.ts';
import {ReachabilityTask} from '../reachability/reachabilityTask.ts';
import {RegistryTask} from '../registry/registryTask.ts';
import {HomeRetryPolicy} from '../request/retryPolicy.ts';
import {createRequestTasks} from '../request/createRequestTasks.ts';
import {RosterTask} from '../roster/rosterTask.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {HostCore} from './hostCore.ts';

/** Options of the core of a host in a fleet whose hosts discover each other. */
export interface GossipCoreOptions {
  /** Id of this host: the address of the port on which it accepts connections of other hosts. */
  readonly selfId: string;
  /** Data centre in which this host runs. */
  readonly dataCentre: string;
  /** Unix time of the start of this process, in ms. */
  readonly bornMs: number;
  /** Processing capacity of this host, in cores. Default: 1. */
  readonly capacityCores?: number | undefined;
  /** Hosts to contact first, by which the fleet is found. */
  readonly seedIds: readonly string[];
  /** Whether the whole fleet starts for the first time, before there are any callers. */
  readonly isFirstStart: boolean;
  /** Limits that operators set for the whole fleet. */
  readonly bounds: FleetBounds;
  /**
   * Limits on hedged attempts of the backends whose document has none; equal on every host. Default: none, hedged
   * attempts are charged to the retry budget alone.
   */
  readonly hedging?: HedgingSettings | undefined;
  /** Source of all random decisions, so that a seed makes them repeatable. */
  readonly random: RandomSource;
  /** Hash that places keys on hosts; the same on every host. */
  readonly hash: HashFunction;
}

/** Number of crashed servers from which duplicates of a request are refused. */
const maxCrashes = 3;
/** Default of `GossipCoreOptions.capacityCores`. */
const defaultCapacityCores = 1;
/**
 * Range of the random first number of queries and grants: each process on a host starts elsewhere, so that late
 * replies to an earlier process match nothing.
 */
const nonceRange = 2 ** 30;

/**
 * Creates the core of a host in a fleet whose hosts discover each other by gossip and whose backend servers
 * register themselves in a registry.
 */
export function createGossipCore(options: GossipCoreOptions): HostCore {
  const {selfId, dataCentre, bornMs, seedIds, isFirstStart, bounds, hedging, random, hash} =
    options;
  const capacityClass = Math.round(Math.log2(options.capacityCores ?? defaultCapacityCores));
  const firstNonce = 1 + random.nextInt(nonceRange);
  const tasks = [
    new RosterTask({hostId: selfId, dataCentre, bornMs, capacityClass, seedIds, random, hash}),
    new RegistryTask({selfId, dataCentre, hash, bounds, hedging, random, firstNonce, isFirstStart}),
    new PlacementHomeTask({selfId, bounds, hash}),
    new QuotaHomeTask({selfId, dataCentre, hash, bounds, isFirstStart}),
    new QuotaEntryTask({hash, bounds, firstNonce}),
    new PlacementEntryTask({selfId, dataCentre, hash, random, firstNonce}),
    new ReachabilityTask({selfId, random}),
    ...createRequestTasks({
      selfId,
      hash,
      firstNonce,
      maxCrashes,
      request: {
        retryPolicy: new HomeRetryPolicy(),
        requiresFreshViewForOpenRoutes: false,
        endsAtCallerDeadline: false,
        random,
      },
    }),
  ];
  return new HostCore({selfId, dataCentre, random, hash, tasks});
}
