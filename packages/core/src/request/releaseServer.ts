import type {CoreMessage} from '../messages/coreMessage.ts';
import type {ServerReleased} from '../messages/requestMessages.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import {countForRoute} from './requestReport.ts';
import type {AttemptState, RequestState} from './requestState.ts';

/**
 * Reports an attempt under which the server may have crashed: the connection was lost, or the request ended without
 * a response.
 */
function reportPossibleCrash(
  {customerId = '', route, requestDigest, phase}: RequestState,
  {serverId, headLatencyMs}: AttemptState,
  outcome: AttemptOutcome,
  ranForMs: number,
): readonly CoreMessage[] {
  if (requestDigest === '') {
    return [];
  }
  const observed = {customerId, routeId: route.id, requestDigest, serverId, ranForMs};
  if (outcome === 'lost') {
    return [{type: 'crashObserved', ...observed}];
  }
  const wasSilent = outcome === 'timeout' || outcome === 'cancelled';
  const isAnswered = phase === 'delivering' || headLatencyMs !== undefined;
  return wasSilent && !isAnswered ? [{type: 'silenceObserved', ...observed}] : [];
}

/** Creates the message that releases a server, with the outcome and times of the attempt. */
function createServerReleased(
  request: RequestState,
  serverId: string,
  outcome: AttemptOutcome,
  {latencyMs, ranForMs}: {latencyMs: number; ranForMs: number},
): ServerReleased {
  return {
    type: 'serverReleased',
    requestId: request.requestId,
    serverId,
    backendId: request.backend.id,
    routeId: request.route.id,
    customerId: request.customerId,
    outcome,
    latencyMs,
    ranForMs,
    ...(outcome === 'cancelled' && request.isInconclusive ? {isInconclusive: true} : {}),
  };
}

/**
 * Ends an attempt and releases its server, with the outcome and times of the attempt.
 *
 * The release of a server whose connection was lost is withheld until the request ends: only then is it
 * clear whether the server or the request is at fault.
 */
export function releaseServer(
  request: RequestState,
  running: AttemptState,
  outcome: AttemptOutcome,
  nowMs: number,
): readonly CoreMessage[] {
  const {attempt, serverId, startedAtMs, headLatencyMs} = running;
  request.running.delete(attempt);
  request.unreachedAttempts += outcome === 'unreachable' ? 1 : 0;
  request.excludedServerIds.push(serverId);
  const ranForMs = nowMs - startedAtMs;
  const released = createServerReleased(request, serverId, outcome, {
    latencyMs: headLatencyMs ?? 0,
    ranForMs,
  });
  const reports = [
    ...reportPossibleCrash(request, running, outcome, ranForMs),
    ...(running.isHedge && !running.isDelivered ? [countForRoute('hedge.wasted', request)] : []),
  ];
  if (outcome !== 'lost') {
    return [released, ...reports];
  }
  request.lossReports.push(released);
  return reports;
}

/** Withdraws the pending queries of a request and releases a server that was granted but not used. */
export function withdrawRequest(request: RequestState): readonly CoreMessage[] {
  const {requestId, granted} = request;
  const withdrawn: CoreMessage = {type: 'requestWithdrawn', requestId};
  if (granted === undefined) {
    return [withdrawn];
  }
  request.granted = undefined;
  const noTimes = {latencyMs: 0, ranForMs: 0};
  return [createServerReleased(request, granted.serverId, 'cancelled', noTimes), withdrawn];
}
