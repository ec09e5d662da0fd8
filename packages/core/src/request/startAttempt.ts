import type {StartAttempt} from '../messages/requestMessages.ts';
import type {GrantedServer, RequestState} from './requestState.ts';

/** Starts the next attempt of a request on the server granted to it; updates the state of the request. */
export function startAttempt(
  request: RequestState,
  granted: GrantedServer,
  relayHostId: string | undefined,
  nowMs: number,
): StartAttempt {
  request.phase = 'attempt';
  request.attempt += 1;
  request.granted = undefined;
  const isHedge = request.isHedgeRequested;
  request.isHedgeRequested = false;
  request.isRetryByHedgeQuery = false;
  const {attempt} = request;
  request.running.set(attempt, {
    ...granted,
    attempt,
    relayHostId,
    startedAtMs: nowMs,
    isHedge,
    headLatencyMs: undefined,
    isDelivered: false,
  });
  return {
    type: 'startAttempt',
    requestId: request.requestId,
    attempt,
    serverId: granted.serverId,
    origin: granted.origin,
    timeoutMs: request.deadlineAtMs - nowMs,
    customerId: request.customerId,
    notRunHeader: request.backend.notRunHeader,
    mustEchoName: request.backend.echoesRequestId,
    maxBodyBytes: request.route.maxBodyBytes,
    needsNewConnection: granted.needsNewConnection,
    relayHostId,
  };
}
