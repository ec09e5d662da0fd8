import {isIdempotent} from '@godwitspring/document';
import type {Customer, Route} from '@godwitspring/document';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {RequestArrived} from '../messages/requestMessages.ts';
import type {DocumentIndex} from '../routing/documentIndex.ts';
import type {RequestState} from './requestState.ts';

const maxIdempotencyKeyLength = 256;

/** What a host knows at the moment of a request's arrival. */
export interface AdmissionView {
  readonly index: DocumentIndex | undefined;
  readonly isFresh: boolean;
  readonly isShuttingDown: boolean;
  /** Least time in which an attempt is worth its start, in ms. */
  readonly minAttemptMs: number;
  readonly isBlocked: (requestName: string) => boolean;
  readonly nowMs: number;
}

/** Name under which a request and its repeats are known. */
export function requestName(customerId: string, routeId: string, requestDigest: string): string {
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

function newState(
  message: RequestArrived,
  {route, customer, index}: {route: Route; customer: Customer | undefined; index: DocumentIndex},
  {minAttemptMs, isBlocked, nowMs}: AdmissionView,
): RequestState | ErrorKind {
  const backend = index.backend(route.backend);
  if (backend === undefined) {
    return 'no-server';
  }
  if ((message.bodyBytes ?? 0) > route.maxBodyBytes) {
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
  if (isBlocked(requestName(customer?.id ?? '', route.id, requestDigest))) {
    return 'request-crashes-servers';
  }
  return {
    requestId: message.requestId,
    route,
    backend,
    customerId: customer?.id,
    isIdempotent: isIdempotent(route, message.method),
    isReplayable: message.isReplayable,
    deadlineAtMs: nowMs + budgetMs,
    idempotencyKey: message.idempotencyKey,
    requestDigest,
    phase: 'claim',
    attempt: 0,
    hasBeenInDoubt: false,
    isPermitted: customer === undefined,
    hasServerFailed: false,
    serverId: undefined,
    origin: undefined,
    attemptStartedAtMs: nowMs,
    ranForMs: 0,
    headLatencyMs: undefined,
    excludedServerIds: [],
    losses: [],
  };
}

/** Decides whether a request may go on at all; gives its first state or why it is refused. */
export function admitRequest(
  message: RequestArrived,
  view: AdmissionView,
): RequestState | ErrorKind {
  const {index, isFresh, isShuttingDown} = view;
  if (isShuttingDown) {
    return 'shutting-down';
  }
  if (index === undefined) {
    return 'no-configuration';
  }
  if (!isFresh) {
    return 'host-not-current';
  }
  const match = index.findRoute(message.host, message.path, message.method);
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
