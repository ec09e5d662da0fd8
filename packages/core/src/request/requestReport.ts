import {responseTable} from '../errors/responseTable.ts';
import type {ErrorKind, Outcome} from '../errors/errorKinds.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {
  AttemptAnswered,
  AttemptFailed,
  RequestArrived,
  StartAttempt,
} from '../messages/requestMessages.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import type {AttemptState, RequestState} from './requestState.ts';

/** Details of a refusal that differ from the defaults of its error kind. */
export interface RefusalOptions {
  /** Wait suggested to the caller before it tries again, in ms. Default: that of the error kind. */
  readonly retryAfterMs?: number | undefined;
  /** Whether the request can have run. Default: that of the error kind. */
  readonly outcome?: Outcome | undefined;
}

/** Counts an event in a metric, tagged with the route of the request. */
export function countForRoute(name: string, {route}: RequestState): CoreMessage {
  return {type: 'count', name, tags: {route: route.id}};
}

/** Adds a duration to a metric, tagged with the route of the request and an outcome. */
export function observeForRoute(
  name: string,
  {route}: RequestState,
  outcome: string,
  valueMs: number,
): CoreMessage {
  return {type: 'observe', name, tags: {route: route.id, outcome}, valueMs};
}

/** Refuses a request that has no running attempt, and counts the refusal. */
export function refusalMessages(
  requestId: number,
  kind: ErrorKind,
  {outcome, retryAfterMs}: RefusalOptions = {},
): readonly CoreMessage[] {
  const defaults = responseTable[kind];
  return [
    {
      type: 'refuseRequest',
      requestId,
      kind,
      outcome: outcome ?? defaults.outcome,
      retryAfterMs: retryAfterMs ?? defaults.retryAfterMs,
    },
    {type: 'count', name: 'request.refused', tags: {kind}},
  ];
}

/** Logs a request that was refused at arrival, with the configuration version and freshness of the host. */
export function reportNotAdmitted(
  {requestName, host, path, method}: RequestArrived,
  kind: ErrorKind,
  {version, freshForMs}: {version: number | undefined; freshForMs: number},
): CoreMessage {
  const fields = {
    requestName,
    kind,
    host,
    path,
    method,
    version,
    freshForMs: Math.round(freshForMs),
  };
  return {type: 'log', level: 'warn', event: 'request.notAdmitted', fields};
}

/** Reports the start of an attempt: a log entry, and the wait since the request arrived. */
export function reportStarted(
  request: RequestState,
  {attempt, serverId, timeoutMs}: StartAttempt,
  nowMs: number,
): readonly CoreMessage[] {
  const sinceArrivalMs = nowMs - request.arrivedAtMs;
  const isHedge = request.running.get(attempt)?.isHedge ?? false;
  const fields = {
    requestName: request.requestName,
    attempt,
    serverId,
    sinceArrivalMs: Math.round(sinceArrivalMs),
    leftMs: Math.round(timeoutMs),
    beside: request.running.size - 1,
    isHedge,
    isRetry: request.isNextAttemptRetry,
  };
  return [
    ...(isHedge ? [countForRoute('hedge.sent', request)] : []),
    observeForRoute('attempt.wait', request, `attempt ${attempt}`, sinceArrivalMs),
    {type: 'log', level: 'info', event: 'attempt.started', fields},
  ];
}

/** Logs an attempt that failed, while the request goes on. */
export function reportAttemptFailed(
  {requestName, requestDigest}: RequestState,
  {attempt, serverId, startedAtMs, isHedge}: AttemptState,
  outcome: AttemptOutcome,
  nowMs: number,
): CoreMessage {
  const ranForMs = Math.round(nowMs - startedAtMs);
  const fields = {requestName, requestDigest, attempt, serverId, outcome, ranForMs, isHedge};
  return {type: 'log', level: 'warn', event: 'attempt.failed', fields};
}

/** Logs that the response of an attempt is delivered to the caller from now on. */
export function reportDelivering(
  request: RequestState,
  {attempt, serverId, headLatencyMs, isHedge}: AttemptState,
  {status, framing, bodyBytes}: AttemptAnswered,
  nowMs: number,
): CoreMessage {
  const fields = {
    requestName: request.requestName,
    route: request.route.id,
    customer: request.customerId,
    attempt,
    serverId,
    status,
    framing,
    bodyBytes,
    isHedge,
    latencyMs: Math.round(headLatencyMs ?? 0),
    totalMs: Math.round(nowMs - request.arrivedAtMs),
  };
  const level = request.serverFailure === undefined ? 'info' : 'warn';
  return {type: 'log', level, event: 'request.delivering', fields};
}

/** Logs a response that is not complete: one that breaks off while it is delivered, or in which something is wrong. */
export function reportIncompleteResponse(
  {requestName, phase}: RequestState,
  {attempt, serverId, startedAtMs, relayHostId}: AttemptState,
  {failure, reason}: AttemptFailed,
  nowMs: number,
): readonly CoreMessage[] {
  if (reason === undefined && phase !== 'delivering') {
    return [];
  }
  const ranForMs = Math.round(nowMs - startedAtMs);
  const fields = {requestName, attempt, serverId, relayHostId, phase, failure, reason, ranForMs};
  return [{type: 'log', level: 'warn', event: 'response.incomplete', fields}];
}

/** Reports the end of a request whose response from a server was delivered: a count and two durations. */
export function reportAnswered(
  request: RequestState,
  {startedAtMs}: AttemptState,
  nowMs: number,
): readonly CoreMessage[] {
  const outcome = request.serverFailure ?? 'ok';
  return [
    countForRoute('request.answered', request),
    observeForRoute('request.time', request, outcome, nowMs - request.arrivedAtMs),
    observeForRoute('attempt.time', request, outcome, nowMs - startedAtMs),
  ];
}

/** Reports the refusal of an admitted request: its duration and a log entry. */
export function reportRefused(
  request: RequestState,
  kind: ErrorKind,
  {outcome, retryAfterMs}: RefusalOptions,
  serverIds: readonly string[],
  nowMs: number,
): readonly CoreMessage[] {
  const afterMs = nowMs - request.arrivedAtMs;
  const fields = {
    requestName: request.requestName,
    requestDigest: request.requestDigest,
    kind,
    outcome,
    phase: request.phase,
    attempts: request.attempt,
    servers: serverIds,
    route: request.route.id,
    customer: request.customerId,
    retryAfterMs,
    afterMs: Math.round(afterMs),
  };
  return [
    observeForRoute('request.time', request, kind, afterMs),
    {type: 'log', level: 'warn', event: 'request.refused', fields},
  ];
}

/** Reports that the caller closed the connection before its request ended. */
export function reportCallerLeft(request: RequestState, nowMs: number): readonly CoreMessage[] {
  const {requestName, phase, arrivedAtMs} = request;
  const fields = {requestName, phase, afterMs: Math.round(nowMs - arrivedAtMs)};
  return [
    {type: 'log', level: 'info', event: 'request.callerLeft', fields},
    countForRoute('request.callerLeft', request),
  ];
}
