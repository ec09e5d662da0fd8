import type {CoreMessage} from '../messages/coreMessage.ts';
import type {ServerReleased} from '../messages/requestMessages.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import type {AttemptState, RequestState} from './requestState.ts';

/** A connection that broke while the request ran may mean that it crashed the server. */
function noteCrash(
  {customerId = '', route, requestDigest}: RequestState,
  serverId: string,
  ranForMs: number,
): readonly CoreMessage[] {
  const name = {customerId, routeId: route.id, requestDigest};
  return requestDigest === '' ? [] : [{type: 'crashNoted', ...name, serverId, ranForMs}];
}

function releasedFor(
  request: RequestState,
  serverId: string,
  outcome: WorkOutcome,
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
 * Gives the server of an attempt back, with what was seen of it.
 *
 * A loss is kept with the request until its end, when it is clear whom it speaks against.
 */
export function releaseServer(
  request: RequestState,
  {attempt, serverId, startedAtMs, headLatencyMs}: AttemptState,
  outcome: WorkOutcome,
  nowMs: number,
): readonly CoreMessage[] {
  request.running.delete(attempt);
  request.unreached += outcome === 'unreachable' ? 1 : 0;
  request.excludedServerIds.push(serverId);
  const ranForMs = nowMs - startedAtMs;
  const released = releasedFor(request, serverId, outcome, {
    latencyMs: headLatencyMs ?? 0,
    ranForMs,
  });
  if (outcome !== 'lost') {
    return [released];
  }
  request.losses.push(released);
  return noteCrash(request, serverId, ranForMs);
}

/** Gives back what a request waits for or holds without using it. */
export function withdrawRequest(request: RequestState): readonly CoreMessage[] {
  const {requestId, granted} = request;
  const withdrawn: CoreMessage = {type: 'requestWithdrawn', requestId};
  if (granted === undefined) {
    return [withdrawn];
  }
  request.granted = undefined;
  const unused = {latencyMs: 0, ranForMs: 0};
  return [releasedFor(request, granted.serverId, 'cancelled', unused), withdrawn];
}
