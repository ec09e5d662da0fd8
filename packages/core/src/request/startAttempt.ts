import type {StartAttempt} from '../messages/requestMessages.ts';
import type {RequestState} from './requestState.ts';

/** Begins the next attempt of a request on the server that it was given. */
export function startAttempt(request: RequestState, nowMs: number): StartAttempt {
  request.phase = 'attempt';
  request.attempt += 1;
  request.attemptStartedAtMs = nowMs;
  request.headLatencyMs = undefined;
  return {
    type: 'startAttempt',
    requestId: request.requestId,
    attempt: request.attempt,
    serverId: request.serverId ?? '',
    origin: request.origin ?? '',
    timeoutMs: request.deadlineAtMs - nowMs,
    customerId: request.customerId,
    notRunHeader: request.backend.notRunHeader,
    maxBodyBytes: request.route.maxBodyBytes,
  };
}
