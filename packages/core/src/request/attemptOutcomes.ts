import type {ErrorKind} from '../errors/errorKinds.ts';
import type {AttemptFailure} from '../messages/requestMessages.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import type {RetryCause} from './retryPolicy.ts';

const gatewayTimeoutStatus = 504;

/** Error kind of the refusal that the caller gets, by the failure of an attempt without a complete response. */
export const errorKindByFailure: Readonly<Record<AttemptFailure, ErrorKind>> = {
  connect: 'connect-failed',
  relay: 'connect-failed',
  lost: 'answer-lost',
  timeout: 'answer-timeout',
  malformed: 'answer-malformed',
  caller: 'caller-too-slow',
  'body-limit': 'body-too-large',
  oversized: 'answer-too-large',
  memory: 'overloaded',
};

/** Outcome that is recorded for the server, by the failure of an attempt. */
export const outcomeByFailure: Readonly<Record<AttemptFailure, AttemptOutcome>> = {
  connect: 'unreachable',
  relay: 'unreachable',
  lost: 'lost',
  timeout: 'timeout',
  malformed: 'lost',
  caller: 'cancelled',
  'body-limit': 'cancelled',
  oversized: 'cancelled',
  memory: 'cancelled',
};

/** Retry budget that a retry after an outcome is charged to; outcomes not listed here count as `failure`. */
export const retryCauseByOutcome: Readonly<Partial<Record<AttemptOutcome, RetryCause>>> = {
  unreachable: 'unreachable',
  shed: 'shed',
  misdirected: 'shed',
};

/** Outcome of a 5xx response. A 504 counts as `timeout`: the server was silent until the deadline and gave up. */
export function outcomeOfErrorStatus(status: number): AttemptOutcome {
  return status === gatewayTimeoutStatus ? 'timeout' : 'error';
}
