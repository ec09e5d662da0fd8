import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {PlacementEntryTask} from '../placement/placementEntryTask.ts';
import {PlacementHomeTask} from '../placement/placementHomeTask.ts';
import {QuotaEntryTask} from '../quota/quotaEntryTask.ts';
import {QuotaHomeTask} from '../quota/quotaHomeTask.ts';
import {RegistryTask} from '../registry/registryTask.ts';
import {HomeRetryGuard} from '../request/retryGuard.ts';
import {RequestTask} from '../request/requestTask.ts';
import {RosterTask} from '../roster/rosterTask.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import type {RandomSource} from '../time/randomSource.ts';
import {HostCore} from './hostCore.ts';

export interface SelfFoundCoreOptions {
  /** Address of the host's peer port, which is its id. */
  readonly selfId: string;
  readonly dataCentre: string;
  /** Unix time of the start of this process, in ms. */
  readonly bornMs: number;
  readonly seedIds: readonly string[];
  /** True where the whole fleet starts for the first time, before callers come. */
  readonly isFirstStart: boolean;
  readonly bounds: FleetBounds;
  readonly random: RandomSource;
  readonly hash: HashFunction;
}

/** Processes at one host start their numbers at random, so that late answers match nothing. */
const nonceSpace = 2 ** 30;

/** Decisions of a host in a fleet whose hosts find each other and whose servers register themselves. */
export function createSelfFoundCore(options: SelfFoundCoreOptions): HostCore {
  const {selfId, dataCentre, bornMs, seedIds, isFirstStart, bounds, random, hash} = options;
  const firstNonce = 1 + random.below(nonceSpace);
  const tasks = [
    new RosterTask({selfId, dataCentre, bornMs, seedIds, random}),
    new RegistryTask({selfId, dataCentre, hash, bounds, firstNonce, isFirstStart}),
    new PlacementHomeTask({selfId, bounds}),
    new QuotaHomeTask({selfId, dataCentre, hash, bounds, isFirstStart}),
    new QuotaEntryTask({hash, bounds, firstNonce}),
    new PlacementEntryTask({selfId, hash, random, firstNonce}),
    new RequestTask({
      retryGuard: new HomeRetryGuard(),
      isFreshnessForAll: false,
      endsAtCallerDeadline: false,
      random,
    }),
  ];
  return new HostCore({selfId, dataCentre, random, hash, tasks});
}
