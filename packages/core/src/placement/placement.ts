import type {ErrorKind} from '../errors/errorKinds.ts';

/** What became of an ask. */
export type Placement =
  | {
      readonly state: 'granted';
      readonly serverId: string;
      readonly risk: number;
      readonly secondAfterMs: number;
      readonly provenAgoMs: number;
      /** True where the way of the host to the server is in doubt. */
      readonly needsNewConnection: boolean;
    }
  | {readonly state: 'waiting'; readonly expectedWaitMs: number}
  | {readonly state: 'refused'; readonly kind: ErrorKind; readonly retryAfterMs: number};

/** An ask and the host that sent it. */
export interface Asker {
  readonly hostId: string;
  readonly dataCentre: string;
}
