import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ErrorKind, Outcome, ServerNotice} from '@godwitspring/core';

/** Response by which a request is refused. */
export interface Refusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Details of a refusal. */
export interface RefusalOptions {
  /** Whether the request may have run; by default that of the error kind. */
  readonly outcome?: Outcome | undefined;
  /** Name of the request towards the caller. */
  readonly requestName?: string | undefined;
  /** Time after which a retry may succeed, in ms. */
  readonly retryAfterMs?: number | undefined;
  /** Explanation of what is wrong with the request, for human readers. */
  readonly detail?: string | undefined;
}

/** Interpretation of a server's response, beyond its status. */
export interface ResponseClassification {
  /** True where the server states that it did not run the request. */
  readonly reportsNotRun: boolean;
  /** True where a server other than the intended one responded at the address. */
  readonly isMisdirected: boolean;
  /** True where the response lacks a property that every valid response of a server has. */
  readonly isMalformed: boolean;
}

/** Values for the headers that an attempt adds to those of the caller. */
export interface AttemptHeaderValues {
  readonly attemptName: string;
  readonly serverId: string;
  readonly timeoutMs: number;
  readonly customerId: string | undefined;
}

/**
 * Header names, interpretation of responses and form of refusals that callers and backend servers use.
 *
 * A dialect translates only and makes no routing decisions, so that the same tasks serve other callers by
 * another dialect.
 */
export interface HttpDialect {
  /** Request headers that are not forwarded to servers, in lower case. */
  readonly droppedHeaders: readonly string[];
  /** Header with the name of a request or attempt, in lower case. */
  readonly requestNameHeader: string;
  /** True where paths are forwarded unchecked, even if a server may interpret them as another path. */
  readonly isPathOpaque: boolean;
  /** SHA-256 of the key that the caller sent, in hex; undefined where it sent none. */
  keyDigest(incoming: IncomingMessage): string | undefined;
  /** Name of the request towards the caller; `ownName` is the one that this host generated. */
  requestName(incoming: IncomingMessage, ownName: string): string;
  /** Name of an attempt towards the server. */
  attemptName(requestName: string, attempt: number): string;
  /** Time budget that the caller sets for the request, in ms; undefined where it sets none. */
  budgetMs(incoming: IncomingMessage): number | undefined;
  /** Idempotency key of the request; undefined where it has none. */
  idempotencyKey(incoming: IncomingMessage): string | undefined;
  /** Headers that an attempt adds to those of the caller. */
  attemptHeaders(head: AttemptHeaderValues): Record<string, string>;
  /**
   * Interprets a server's response; `notRunHeader` is the header by which the server states that it did not
   * run the request.
   */
  classifyResponse(
    status: number,
    headers: IncomingHttpHeaders,
    notRunHeader: string,
  ): ResponseClassification;
  /** Decodes what a server states about itself in the status and headers of a response. */
  serverNotice(status: number, headers: IncomingHttpHeaders): ServerNotice;
  /** Response headers that are not forwarded to the caller, in lower case. */
  droppedResponseHeaders(notRunHeader: string): readonly string[];
  /** Builds the response that refuses a request. */
  refusal(kind: ErrorKind, options: RefusalOptions): Refusal;
}
