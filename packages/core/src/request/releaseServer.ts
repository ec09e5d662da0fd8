import type {CoreMessage} from '../messages/coreMessage.ts';
import type {ServerReleased, WorkOutcome} from '../messages/requestMessages.ts';
import type {RequestState} from './requestState.ts';

/** A connection that broke while the request ran may mean that it crashed the server. */
function noteCrash(request: RequestState, serverId: string): readonly CoreMessage[] {
  const {customerId = '', route, requestDigest, ranForMs} = request;
  const name = {customerId, routeId: route.id, requestDigest};
  return requestDigest === '' ? [] : [{type: 'crashNoted', ...name, serverId, ranForMs}];
}

/**
 * Gives the server of a request back, with what was seen of it.
 *
 * A loss is kept with the request until its end, when it is clear whom it speaks against.
 */
export function releaseServer(request: RequestState, outcome: WorkOutcome): readonly CoreMessage[] {
  const {requestId, serverId, backend, route} = request;
  if (serverId === undefined) {
    return [{type: 'requestWithdrawn', requestId}];
  }
  request.serverId = undefined;
  request.excludedServerIds.push(serverId);
  const released: ServerReleased = {
    type: 'serverReleased',
    requestId,
    serverId,
    backendId: backend.id,
    routeId: route.id,
    customerId: request.customerId,
    outcome,
    latencyMs: request.headLatencyMs ?? 0,
  };
  const withdrawn: CoreMessage = {type: 'requestWithdrawn', requestId};
  if (outcome !== 'lost') {
    return [released, withdrawn];
  }
  request.losses.push(released);
  return [withdrawn, ...noteCrash(request, serverId)];
}
