/** How a server marks the end of its response. `none`, `http10` and `identity` end it by the close of the connection. */
export const framings = ['length', 'chunked', 'none', 'http10', 'identity'] as const;
export type Framing = (typeof framings)[number];

/** How a server ends its response. */
export const responseEnds = [
  'whole',
  'closedEarly',
  'resetSameTurn',
  'resetLater',
  'silence',
  'otherBytes',
  'endless',
  'endlessThenClose',
  'lateCopy',
] as const;
export type ResponseEnd = (typeof responseEnds)[number];

/**
 * How a response reaches its caller. A planned stop (SIGTERM) and a kill (SIGKILL) concern the host that serves the caller,
 * or the one that relays its attempt.
 */
export const ways = [
  'alone',
  'relay',
  'hedge',
  'timeout',
  'slowReader',
  'http10Caller',
  'plannedStop',
  'hostKilled',
  'relayStopped',
  'relayKilled',
] as const;
export type Way = (typeof ways)[number];

/**
 * Sizes of the bodies, in bytes: below, at and above what a host sends at once (16,384), what the kernel returns by one
 * read (65,536), and what a host buffers (262,144).
 */
export const bodySizes = [
  0, 900, 16_384, 16_385, 40_000, 65_536, 200_000, 262_144, 262_145, 900_000,
] as const;

/** What of an earlier response a late copy holds: all of it, all but the name of its attempt, or all but its head. */
export const copyForms = ['whole', 'unnamed', 'headless'] as const;
export type CopyForm = (typeof copyForms)[number];

/** One request of a run: what its server does, and on which way its response reaches the caller. */
export interface Trial {
  /** Id of the request; it names the seed of the run and the number of the trial. */
  readonly id: string;
  readonly seed: number;
  readonly framing: Framing;
  readonly end: ResponseEnd;
  readonly way: Way;
  readonly callerVersion: '1.0' | '1.1';
  readonly method: 'GET' | 'POST';
  /** Size of the request's body; 0 for none. */
  readonly uploadBytes: number;
  readonly bodyBytes: number;
  /** Bytes of the body that the server sends before its end goes wrong. */
  readonly cutBytes: number;
  /** Largest part of the body that is written at once. */
  readonly partBytes: number;
  /** Time between two parts. */
  readonly partGapMs: number;
  /** Time from the request to the head of the response. */
  readonly headDelayMs: number;
  /** Time from the last bytes to the reset of `resetLater`. */
  readonly resetDelayMs: number;
  /** Bytes after which the server of `endlessThenClose` closes, and number of other bytes of `otherBytes`. */
  readonly extraBytes: number;
  /** True where bytes without end are sent as chunks of a chunked body rather than in place of them. */
  readonly isExtraFramed: boolean;
  readonly copyForm: CopyForm;
  /** Number of the attempt that goes as `end` says; those after it are whole, and one before it is late. */
  readonly plannedAttempt: number;
}

/** True where the close of its connection is all that marks the end of a response. */
export function endsByClose({framing}: Pick<Trial, 'framing'>): boolean {
  return framing !== 'length' && framing !== 'chunked';
}

/** True for the ways on which a host ends. */
export function endsHost(way: Way): boolean {
  return /Stop|Killed/.test(way);
}

/** What a server did with one attempt of a trial. */
export interface AttemptRecord {
  readonly attempt: number;
  /** Digest of the whole body that the server meant to send. */
  readonly wholeDigest: string;
  /** True where the server meant to send a whole response and to end it as its framing wants. */
  readonly isSound: boolean;
  /** Body bytes that the server wrote so far, with other bytes in place of body bytes. */
  writtenBytes: number;
  /** Digest of the bytes that the server wrote; undefined until it closed the connection in order. */
  writtenDigest: string | undefined;
  /** How the server ended the response; `open` where it had not yet when the connection was closed by the host. */
  ending: 'whole' | 'closed' | 'reset' | 'open';
  /** True where the server itself declared an end that it did not mean: other bytes filled a length, or held a last chunk. */
  isDeclaredByServer: boolean;
}

/** What the caller of a trial received. */
export interface ReceivedResponse {
  /** 0 where no head was received. */
  readonly status: number;
  readonly framing: 'length' | 'chunked' | 'close';
  readonly bytes: number;
  readonly digest: string;
  /**
   * `declared`: the length was reached, or the last chunk received. `closed`: an orderly close ended a response without a
   * declared end. `broken`: a reset, or a close before the declared end. `waited`: none of these within the caller's wait.
   */
  readonly ending: 'declared' | 'closed' | 'broken' | 'waited';
  /** Body of a response that is no success, shortened. */
  readonly refusal: string;
}
