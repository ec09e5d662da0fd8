import type {CoreMessage} from '../messages/coreMessage.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import {releaseServer, withdrawRequest} from './releaseServer.ts';
import type {AttemptState, RequestState} from './requestState.ts';

/** Ends of attempts that did not run. */
const notTaken: ReadonlySet<WorkOutcome> = new Set(['shed', 'unreachable', 'misdirected']);

/** A request that broke the connections of two servers is to blame itself, not its servers. */
function countedLosses({losses}: RequestState): readonly CoreMessage[] {
  const serverIds = new Set(losses.map(({serverId}) => serverId));
  return serverIds.size > 1 ? [] : losses;
}

function cancelAll(
  request: RequestState,
  attempts: readonly AttemptState[],
  outcome: WorkOutcome,
  nowMs: number,
): readonly CoreMessage[] {
  const {requestId} = request;
  const messages: CoreMessage[] = [];
  for (const running of attempts) {
    const {attempt} = running;
    messages.push(
      {type: 'cancelAttempt', requestId, attempt},
      {type: 'discardAnswer', requestId, attempt},
      ...releaseServer(request, running, outcome, nowMs),
    );
  }
  return messages;
}

/** Cancels every attempt but one. */
export function cancelOthers(
  request: RequestState,
  kept: number,
  nowMs: number,
): readonly CoreMessage[] {
  const others = [...request.running.values()].filter(({attempt}) => attempt !== kept);
  return cancelAll(request, others, 'cancelled', nowMs);
}

/** Ends a request; one that ran without an answer handed on leaves its claim in doubt. */
export function endRequest(
  request: RequestState,
  outcome: WorkOutcome,
  nowMs: number,
): readonly CoreMessage[] {
  const {requestId} = request;
  const isTaken = request.running.size > 0 && !notTaken.has(outcome);
  const hasRun = isTaken || request.hasBeenInDoubt;
  const cancelled = cancelAll(request, [...request.running.values()], outcome, nowMs);
  return [
    ...cancelled,
    ...withdrawRequest(request),
    ...countedLosses(request),
    {type: 'claimSettled', requestId, state: hasRun ? 'unknown' : 'not-run'},
  ];
}
