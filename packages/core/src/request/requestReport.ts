import {answerTable} from '../errors/answerTable.ts';
import type {ErrorKind, Outcome} from '../errors/errorKinds.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RequestArrived, StartAttempt} from '../messages/requestMessages.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import type {AttemptState, RequestState} from './requestState.ts';

export interface RefusalOptions {
  /** Wait after which the request has a chance, in ms. Default: that of the kind. */
  readonly retryAfterMs?: number | undefined;
  /** Whether the request can have run. Default: that of the kind. */
  readonly outcome?: Outcome | undefined;
}

export function countFor(name: string, {route}: RequestState): CoreMessage {
  return {type: 'count', name, tags: {route: route.id}};
}

export function observeFor(
  name: string,
  {route}: RequestState,
  outcome: string,
  valueMs: number,
): CoreMessage {
  return {type: 'observe', name, tags: {route: route.id, outcome}, valueMs};
}

/** Refuses a request of which nothing runs, and counts it. */
export function refuseAtOnce(
  requestId: number,
  kind: ErrorKind,
  {outcome, retryAfterMs}: RefusalOptions = {},
): readonly CoreMessage[] {
  const answer = answerTable[kind];
  return [
    {
      type: 'refuseRequest',
      requestId,
      kind,
      outcome: outcome ?? answer.outcome,
      retryAfterMs: retryAfterMs ?? answer.retryAfterMs,
    },
    {type: 'count', name: 'request.refused', tags: {kind}},
  ];
}

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

export function reportStarted(
  request: RequestState,
  {attempt, serverId, timeoutMs}: StartAttempt,
  nowMs: number,
): readonly CoreMessage[] {
  const sinceArrivalMs = nowMs - request.arrivedAtMs;
  const fields = {
    requestName: request.requestName,
    attempt,
    serverId,
    sinceArrivalMs: Math.round(sinceArrivalMs),
    leftMs: Math.round(timeoutMs),
    beside: request.running.size - 1,
  };
  return [
    observeFor('attempt.wait', request, `attempt ${attempt}`, sinceArrivalMs),
    {type: 'log', level: 'info', event: 'attempt.started', fields},
  ];
}

export function reportAttemptFailed(
  {requestName}: RequestState,
  {attempt, serverId, startedAtMs}: AttemptState,
  outcome: WorkOutcome,
  nowMs: number,
): CoreMessage {
  const ranForMs = Math.round(nowMs - startedAtMs);
  const fields = {requestName, attempt, serverId, outcome, ranForMs};
  return {type: 'log', level: 'warn', event: 'attempt.failed', fields};
}

export function reportDelivering(
  request: RequestState,
  {attempt, serverId, headLatencyMs}: AttemptState,
  status: number,
  nowMs: number,
): CoreMessage {
  const fields = {
    requestName: request.requestName,
    route: request.route.id,
    customer: request.customerId,
    attempt,
    serverId,
    status,
    latencyMs: Math.round(headLatencyMs ?? 0),
    totalMs: Math.round(nowMs - request.arrivedAtMs),
  };
  const level = request.serverFailure === undefined ? 'info' : 'warn';
  return {type: 'log', level, event: 'request.delivering', fields};
}

/** Reports the end of a request that was answered by a server. */
export function reportAnswered(
  request: RequestState,
  {startedAtMs}: AttemptState,
  nowMs: number,
): readonly CoreMessage[] {
  const outcome = request.serverFailure ?? 'ok';
  return [
    countFor('request.answered', request),
    observeFor('request.time', request, outcome, nowMs - request.arrivedAtMs),
    observeFor('attempt.time', request, outcome, nowMs - startedAtMs),
  ];
}

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
    observeFor('request.time', request, kind, afterMs),
    {type: 'log', level: 'warn', event: 'request.refused', fields},
  ];
}

export function reportCallerLeft(request: RequestState, nowMs: number): readonly CoreMessage[] {
  const {requestName, phase, arrivedAtMs} = request;
  const fields = {requestName, phase, afterMs: Math.round(nowMs - arrivedAtMs)};
  return [
    {type: 'log', level: 'info', event: 'request.callerLeft', fields},
    countFor('request.callerLeft', request),
  ];
}
