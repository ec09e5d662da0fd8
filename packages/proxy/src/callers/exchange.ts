import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {BodyFraming} from '@godwitspring/core';
import type {HeaderMap} from './headers.ts';

/** Head of a backend server's response, with a body that has not been read yet. */
export interface PendingResponse {
  readonly attempt: number;
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Readable;
  /** How the server marks the end of the body; one that only the close of the connection marks was read to its end. */
  readonly framing: BodyFraming;
  /** Size of the body, in bytes; undefined where it was not read to its end before it is passed on. */
  readonly bodyBytes: number | undefined;
}

/** A caller's request in progress, with its streams to the caller and the responses to its attempts. */
export interface Exchange {
  readonly requestId: number;
  /** Name of the request towards the caller, on which the names of its attempts are based. */
  readonly requestName: string;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly pathAndQuery: string;
  /** Complete request body, where it is small enough to be sent again. */
  readonly bufferedBody: Buffer | undefined;
  /** True where the body is not buffered but streamed to the server. */
  readonly hasStreamedBody: boolean;
  /** Responses that were neither delivered nor discarded yet, by attempt. */
  readonly responses: Map<number, PendingResponse>;
  /** Time of arrival on the host's clock, in ms. */
  readonly arrivedAtMs: number;
}
