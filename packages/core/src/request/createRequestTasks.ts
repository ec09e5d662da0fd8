import type {HashFunction} from '../hash/hashFunction.ts';
import type {CoreTask} from '../host/coreTask.ts';
import {IdempotencyClaimTask} from '../idempotency/idempotencyClaimTask.ts';
import {PoisonRequestTask} from '../poison-requests/poisonRequestTask.ts';
import {RequestTask} from './requestTask.ts';
import type {RequestTaskOptions} from './requestTask.ts';

/** Options of the tasks that carry requests. */
export interface RequestTasksOptions {
  /** Id of this host. */
  readonly selfId: string;
  readonly hash: HashFunction;
  /** First number of the claims; chosen differently by each process on a host. */
  readonly firstNonce: number;
  /** Number of crashed servers from which duplicates of a request are refused. */
  readonly maxCrashes?: number;
  /** Options of request handling. */
  readonly request: Partial<RequestTaskOptions>;
}

/** Creates the tasks that carry requests, the same in every kind of fleet. */
export function createRequestTasks({
  selfId,
  hash,
  firstNonce,
  maxCrashes,
  request,
}: RequestTasksOptions): readonly CoreTask[] {
  return [
    new IdempotencyClaimTask({selfId, hash, firstNonce}),
    new PoisonRequestTask({selfId, hash, ...(maxCrashes === undefined ? {} : {maxCrashes})}),
    new RequestTask(request),
  ];
}
