import {isIdempotent} from '@godwitspring/document';
import type {Route} from '@godwitspring/document';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {ShutdownAnnounced} from '../messages/hostMessages.ts';
import type {RequestArrived} from '../messages/requestMessages.ts';
import {screenHead} from '../intake/screenHead.ts';
import type {AcceptedHead, ScreeningContext} from '../intake/screenHead.ts';
import type {RandomSource} from '../random/randomSource.ts';
import type {RequestIdentity} from '../poison-requests/requestIdentity.ts';
import type {RequestState} from './requestState.ts';

/** Longest idempotency key that is accepted, in characters. */
const maxIdempotencyKeyLength = 256;
/** Multiple of the target latency in which nearly all requests are answered, for the decision during a shutdown. */
const shutdownLatencyFactor = 2;
/** Number of equal steps in the random draw among the backends of a split. */
const splitResolution = 1_000_000;

/** State and options of the host on which the admission of a request depends. */
export interface AdmissionContext extends ScreeningContext {
  /** The shutdown of this host; undefined where none is announced. */
  readonly shutdown?: Omit<ShutdownAnnounced, 'type'> | undefined;
  /** Requests with a shorter time budget are refused, in ms. */
  readonly minAttemptMs: number;
  /** True where a request was found to crash servers (poison request) and must not be sent again. */
  readonly isBlocked: (identity: RequestIdentity) => boolean;
  readonly random: RandomSource;
  readonly nowMs: number;
}

/** Draws one backend of the route's traffic split at random, by weight; without a split the route's backend. */
function chooseBackend({backend, split = []}: Route, random: RandomSource): string {
  const totalWeight = split.reduce((sum, {weight}) => sum + weight, 0);
  let drawn = (random.nextInt(splitResolution) / splitResolution) * totalWeight;
  for (const part of split) {
    if (drawn < part.weight) {
      return part.backend;
    }
    drawn -= part.weight;
  }
  return backend;
}

/**
 * Time that a request has to have left before the shutdown ends, in ms: its budget. For a while the time in which it is
 * very likely to be answered is enough, since load balancers still send requests to this host.
 */
function timeNeededMs({targetLatencyMs}: Route, budgetMs: number, isLenient: boolean): number {
  return targetLatencyMs === undefined || !isLenient
    ? budgetMs
    : Math.min(budgetMs, targetLatencyMs * shutdownLatencyFactor);
}

/** Checks the limits for one request; returns its initial state, or why it is refused. */
function createRequestState(
  message: RequestArrived,
  {route, customer, index}: AcceptedHead,
  {shutdown, minAttemptMs, isBlocked, random, nowMs}: AdmissionContext,
): RequestState | ErrorKind {
  const backend = index.backend(chooseBackend(route, random));
  if (backend === undefined) {
    return 'no-server';
  }
  if ((message.idempotencyKey?.length ?? 0) > maxIdempotencyKeyLength) {
    return 'malformed-request';
  }
  const budgetMs = Math.min(message.budgetMs ?? route.timeoutMs, route.timeoutMs);
  if (budgetMs < minAttemptMs) {
    return 'deadline-too-short';
  }
  const leftMs = (shutdown?.endsAtMs ?? Number.POSITIVE_INFINITY) - nowMs;
  const isLenient = nowMs <= (shutdown?.lenientUntilMs ?? Number.POSITIVE_INFINITY);
  if (leftMs < timeNeededMs(route, budgetMs, isLenient)) {
    return 'shutting-down';
  }
  const requestDigest = message.requestDigest ?? '';
  if (isBlocked({customerId: customer?.id ?? '', routeId: route.id, requestDigest})) {
    return 'request-crashes-servers';
  }
  return {
    requestId: message.requestId,
    requestName: message.requestName ?? '',
    route,
    backend,
    customerId: customer?.id,
    priority: customer?.priority ?? route.priority ?? 0,
    isIdempotent: isIdempotent(route, message.method),
    isReplayable: message.isReplayable,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + Math.min(budgetMs, leftMs),
    idempotencyKey: message.idempotencyKey,
    bodyBytes: message.bodyBytes ?? 0,
    requestDigest,
    phase: 'claim',
    attempt: 0,
    unreachedAttempts: 0,
    running: new Map(),
    granted: undefined,
    isHedgeRequested: false,
    isRetryByHedgeQuery: false,
    mayHaveRun: false,
    isInconclusive: false,
    isNextAttemptRetry: false,
    isPermitted: customer === undefined,
    serverFailure: undefined,
    excludedServerIds: [],
    lossReports: [],
  };
}

/** Decides whether a request is admitted; returns its initial state, or why it is refused. */
export function admitRequest(
  message: RequestArrived,
  context: AdmissionContext,
): RequestState | ErrorKind {
  const accepted = screenHead(message, context);
  return typeof accepted === 'string' ? accepted : createRequestState(message, accepted, context);
}
