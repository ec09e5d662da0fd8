import type {CoreMessage} from '../messages/coreMessage.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import {releaseServer, withdrawRequest} from './releaseServer.ts';
import type {AttemptState, RequestState} from './requestState.ts';

/** Outcomes of attempts that the server did not run. */
const notRunOutcomes: ReadonlySet<AttemptOutcome> = new Set(['shed', 'unreachable', 'misdirected']);

/**
 * Releases the servers whose connections were lost.
 *
 * A request that lost its connections to two or more servers counts as the cause itself.
 */
function releaseLostServers({lossReports}: RequestState): readonly CoreMessage[] {
  const serverIds = new Set(lossReports.map(({serverId}) => serverId));
  const isRequestAtFault = serverIds.size > 1;
  return lossReports.map((released) => ({...released, isRequestAtFault}));
}

/** Cancels attempts, discards their responses and releases their servers. */
function cancelAttempts(
  request: RequestState,
  attempts: readonly AttemptState[],
  outcome: AttemptOutcome,
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

/** Cancels every running attempt of a request except one. */
export function cancelOtherAttempts(
  request: RequestState,
  keptAttempt: number,
  nowMs: number,
): readonly CoreMessage[] {
  const others = [...request.running.values()].filter(({attempt}) => attempt !== keptAttempt);
  return cancelAttempts(request, others, 'cancelled', nowMs);
}

/**
 * Cancels the attempt whose response is being delivered, because its caller left. Its server answered, so the time that
 * the caller took to read does not count against it: otherwise callers that read nothing and leave make hosts avoid
 * healthy servers.
 */
export function cancelDelivery(request: RequestState): readonly CoreMessage[] {
  const answered = [...request.running.values()].filter(
    ({headLatencyMs}) => headLatencyMs !== undefined,
  );
  if (request.phase !== 'delivering' || answered.length === 0) {
    return [];
  }
  request.mayHaveRun = true;
  const messages: CoreMessage[] = [];
  for (const running of answered) {
    const {attempt, startedAtMs, headLatencyMs = 0} = running;
    const answeredAtMs = startedAtMs + headLatencyMs;
    messages.push(
      {type: 'cancelAttempt', requestId: request.requestId, attempt},
      {type: 'discardAnswer', requestId: request.requestId, attempt},
      ...releaseServer(request, running, request.serverFailure ?? 'ok', answeredAtMs),
    );
  }
  return messages;
}

/**
 * Ends a request: cancels its attempts, releases its servers and finalizes its claim.
 *
 * The claim becomes `unknown` where an attempt may have run without its response having been delivered.
 */
export function endRequest(
  request: RequestState,
  outcome: AttemptOutcome,
  nowMs: number,
): readonly CoreMessage[] {
  const {requestId} = request;
  const mayBeRunning = request.running.size > 0 && !notRunOutcomes.has(outcome);
  const hasRun = mayBeRunning || request.mayHaveRun;
  const cancelled = cancelAttempts(request, [...request.running.values()], outcome, nowMs);
  return [
    ...cancelled,
    ...withdrawRequest(request),
    ...releaseLostServers(request),
    {type: 'claimFinalized', requestId, state: hasRun ? 'unknown' : 'not-run'},
  ];
}
