import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorKind, Outcome} from '@godwitspring/core';
import {requestIdHeader} from './headers.ts';
import {problemBody, problemContentType} from './problemBody.ts';

export interface ProblemOptions {
  readonly outcome: Outcome;
  readonly requestId: string;
  readonly retryAfterMs?: number | undefined;
  readonly detail?: string | undefined;
}

/** Answers a caller with a refusal; closes the connection where the body was not read. */
export function writeProblem(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  kind: ErrorKind,
  options: ProblemOptions,
): void {
  const problem = problemBody(kind, options);
  const headers: Record<string, string> = {
    'content-type': problemContentType,
    [requestIdHeader]: options.requestId,
  };
  if (options.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(options.retryAfterMs / 1_000));
  }
  const isBodyUnread = !incoming.complete;
  if (isBodyUnread) {
    headers.connection = 'close';
  }
  outgoing.writeHead(problem.status, headers);
  outgoing.end(JSON.stringify(problem), () => {
    if (isBodyUnread) {
      incoming.destroy();
    }
  });
}
