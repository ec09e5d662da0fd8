import type {ErrorKind} from '../errors/errorKinds.ts';
import type {AttemptFailure} from '../messages/requestMessages.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import type {RetryCause} from './retryGuard.ts';

const gatewayTimeoutStatus = 504;

/** What a caller is told where an attempt ended without an answer. */
export const kindByFailure: Readonly<Record<AttemptFailure, ErrorKind>> = {
  connect: 'connect-failed',
  lost: 'answer-lost',
  timeout: 'answer-timeout',
  malformed: 'answer-malformed',
  caller: 'caller-too-slow',
  'body-limit': 'body-too-large',
};

/** What such an end says of the server. */
export const workOutcomeByFailure: Readonly<Record<AttemptFailure, WorkOutcome>> = {
  connect: 'unreachable',
  lost: 'lost',
  timeout: 'timeout',
  malformed: 'lost',
  caller: 'cancelled',
  'body-limit': 'cancelled',
};

/** Why a request is sent again; a failure where an outcome is not named. */
export const causeByOutcome: Readonly<Partial<Record<WorkOutcome, RetryCause>>> = {
  unreachable: 'unreachable',
  shed: 'shed',
  misdirected: 'shed',
};

/** A server that gave up at the deadline was silent until then. */
export function failureOutcome(status: number): WorkOutcome {
  return status === gatewayTimeoutStatus ? 'timeout' : 'error';
}
