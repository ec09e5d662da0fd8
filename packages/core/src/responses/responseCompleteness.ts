import {z} from 'zod';
import type {BodyFraming} from './bodyFraming.ts';

/**
 * What is known of a response body of which no more bytes come: `declared` by its server as complete, `undeclared` where
 * an orderly close is all that was seen, which a server that breaks down sends too, or `incomplete`.
 */
export const completenessSchema = z.enum(['declared', 'undeclared', 'incomplete']);

/** What is known of a response body of which no more bytes come. */
export type Completeness = z.infer<typeof completenessSchema>;

/** What was seen at the end of a response body. */
export interface BodyEndEvidence {
  readonly framing: BodyFraming;
  /** True where the connection was reset rather than closed. */
  readonly wasReset: boolean;
}

/**
 * Judges a body that the HTTP parser reported as ended. A length or chunks were then reached; without them only the way
 * in which the connection ended is known.
 */
export function judgeCompleteness({framing, wasReset}: BodyEndEvidence): Completeness {
  if (framing !== 'close') {
    return 'declared';
  }
  return wasReset ? 'incomplete' : 'undeclared';
}

/** What a host knows of a response that it is about to pass on. */
export interface OutgoingBody {
  /** How the server marks the end of the body. */
  readonly framing: BodyFraming;
  /** Size of the body, in bytes; undefined where the server names none and it was not read to its end. */
  readonly bodyBytes: number | undefined;
  /** True where the receiver understands chunks. */
  readonly acceptsChunks: boolean;
}

/**
 * Chooses how to mark the end of a response towards its receiver. A host declares an end only where the server did: a
 * last chunk or a length would make the part complete that a server sent before it broke down.
 */
export function chooseFraming({framing, bodyBytes, acceptsChunks}: OutgoingBody): BodyFraming {
  if (framing !== 'chunks') {
    return framing;
  }
  if (acceptsChunks) {
    return 'chunks';
  }
  return bodyBytes === undefined ? 'close' : 'length';
}
