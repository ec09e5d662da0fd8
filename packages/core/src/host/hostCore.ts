import {RateEntryTask} from '../allowance/rateEntryTask.ts';
import {RateHomeTask} from '../allowance/rateHomeTask.ts';
import {LenderTask} from '../allowance/lenderTask.ts';
import {HealthEntryTask} from '../health/healthEntryTask.ts';
import {HealthHomeTask} from '../health/healthHomeTask.ts';
import {ConfigurationTask} from '../configuration/configurationTask.ts';
import {DEFAULT_LEASE_BOUNDS} from '../membership/membershipOptions.ts';
import type {LeaseBounds} from '../membership/membershipOptions.ts';
import {MembershipTask} from '../membership/membershipTask.ts';
import type {HostEffect, HostEvent} from '../messages/coreMessage.ts';
import {ClaimTask} from '../repeats/claimTask.ts';
import {CrashTask} from '../repeats/crashTask.ts';
import {KeeperTask} from '../repeats/keeperTask.ts';
import type {KeeperOptions} from '../repeats/keeperTask.ts';
import {RequestTask} from '../request/requestTask.ts';
import type {RequestTaskOptions} from '../request/requestTask.ts';
import {LeastLoadedOfTwo} from '../routing/leastLoadedOfTwo.ts';
import type {ServerChoice} from '../routing/serverChoice.ts';
import {ServerPoolTask} from '../routing/serverPoolTask.ts';
import {FleetSlots} from '../slots/fleetSlots.ts';
import {SlotHomeTask} from '../slots/slotHomeTask.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import type {RandomSource} from '../time/randomSource.ts';
import type {CoreTask} from './coreTask.ts';
import {MessageRouter} from './messageRouter.ts';

export interface HostCoreOptions {
  /** Stable name of this host, as the platform lists it. */
  readonly selfId: string;
  /** Data centre in which this host stands. */
  readonly dataCentre: string;
  readonly random: RandomSource;
  readonly hash: HashFunction;
  readonly bounds: LeaseBounds;
  /** How a server is chosen. Default: the least loaded of two. */
  readonly choice: ServerChoice;
  /** Tasks that decide on customers' rates. Default: lender, home and entry side of delegated shares. */
  readonly allowanceTasks: readonly CoreTask[] | undefined;
  /** Tasks that decide on the servers' health. Default: reports to the homes of the backends. */
  readonly healthTasks: readonly CoreTask[] | undefined;
  /** True to divide the slots of servers over the fleet. Default: true. */
  readonly hasFleetSlots: boolean;
  /** How idempotency keys are kept. */
  readonly keeper: Partial<KeeperOptions>;
  /** How often and when requests are sent again. */
  readonly request: Partial<RequestTaskOptions>;
  /** All tasks, in place of those for a published list of hosts. Default: none. */
  readonly tasks: readonly CoreTask[] | undefined;
}

export type RequiredHostCoreOptions = Pick<
  HostCoreOptions,
  'selfId' | 'dataCentre' | 'random' | 'hash'
>;

/** Processes at one host start their numbers at random, so that late answers match nothing. */
const nonceSpace = 2 ** 30;

/**
 * All decisions of one host.
 *
 * Takes events with the moment at which they happened and gives the effects that follow; the same
 * events at the same moments with the same seed give the same effects.
 */
export class HostCore {
  readonly #selfId: string;
  readonly #router: MessageRouter;

  constructor({
    selfId,
    random,
    hash,
    bounds = DEFAULT_LEASE_BOUNDS,
    choice = new LeastLoadedOfTwo(random),
    hasFleetSlots = true,
    keeper = {},
    request = {},
    allowanceTasks,
    healthTasks,
    tasks,
  }: Partial<HostCoreOptions> & RequiredHostCoreOptions) {
    this.#selfId = selfId;
    const firstNonce = 1 + random.below(nonceSpace);
    const common = {selfId, hash, bounds, firstNonce};
    this.#router = new MessageRouter(
      tasks ?? [
        new ConfigurationTask({random}),
        new MembershipTask({selfId, random, bounds, firstNonce}),
        ...(allowanceTasks ?? [
          new LenderTask({...common, allowanceClass: 'rates'}),
          new RateHomeTask(common),
          new RateEntryTask(common),
        ]),
        ...(healthTasks ?? [
          new LenderTask({...common, allowanceClass: 'ejections'}),
          new HealthHomeTask(common),
          new HealthEntryTask(common),
        ]),
        new KeeperTask({selfId, hash, ...keeper}),
        new ClaimTask({selfId, hash, firstNonce}),
        new CrashTask({selfId, hash}),
        ...(hasFleetSlots ? [new SlotHomeTask({selfId, hash, random, firstNonce})] : []),
        new ServerPoolTask({
          choice,
          slots: hasFleetSlots ? new FleetSlots({selfId, hash, firstNonce}) : undefined,
        }),
        new RequestTask(request),
      ],
    );
  }

  /** Takes one event at a moment of the host's own clock, in ms. */
  handle(event: HostEvent, nowMs: number): HostEffect[] {
    const effects: HostEffect[] = [];
    const events: HostEvent[] = [event];
    for (const next of events) {
      for (const effect of this.#router.deliver(next, nowMs)) {
        if (effect.type === 'sendToPeer' && effect.toHostId === this.#selfId) {
          events.push({
            type: 'peerMessageReceived',
            fromHostId: this.#selfId,
            message: effect.message,
          });
          continue;
        }
        effects.push(effect);
      }
    }
    return effects;
  }
}
