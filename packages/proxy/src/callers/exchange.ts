import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {HeaderMap} from './headers.ts';

/** The head of a backend server's answer and its body, still unread. */
export interface PendingAnswer {
  readonly attempt: number;
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Readable;
  /** True where the answer has no length but ends with its connection. */
  readonly isUnframed: boolean;
}

/** One caller's request and the sockets that belong to it. */
export interface Exchange {
  readonly requestId: number;
  /** Name of the request towards caller and server. */
  readonly publicId: string;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly pathAndQuery: string;
  /** Whole body, where it is small enough to be sent again. */
  readonly bufferedBody: Buffer | undefined;
  /** True where a body follows that is passed on as it comes. */
  readonly hasStreamedBody: boolean;
  /** Answers that arrived and were neither handed on nor dropped, by attempt. */
  readonly answers: Map<number, PendingAnswer>;
  /** Moment of arrival, in ms. */
  readonly arrivedAtMs: number;
}
