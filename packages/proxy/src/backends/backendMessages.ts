import type {Readable} from 'node:stream';
import type {DialServer, SendProbe} from '@godwitspring/core';
import type {HeaderMap} from '../callers/headers.ts';

/** An attempt to be run on a backend server. */
export interface RunAttempt {
  readonly type: 'run';
  readonly requestId: number;
  readonly attempt: number;
  /** Name of the attempt; a response that echoes another name is not passed on. */
  readonly attemptName: string;
  readonly serverId: string;
  readonly origin: string;
  readonly method: string;
  readonly pathAndQuery: string;
  readonly headers: HeaderMap;
  readonly body: Readable | Buffer | undefined;
  readonly timeoutMs: number;
  readonly notRunHeader: string;
  /** True where the server echoes the name of the attempt, so that a response without it is not passed on. */
  readonly mustEchoName: boolean | undefined;
  /** True where the network path to the server is suspect, so that only a new connection may be used. */
  readonly needsNewConnection: boolean;
  /** Host that relays the attempt to the server; undefined where this host sends it itself. */
  readonly relayHostId: string | undefined;
}

/** Messages to the backend task. */
export type BackendCommand =
  | RunAttempt
  | SendProbe
  | DialServer
  | {
      readonly type: 'cancelAttempt';
      readonly requestId: number;
      readonly attempt: number;
    };
