import {responseTable} from '@godwitspring/core';
import type {ErrorKind, Outcome} from '@godwitspring/core';

/** Body of a refusal: problem details by RFC 9457, with extension members. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  /** Reason for the refusal. */
  readonly kind: ErrorKind;
  /** Whether the request surely did not run (`not-run`) or may have run (`unknown`). */
  readonly outcome: Outcome;
  readonly requestId?: string | undefined;
  /** Time after which a retry may succeed, in ms. */
  readonly retryAfterMs?: number | undefined;
  readonly detail?: string | undefined;
}

/** Media type of problem details. */
export const problemContentType = 'application/problem+json';

/** Builds the body that reports to a caller why a request was refused. */
export function problemBody(
  kind: ErrorKind,
  {
    outcome = responseTable[kind].outcome,
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
  const {title, status} = responseTable[kind];
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
