import {bodyOf, digestOf} from './bodyOf.ts';
import {responseHead} from './responseHead.ts';
import {ResponsePlan} from './responsePlan.ts';
import type {Trial} from './trial.ts';

/** Most body bytes of a late copy. */
const maxCopyBytes = 40_000;

/** An earlier response of a connection, which a faulty server sends once more. */
export interface EarlierResponse {
  readonly trial: Trial;
  readonly attempt: number;
}

/** A late copy of a response, or a part of it, as the form of the copy says. */
export function copyOf({trial, attempt}: EarlierResponse, form: Trial['copyForm']): Buffer {
  const body = bodyOf(trial.id, attempt, Math.min(trial.bodyBytes, maxCopyBytes));
  const framed = new ResponsePlan(trial).frame(body);
  const lastChunk = Buffer.from(trial.framing === 'chunked' ? '0\r\n\r\n' : '');
  const head = responseHead(trial, digestOf(body));
  const unnamedHead = head.toString('latin1').replace(/X-Godwitspring-Request-Id:.*\r\n/, '');
  const copiedHead = {whole: head, unnamed: Buffer.from(unnamedHead), headless: Buffer.alloc(0)}[
    form
  ];
  return Buffer.concat([copiedHead, ...(body.length > 0 ? [framed] : []), lastChunk]);
}

/** True where a server that sends a late copy thereby declares an end, in a way that its bytes do not show. */
export function declaresEndByCopy(
  {framing, copyForm, bodyBytes, cutBytes}: Trial,
  earlier: Trial,
  headBytes: number,
): boolean {
  switch (framing) {
    case 'length':
      return copyForm !== 'whole' || bodyBytes - cutBytes < headBytes;
    case 'chunked':
      return copyForm === 'headless' && earlier.framing === 'chunked';
    default:
      return false;
  }
}
