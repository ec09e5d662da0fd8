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
  request.isHedgeRequested = false;
  const {attempt} = request;
  request.running.set(attempt, {
    ...granted,
    attempt,
    relayHostId,
    startedAtMs: nowMs,
    headLatencyMs: undefined,
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
