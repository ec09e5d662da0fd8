import type {CoreMessage} from '../messages/coreMessage.ts';
import type {ServerReleased} from '../messages/requestMessages.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import type {AttemptState, RequestState} from './requestState.ts';

/** Reports a connection lost during an attempt: the request may have crashed the server. */
function reportPossibleCrash(
  {customerId = '', route, requestDigest}: RequestState,
  serverId: string,
  ranForMs: number,
): readonly CoreMessage[] {
  const identity = {customerId, routeId: route.id, requestDigest};
  return requestDigest === '' ? [] : [{type: 'crashObserved', ...identity, serverId, ranForMs}];
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
  {attempt, serverId, startedAtMs, headLatencyMs}: AttemptState,
  outcome: AttemptOutcome,
  nowMs: number,
): readonly CoreMessage[] {
  request.running.delete(attempt);
  request.unreachedAttempts += outcome === 'unreachable' ? 1 : 0;
  request.excludedServerIds.push(serverId);
  const ranForMs = nowMs - startedAtMs;
  const released = createServerReleased(request, serverId, outcome, {
    latencyMs: headLatencyMs ?? 0,
    ranForMs,
  });
  if (outcome !== 'lost') {
    return [released];
  }
  request.lossReports.push(released);
  return reportPossibleCrash(request, serverId, ranForMs);
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
