import type {Backend, Route} from '@godwitspring/document';
import type {ServerReleased} from '../messages/requestMessages.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';

/**
 * Phase of a request.
 *
 * - `claim`: waits for the claim on its idempotency key.
 * - `server`: waits for a backend server.
 * - `permit`: has a server and waits for a permit under the customer's rate limit.
 * - `attempt`: at least one attempt runs; a hedged attempt beside the first does not change the phase.
 * - `delivering`: the response of one attempt is delivered to the caller.
 */
export type RequestPhase = 'claim' | 'server' | 'permit' | 'attempt' | 'delivering';

/** A server granted to a request for its next attempt. */
export interface GrantedServer {
  readonly serverId: string;
  readonly origin: string;
  /** Time without a response after which a hedged attempt is started, in ms; undefined for never. */
  readonly secondAfterMs: number | undefined;
  /** True where the attempt must use a new connection, because the network path to the server is suspect. */
  readonly needsNewConnection: boolean;
}

/** One running attempt of a request. */
export interface AttemptState extends GrantedServer {
  /** True where it was started beside another attempt of the request. */
  readonly isHedge: boolean;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly startedAtMs: number;
  /** Host that relays it; undefined where this host sends it itself. */
  readonly relayHostId: string | undefined;
  /** Time from the start to the head of the response, in ms; undefined until it arrives. */
  headLatencyMs: number | undefined;
  /** True once its response is delivered to the caller. */
  isDelivered: boolean;
}

/** State of one request in progress. */
export interface RequestState {
  readonly requestId: number;
  /** Request id that callers, servers and logs see; empty where unknown. */
  readonly requestName: string;
  readonly route: Route;
  readonly backend: Backend;
  readonly customerId: string | undefined;
  /** Priority class of the request, 0 for the most urgent. */
  readonly priority: number;
  readonly isIdempotent: boolean;
  /** True where the front end can send the same body again. */
  readonly isReplayable: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  /** Announced size of the body, in bytes; 0 where unknown. */
  readonly bodyBytes: number;
  /** Digest that is equal for duplicates of the request; empty where unknown. */
  readonly requestDigest: string;
  phase: RequestPhase;
  /** Number of the latest attempt, from 1; 0 before the first. */
  attempt: number;
  /** Number of attempts that did not reach their server; they do not count towards the limit of attempts. */
  unreachedAttempts: number;
  /** Running attempts by number. */
  readonly running: Map<number, AttemptState>;
  /** Server for the next attempt, while the request waits for its permit. */
  granted: GrantedServer | undefined;
  /** True while a server for a hedged attempt is requested. */
  isHedgeRequested: boolean;
  /** True while the query for a hedged attempt stands for a retry, as the attempt beside it failed meanwhile. */
  isRetryByHedgeQuery: boolean;
  /** True once an attempt ran, or may have run, without its response having been delivered. */
  mayHaveRun: boolean;
  /** True where the caller or this host broke off an attempt, so that its end says nothing of the server. */
  isInconclusive: boolean;
  /** True once the request is retried after an attempt that reached its server; later attempts count as retries. */
  isNextAttemptRetry: boolean;
  /** True once a permit was granted to the request, or where it has no customer and needs none. */
  isPermitted: boolean;
  /** Outcome of the delivered response where it is a failure of the server (status 5xx). */
  serverFailure: AttemptOutcome | undefined;
  /** Servers that were tried before. */
  readonly excludedServerIds: string[];
  /** Releases of servers whose connection was lost, withheld until the end of the request. */
  readonly lossReports: ServerReleased[];
}
