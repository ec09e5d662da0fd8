import {answerTable} from '@godwitspring/core';
import type {ErrorKind, Outcome} from '@godwitspring/core';

/** A refusal as problem details of RFC 9457. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  readonly requestId?: string | undefined;
  readonly retryAfterMs?: number | undefined;
  readonly detail?: string | undefined;
}

export const problemContentType = 'application/problem+json';

/** Builds the body that tells a caller why a request was refused. */
export function problemBody(
  kind: ErrorKind,
  {
    outcome = answerTable[kind].outcome,
    requestId,
    retryAfterMs,
    detail,
  }: {
    outcome?: Outcome | undefined;
    requestId?: string | undefined;
    retryAfterMs?: number | undefined;
    detail?: string | undefined;
  } = {},
): ProblemBody {
  const {title, status} = answerTable[kind];
  return {
    type: `urn:godwitspring:${kind}`,
    title,
    status,
    kind,
    outcome,
    requestId,
    retryAfterMs,
    detail,
  };
}
