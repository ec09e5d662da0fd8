import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ErrorKind, Outcome} from '@godwitspring/core';

/** A refusal as it is written to a caller. */
export interface Refusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

export interface RefusalOptions {
  readonly outcome?: Outcome | undefined;
  /** Name of the request towards the caller. */
  readonly requestName?: string | undefined;
  /** Wait after which the request has a chance, in ms. */
  readonly retryAfterMs?: number | undefined;
  /** What is wrong with the request, for people. */
  readonly detail?: string | undefined;
}

/** What the server's answer says beside its status. */
export interface AnswerVerdict {
  /** True where the server itself says that it did not run the request. */
  readonly saidNotRun: boolean;
  /** True where another server than the one meant has the address. */
  readonly isMisdirected: boolean;
  /** True where the answer lacks what every good answer of a server has. */
  readonly isMalformed: boolean;
}

/** What one attempt adds to the caller's headers. */
export interface AttemptHead {
  readonly attemptName: string;
  readonly serverId: string;
  readonly timeoutMs: number;
  readonly customerId: string | undefined;
}

/**
 * How callers and backend servers spell what the core knows: names of headers and the form of refusals.
 *
 * Decides nothing; another dialect serves other callers with the same tasks.
 */
export interface HttpDialect {
  /** Headers of the caller that are not passed on, in lower case. */
  readonly droppedHeaders: readonly string[];
  /** Header that carries the name of a request or attempt, in lower case. */
  readonly requestNameHeader: string;
  /** True where paths are passed on as they are, however a server may read them. */
  readonly isPathOpaque: boolean;
  /** SHA-256 of the key that a caller shows, in hex; undefined where it shows none. */
  keyDigest(incoming: IncomingMessage): string | undefined;
  /** Name of the request towards the caller, given the number that this host gave it. */
  requestName(incoming: IncomingMessage, ownName: string): string;
  /** Name of one attempt towards the server. */
  attemptName(requestName: string, attempt: number): string;
  /** Time that the caller gives, in ms. */
  budgetMs(incoming: IncomingMessage): number | undefined;
  idempotencyKey(incoming: IncomingMessage): string | undefined;
  attemptHeaders(head: AttemptHead): Record<string, string>;
  judgeAnswer(status: number, headers: IncomingHttpHeaders, notRunHeader: string): AnswerVerdict;
  /** Headers of the server that are not passed on, in lower case. */
  droppedAnswerHeaders(notRunHeader: string): readonly string[];
  refusal(kind: ErrorKind, options: RefusalOptions): Refusal;
}
