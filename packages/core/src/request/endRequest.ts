import type {CoreMessage} from '../messages/coreMessage.ts';
import type {WorkOutcome} from '../messages/requestMessages.ts';
import {releaseServer} from './releaseServer.ts';
import type {RequestState} from './requestState.ts';

/** A request that broke the connections of two servers is to blame itself, not its servers. */
function countedLosses({losses}: RequestState): readonly CoreMessage[] {
  const serverIds = new Set(losses.map(({serverId}) => serverId));
  return serverIds.size > 1 ? [] : losses;
}

/** Ends a request; one that ran without an answer handed on leaves its claim in doubt. */
export function endRequest(request: RequestState, outcome: WorkOutcome): readonly CoreMessage[] {
  const {requestId} = request;
  const hasNotRun = request.attempt === 0 || outcome === 'shed' || outcome === 'unreachable';
  const state = hasNotRun && !request.hasBeenInDoubt ? 'not-run' : 'unknown';
  return [
    ...releaseServer(request, outcome),
    ...countedLosses(request),
    {type: 'claimSettled', requestId, state},
  ];
}
