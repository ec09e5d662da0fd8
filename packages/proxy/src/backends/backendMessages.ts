import type {Readable} from 'node:stream';
import type {SendProbe} from '@godwitspring/core';
import type {HeaderMap} from '../callers/headers.ts';

/** One attempt to be run on a backend server. */
export interface RunAttempt {
  readonly type: 'run';
  readonly requestId: number;
  readonly attempt: number;
  /** Identity of the attempt; an answer that carries another one is not handed on. */
  readonly attemptName: string;
  readonly serverId: string;
  readonly origin: string;
  readonly method: string;
  readonly pathAndQuery: string;
  readonly headers: HeaderMap;
  readonly body: Readable | Buffer | undefined;
  readonly timeoutMs: number;
  readonly notRunHeader: string;
  /** True where the way to the server is in doubt, so that only a new connection is used. */
  readonly needsNewConnection: boolean;
}

/** What the backend task takes. */
export type BackendCommand =
  | RunAttempt
  | SendProbe
  | {
      readonly type: 'cancelAttempt';
      readonly requestId: number;
      readonly attempt: number;
    };
