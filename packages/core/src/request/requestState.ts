import type {Backend, Route} from '@godwitspring/document';
import type {ServerReleased} from '../messages/requestMessages.ts';

/** Where a request stands. */
export type RequestPhase = 'claim' | 'server' | 'permit' | 'attempt' | 'delivering';

/** All that the core knows of one request in progress. */
export interface RequestState {
  readonly requestId: number;
  readonly route: Route;
  readonly backend: Backend;
  readonly customerId: string | undefined;
  readonly isIdempotent: boolean;
  readonly isReplayable: boolean;
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  /** Names repeats of the request; empty where unknown. */
  readonly requestDigest: string;
  phase: RequestPhase;
  /** Number of the attempt that runs or ran last, from 1. */
  attempt: number;
  /** True once an attempt ran or may have run without an answer that was handed on. */
  hasBeenInDoubt: boolean;
  /** True once the customer's permission was spent. */
  isPermitted: boolean;
  /** True where the answer handed on is a failure of the server. */
  hasServerFailed: boolean;
  serverId: string | undefined;
  origin: string | undefined;
  attemptStartedAtMs: number;
  /** Time for which the last attempt ran before it failed, in ms. */
  ranForMs: number;
  headLatencyMs: number | undefined;
  readonly excludedServerIds: string[];
  /** Losses of this request that are not yet counted against their servers. */
  readonly losses: ServerReleased[];
}
