import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ErrorKind, ServerNotice} from '@godwitspring/core';
import {
  customerHeader,
  deadlineHeader,
  requestIdHeader,
  serverNoticeHeaders,
} from '../callers/headers.ts';
import {problemBody, problemContentType} from '../callers/problemBody.ts';
import {budgetMs, digestOfKey, singleHeader} from '../callers/requestHead.ts';
import {decodeServerNotice} from './decodeServerNotice.ts';
import type {
  ResponseClassification,
  AttemptHeaderValues,
  HttpDialect,
  Refusal,
  RefusalOptions,
} from './httpDialect.ts';

/** Settings of the default dialect. */
export interface DefaultDialectOptions {
  /** Header with the customer's key, in lower case. */
  readonly keyHeader: string;
}

/** Default dialect: the headers of `callers/headers.ts`, and refusals as problem details (RFC 9457). */
export class DefaultDialect implements HttpDialect {
  readonly requestNameHeader = requestIdHeader;
  readonly isPathOpaque = false;
  readonly droppedHeaders: readonly string[];
  readonly #keyHeader: string;

  constructor({keyHeader}: DefaultDialectOptions) {
    this.#keyHeader = keyHeader;
    this.droppedHeaders = [keyHeader, customerHeader, requestIdHeader, deadlineHeader, 'expect'];
  }

  keyDigest(incoming: IncomingMessage): string | undefined {
    return digestOfKey(singleHeader(incoming, this.#keyHeader));
  }

  requestName(_incoming: IncomingMessage, ownName: string): string {
    return ownName;
  }

  attemptName(requestName: string, attempt: number): string {
    return `${requestName}.${attempt}`;
  }

  budgetMs(incoming: IncomingMessage): number | undefined {
    return budgetMs(incoming, deadlineHeader);
  }

  idempotencyKey(incoming: IncomingMessage): string | undefined {
    return singleHeader(incoming, 'idempotency-key');
  }

  attemptHeaders({
    attemptName,
    timeoutMs,
    customerId,
  }: AttemptHeaderValues): Record<string, string> {
    const headers: Record<string, string> = {
      [requestIdHeader]: attemptName,
      [deadlineHeader]: String(Math.max(0, Math.floor(timeoutMs))),
    };
    if (customerId !== undefined) {
      headers[customerHeader] = customerId;
    }
    return headers;
  }

  classifyResponse(
    status: number,
    headers: IncomingHttpHeaders,
    notRunHeader: string,
  ): ResponseClassification {
    const reportsNotRun = status >= 500 && headers[notRunHeader] !== undefined;
    return {reportsNotRun, isMisdirected: false, isMalformed: false};
  }

  serverNotice(status: number, headers: IncomingHttpHeaders): ServerNotice {
    return decodeServerNotice(status, headers, serverNoticeHeaders);
  }

  droppedResponseHeaders(notRunHeader: string): readonly string[] {
    return [requestIdHeader, notRunHeader];
  }

  refusal(kind: ErrorKind, options: RefusalOptions): Refusal {
    const {requestName, retryAfterMs} = options;
    const problem = problemBody(kind, {...options, requestId: requestName});
    const headers: Record<string, string> = {'content-type': problemContentType};
    if (requestName !== undefined) {
      headers[requestIdHeader] = requestName;
    }
    if (retryAfterMs !== undefined) {
      headers['retry-after'] = String(Math.ceil(retryAfterMs / 1_000));
    }
    return {status: problem.status, headers, body: JSON.stringify(problem)};
  }
}
