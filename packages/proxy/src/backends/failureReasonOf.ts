import type {FailureReason} from '@godwitspring/core';
import {
  BrokenAnswerError,
  EndlessBodyError,
  InterimResponsesError,
  RepeatedResponseError,
  ResponseMemoryError,
  UndeclaredBodyError,
} from '../errors/hostErrors.ts';

/** Code of a system or library error; empty where it has none. */
export function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/** What was wrong with a response, by the error that ended it; undefined where it just broke off. */
export function failureReasonOf(error: unknown): FailureReason | undefined {
  if (error instanceof BrokenAnswerError || errorCode(error) === 'ECONNRESET') {
    return 'reset';
  }
  if (error instanceof RepeatedResponseError) {
    return 'repeated';
  }
  if (error instanceof InterimResponsesError) {
    return 'interim';
  }
  if (error instanceof UndeclaredBodyError) {
    return 'undeclared-too-large';
  }
  if (error instanceof EndlessBodyError) {
    return 'endless';
  }
  if (error instanceof ResponseMemoryError) {
    return 'memory';
  }
  return errorCode(error).startsWith('HPE_') ? 'protocol' : undefined;
}
