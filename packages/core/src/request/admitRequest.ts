import {isIdempotent} from '@godwitspring/document';
import type {Customer, Route} from '@godwitspring/document';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {RequestArrived} from '../messages/requestMessages.ts';
import type {DocumentIndex} from '../routing/documentIndex.ts';
import type {RandomSource} from '../time/randomSource.ts';
import type {RequestState} from './requestState.ts';

const maxIdempotencyKeyLength = 256;
/** Steps into which the weights of a split are divided. */
const drawSteps = 1_000_000;

/** What a host knows at the moment of a request's arrival. */
export interface AdmissionView {
  readonly index: DocumentIndex | undefined;
  readonly isFresh: boolean;
  /** True where routes that are open to all need a fresh view too. */
  readonly isFreshnessForAll: boolean;
  readonly isShuttingDown: boolean;
  /** Least time in which an attempt is worth its start, in ms. */
  readonly minAttemptMs: number;
  readonly isBlocked: (requestKey: string) => boolean;
  readonly random: RandomSource;
  readonly nowMs: number;
}

/** Name under which a request and its repeats are known. */
export function requestKey(customerId: string, routeId: string, requestDigest: string): string {
  return `${customerId}|${routeId}|${requestDigest}`;
}

function customerFor(
  route: Route,
  {keyDigest}: RequestArrived,
  index: DocumentIndex,
): Customer | ErrorKind | undefined {
  if (route.openToAll) {
    return undefined;
  }
  if (keyDigest === undefined) {
    return 'key-missing';
  }
  return index.customerOfKey(keyDigest) ?? 'key-unknown';
}

/** Draws one of the backends among which the requests of a route are divided, by weight. */
function chooseBackend({backend, split = []}: Route, random: RandomSource): string {
  const totalWeight = split.reduce((sum, {weight}) => sum + weight, 0);
  let drawn = (random.below(drawSteps) / drawSteps) * totalWeight;
  for (const part of split) {
    if (drawn < part.weight) {
      return part.backend;
    }
    drawn -= part.weight;
  }
  return backend;
}

function newState(
  message: RequestArrived,
  {route, customer, index}: {route: Route; customer: Customer | undefined; index: DocumentIndex},
  {minAttemptMs, isBlocked, random, nowMs}: AdmissionView,
): RequestState | ErrorKind {
  const backend = index.backend(chooseBackend(route, random));
  if (backend === undefined) {
    return 'no-server';
  }
  const maxBodyBytes = index.document.callerLimits?.maxBodyBytes ?? route.maxBodyBytes;
  if ((message.bodyBytes ?? 0) > Math.min(route.maxBodyBytes, maxBodyBytes)) {
    return 'body-too-large';
  }
  if ((message.idempotencyKey?.length ?? 0) > maxIdempotencyKeyLength) {
    return 'malformed-request';
  }
  const budgetMs = Math.min(message.budgetMs ?? route.timeoutMs, route.timeoutMs);
  if (budgetMs < minAttemptMs) {
    return 'deadline-too-short';
  }
  const requestDigest = message.requestDigest ?? '';
  if (isBlocked(requestKey(customer?.id ?? '', route.id, requestDigest))) {
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
    deadlineAtMs: nowMs + budgetMs,
    idempotencyKey: message.idempotencyKey,
    bodyBytes: message.bodyBytes ?? 0,
    requestDigest,
    phase: 'claim',
    attempt: 0,
    unreached: 0,
    running: new Map(),
    granted: undefined,
    isSecondWanted: false,
    hasBeenInDoubt: false,
    isNextARepeat: false,
    isPermitted: customer === undefined,
    serverFailure: undefined,
    excludedServerIds: [],
    losses: [],
  };
}

/** Decides whether a request may go on at all; gives its first state or why it is refused. */
export function admitRequest(
  message: RequestArrived,
  view: AdmissionView,
): RequestState | ErrorKind {
  const {index, isFresh, isFreshnessForAll, isShuttingDown} = view;
  if (isShuttingDown) {
    return 'shutting-down';
  }
  if (index === undefined) {
    return 'no-configuration';
  }
  if (!isFresh && isFreshnessForAll) {
    return 'host-not-current';
  }
  const match = index.findRoute(message.host, message.path, message.method);
  if (!isFresh && !(match.kind === 'found' && match.route.openToAll)) {
    return 'host-not-current';
  }
  if (match.kind !== 'found') {
    return match.kind;
  }
  const {route} = match;
  const customer = customerFor(route, message, index);
  if (typeof customer === 'string') {
    return customer;
  }
  return newState(message, {route, customer, index}, view);
}
