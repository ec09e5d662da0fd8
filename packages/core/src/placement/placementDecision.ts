import type {ErrorKind} from '../errors/errorKinds.ts';
import type {HedgeWithheldReason} from '../hedging/hedgingPolicy.ts';
import type {PlaceAsk} from '../messages/peerMessages.ts';
import type {AdmissionReason} from './queueAdmission.ts';

/** A server on which an attempt may run. */
export interface GrantedPlacement {
  readonly state: 'granted';
  readonly serverId: string;
  /** Requests per second that the server accepts from the whole fleet; undefined for no limit. */
  readonly limitPerSecond: number | undefined;
  /** Name of the policy that chose the server. */
  readonly policy: string;
  /** Estimated probability that the attempt fails, 0 to 1. */
  readonly risk: number;
  /** Expected duration as a multiple of the typical one; undefined where it is not known. */
  readonly speedFactor: number | undefined;
  /** Time after which an unanswered attempt is late enough to start a hedged one, in ms; undefined for never. */
  readonly secondAfterMs: number | undefined;
  /** True for a hedged attempt, beside another one of the same request. */
  readonly isHedge: boolean;
  /** Time since the start of the last successful attempt on the server, in ms; infinite for none. */
  readonly provenAgoMs: number;
  /** True where the attempt has to use a new connection, as the path from the host to the server is uncertain. */
  readonly needsNewConnection: boolean;
}

/** A home of the backend in another data centre, which has room for the request. */
export interface ElsewherePlacement {
  readonly state: 'elsewhere';
  readonly dataCentre: string;
  /** Wait that the request had to expect at the own home, in ms; undefined where no server is usable there. */
  readonly expectedWaitMs: number | undefined;
  /** Risk of the own server that was not used, 0 to 1; absent where none was free. */
  readonly risk?: number;
}

/** What an admission decision was based on, for the logs and metrics; absent where the queue had no part in it. */
interface AdmissionDetails {
  readonly reason?: AdmissionReason;
  /** Time in which a request of the customer would be served, in ms. */
  readonly expectedWaitMs?: number;
  /** Share of the starts of its priority class that the customer may use, 0 to 1. */
  readonly customerShare?: number;
}

/**
 * What the home of a backend decided for a placement query: run on a server, wait, be refused, or query the home of
 * another data centre.
 */
export type PlacementDecision =
  | GrantedPlacement
  | ElsewherePlacement
  | (AdmissionDetails & {readonly state: 'waiting'; readonly expectedWaitMs: number})
  | (AdmissionDetails & {
      readonly state: 'refused';
      readonly kind: ErrorKind;
      readonly retryAfterMs: number;
      /** Why a hedged attempt is withheld; absent for other refusals. */
      readonly withheld?: HedgeWithheldReason;
    });

/** The host that received the caller's request and queries the home for a server. */
export interface EntryHost {
  readonly hostId: string;
  readonly dataCentre: string;
}

/** What the home of a backend decided for a query that waited. */
export interface QueueDecision extends AdmissionDetails {
  readonly key: string;
  readonly entryHost: EntryHost;
  readonly query: PlaceAsk;
  readonly waitedMs: number;
  readonly decision: PlacementDecision;
}
