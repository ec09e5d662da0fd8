import type {Backend, Route} from '@godwitspring/document';
import type {ServerReleased} from '../messages/requestMessages.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';

/** Where a request stands; with a second attempt beside the first it stays in `attempt`. */
export type RequestPhase = 'claim' | 'server' | 'permit' | 'attempt' | 'delivering';

/** A server that was granted to a request and not used yet. */
export interface GrantedServer {
  readonly serverId: string;
  readonly origin: string;
  /** Time after which an unanswered attempt is joined by a second one, in ms; absent for never. */
  readonly secondAfterMs: number | undefined;
  /** True where the attempt is sent over a new connection only, as the way to the server is in doubt. */
  readonly needsNewConnection: boolean;
}

/** One attempt that runs. */
export interface AttemptState extends GrantedServer {
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly startedAtMs: number;
  /** Time from the start to the head of the answer, in ms; undefined before. */
  headLatencyMs: number | undefined;
}

/** All that the core knows of one request in progress. */
export interface RequestState {
  readonly requestId: number;
  /** Name of the request towards callers and servers; empty where unknown. */
  readonly requestName: string;
  readonly route: Route;
  readonly backend: Backend;
  readonly customerId: string | undefined;
  /** Rank of the request, 0 for the most urgent. */
  readonly priority: number;
  readonly isIdempotent: boolean;
  readonly isReplayable: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  /** Announced size of the body, in bytes; 0 where unknown. */
  readonly bodyBytes: number;
  /** Names repeats of the request; empty where unknown. */
  readonly requestDigest: string;
  phase: RequestPhase;
  /** Number of the attempt that was started last, from 1; 0 before the first. */
  attempt: number;
  /** Attempts that did not reach their server, and so count for no server. */
  unreached: number;
  /** Attempts that run, by number. */
  readonly running: Map<number, AttemptState>;
  /** Server for the next attempt, while permission for the request is fetched. */
  granted: GrantedServer | undefined;
  /** True while a server for a second attempt beside the first is wanted. */
  isSecondWanted: boolean;
  /** True once an attempt ran or may have run without an answer that was handed on. */
  hasBeenInDoubt: boolean;
  /** True where all attempts so far were taken by a server, so that another one is a repeat there. */
  isNextARepeat: boolean;
  /** True once the customer's permission was spent. */
  isPermitted: boolean;
  /** How the server failed, where the answer handed on is a failure of the server. */
  serverFailure: WorkOutcome | undefined;
  readonly excludedServerIds: string[];
  /** Losses of this request that are not yet counted against their servers. */
  readonly losses: ServerReleased[];
}
