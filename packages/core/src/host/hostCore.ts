import type {FleetDocument} from '@godwitspring/document';
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
import {IdempotencyReplicaTask} from '../idempotency/idempotencyReplicaTask.ts';
import type {IdempotencyReplicaOptions} from '../idempotency/idempotencyReplicaTask.ts';
import {createRequestTasks} from '../request/createRequestTasks.ts';
import type {RequestTaskOptions} from '../request/requestTask.ts';
import {PowerOfTwoChoices} from '../routing/powerOfTwoChoices.ts';
import type {LoadBalancingPolicy} from '../routing/loadBalancingPolicy.ts';
import {ServerPoolTask} from '../routing/serverPoolTask.ts';
import {SlotLeases} from '../slots/slotLeases.ts';
import {SlotHomeTask} from '../slots/slotHomeTask.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RandomSource} from '../random/randomSource.ts';
import type {CoreTask} from './coreTask.ts';
import {DocumentInForceTask} from './documentInForceTask.ts';
import {MessageRouter} from './messageRouter.ts';

/** Options of `HostCore`. */
export interface HostCoreOptions {
  /** Stable id of this host, as in the platform's host list. */
  readonly selfId: string;
  /** Data centre in which this host runs. */
  readonly dataCentre: string;
  /** Source of all random decisions, so that a seed makes them repeatable. */
  readonly random: RandomSource;
  /** Hash that places keys on hosts; the same on every host. */
  readonly hash: HashFunction;
  /** Time bounds of host lists, leases and loans. Default: `DEFAULT_LEASE_BOUNDS`. */
  readonly bounds: LeaseBounds;
  /** How a backend server is chosen. Default: the less loaded of two random ones. */
  readonly loadBalancingPolicy: LoadBalancingPolicy;
  /**
   * Tasks that enforce the customers' rates. Default: a task that lends this host's share of each rate, one that
   * decides as the home of some customers, and one for the requests that enter here.
   */
  readonly allowanceTasks: readonly CoreTask[] | undefined;
  /**
   * Tasks that decide on the servers' health. Default: tasks by which hosts report to the home of each backend,
   * the host that decides on its ejections for the whole fleet.
   */
  readonly healthTasks: readonly CoreTask[] | undefined;
  /** Whether the request slots of the servers are divided over the fleet. Default: true. */
  readonly hasFleetSlots: boolean;
  /** Options of the replicas that store idempotency keys. */
  readonly idempotencyReplica: Partial<IdempotencyReplicaOptions>;
  /** Options of request handling, such as those of retries. */
  readonly request: Partial<RequestTaskOptions>;
  /** All tasks of the host, instead of those for a fleet whose host list the platform publishes. Default: none. */
  readonly tasks: readonly CoreTask[] | undefined;
}

/** Options without a default. */
export type RequiredHostCoreOptions = Pick<
  HostCoreOptions,
  'selfId' | 'dataCentre' | 'random' | 'hash'
>;

/**
 * Range of the random first number of queries and grants: each process on a host starts elsewhere, so that late
 * replies to an earlier process match nothing.
 */
const nonceRange = 2 ** 30;

/**
 * Makes all decisions of one host, without input or output.
 *
 * It handles events with the moment at which they happened and returns the effects for the host process to carry
 * out. It is deterministic: the same events at the same moments with the same seed yield the same effects.
 */
export class HostCore {
  readonly #selfId: string;
  readonly #router: MessageRouter;
  readonly #documentInForce = new DocumentInForceTask();

  constructor({
    selfId,
    random,
    hash,
    bounds = DEFAULT_LEASE_BOUNDS,
    loadBalancingPolicy = new PowerOfTwoChoices(random),
    hasFleetSlots = true,
    idempotencyReplica = {},
    request = {},
    allowanceTasks,
    healthTasks,
    tasks,
  }: Partial<HostCoreOptions> & RequiredHostCoreOptions) {
    this.#selfId = selfId;
    const firstNonce = 1 + random.nextInt(nonceRange);
    const sharedOptions = {selfId, hash, bounds, firstNonce};
    this.#router = new MessageRouter([
      ...(tasks ?? [
        new ConfigurationTask({random}),
        new MembershipTask({selfId, random, bounds, firstNonce}),
        ...(allowanceTasks ?? [
          new LenderTask({...sharedOptions, allowanceClass: 'rates'}),
          new RateHomeTask(sharedOptions),
          new RateEntryTask(sharedOptions),
        ]),
        ...(healthTasks ?? [
          new LenderTask({...sharedOptions, allowanceClass: 'ejections'}),
          new HealthHomeTask(sharedOptions),
          new HealthEntryTask(sharedOptions),
        ]),
        new IdempotencyReplicaTask({selfId, hash, ...idempotencyReplica}),
        ...(hasFleetSlots ? [new SlotHomeTask({selfId, hash, random, firstNonce})] : []),
        new ServerPoolTask({
          loadBalancingPolicy,
          slots: hasFleetSlots ? new SlotLeases({selfId, hash, firstNonce}) : undefined,
        }),
        ...createRequestTasks({selfId, hash, firstNonce, request}),
      ]),
      this.#documentInForce,
    ]);
  }

  /** The document that this host acts on; undefined where it has none yet. */
  get documentInForce(): FleetDocument | undefined {
    return this.#documentInForce.document;
  }

  /**
   * Handles one event at a moment of the host's own clock, in ms, and returns the resulting effects. Peer messages
   * from this host to itself are delivered here.
   */
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
