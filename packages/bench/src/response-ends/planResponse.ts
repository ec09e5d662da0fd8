import {createHash} from 'node:crypto';
import {bodyOf} from './bodyOf.ts';
import {lateHeadMs} from './drawTrial.ts';
import {endsByClose} from './trial.ts';
import type {AttemptRecord, Trial} from './trial.ts';

/** One step of a server that sends a response. Steps follow each other in one turn, except after a wait or a flush. */
export type ResponseStep =
  | {readonly type: 'wait'; readonly waitMs: number}
  /** Writes bytes; `payload` are those that are read as body where only the close ends it. */
  | {readonly type: 'write'; readonly bytes: Buffer; readonly payload: Buffer}
  /** Waits until the kernel has taken all bytes. */
  | {readonly type: 'flush'}
  /** Closes the connection in order. */
  | {readonly type: 'close'}
  | {readonly type: 'reset'}
  /** Sends nothing more until the other side closes. */
  | {readonly type: 'silence'}
  /** Writes `part` again and again, until the other side closes or until `limitBytes` were written. */
  | {readonly type: 'repeat'; readonly part: Buffer; readonly limitBytes: number}
  /** Notes that from here on the server itself declares an end that it does not mean. */
  | {readonly type: 'declare'}
  /** Leaves the connection to the next request. */
  | {readonly type: 'keep'};

/** A response as its server will send it, and what the server means by it. */
export interface PlannedResponse {
  readonly steps: readonly ResponseStep[];
  readonly wholeDigest: string;
  /** How the steps end the response where the other side leaves them time. */
  readonly ending: AttemptRecord['ending'];
}

/** Size of one write of bytes without end. */
const repeatBytes = 16_384;
/** Bound on bytes without end where the other side does not close, in bytes. */
const maxRepeatBytes = 64_000_000;
/** Most body bytes of a late copy. */
const maxCopyBytes = 40_000;
/** Last bytes before a reset, in bytes: they are written in one turn with it. */
const lastPartBytes = 4_096;

/** Digest by which bodies are compared. */
export function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Head of the response to an attempt. */
export function responseHead({id, framing, bodyBytes}: Trial, wholeDigest: string): Buffer {
  const framingLines = {
    length: [`Content-Length: ${bodyBytes}`],
    chunked: ['Transfer-Encoding: chunked'],
    none: ['Connection: close'],
    http10: [],
    identity: ['Transfer-Encoding: identity', 'Connection: close'],
  }[framing];
  const lines = [
    `${framing === 'http10' ? 'HTTP/1.0' : 'HTTP/1.1'} 200 OK`,
    `X-Godwitspring-Request-Id: ${id}`,
    `X-Godwitspring-Server-Signature: ${wholeDigest}`,
    'Content-Type: application/octet-stream',
    ...framingLines,
  ];
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
}

/** Builds the steps of one response. */
class ResponsePlan {
  readonly steps: ResponseStep[] = [];
  readonly #isChunked: boolean;

  constructor({framing}: Trial) {
    this.#isChunked = framing === 'chunked';
  }

  /** Adds body bytes in the framing of the response. */
  writeBody(payload: Buffer): void {
    if (payload.length > 0) {
      this.steps.push({type: 'write', bytes: this.frame(payload), payload});
    }
  }

  /** Adds bytes outside the framing; where there is none, they are body as well. */
  writeRaw(bytes: Buffer): void {
    this.steps.push({type: 'write', bytes, payload: bytes});
  }

  writeHead(bytes: Buffer): void {
    this.steps.push({type: 'write', bytes, payload: Buffer.alloc(0)});
  }

  /** Adds body bytes in parts, with pauses between them; the last part is no longer than `lastBytes`. */
  writeParts(body: Buffer, {partBytes, partGapMs}: Trial, lastBytes: number): void {
    const lastStart = Math.max(0, body.length - lastBytes);
    for (let start = 0; start < lastStart; start += partBytes) {
      this.writeBody(body.subarray(start, Math.min(lastStart, start + partBytes)));
      this.pause(partGapMs);
    }
    this.writeBody(body.subarray(lastStart));
  }

  /** Notes that the bytes so far or those that follow declare an end that the server does not mean. */
  declareIf(isDeclared: boolean): void {
    if (isDeclared) {
      this.steps.push({type: 'declare'});
    }
  }

  pause(waitMs: number): void {
    this.steps.push({type: 'flush'}, {type: 'wait', waitMs});
  }

  frame(payload: Buffer): Buffer {
    return this.#isChunked
      ? Buffer.concat([
          Buffer.from(`${payload.length.toString(16)}\r\n`),
          payload,
          Buffer.from('\r\n'),
        ])
      : payload;
  }
}

/** An earlier response of a connection, which a faulty server sends once more. */
export interface EarlierResponse {
  readonly trial: Trial;
  readonly attempt: number;
}

/** A late copy of a response, or a part of it, as the form of the copy says. */
function copyOf({trial, attempt}: EarlierResponse, form: Trial['copyForm']): Buffer {
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
function declaresEndByCopy(
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

/**
 * Plans the response to an attempt. `earlier` is the last response of the connection, if there is one.
 */
export function planResponse(
  trial: Trial,
  attempt: number,
  earlier: EarlierResponse | undefined,
): PlannedResponse {
  const {id, bodyBytes, plannedAttempt, way} = trial;
  const body = bodyOf(id, attempt, bodyBytes);
  const wholeDigest = digestOf(body);
  const plan = new ResponsePlan(trial);
  const isLate = way === 'hedge' && attempt === 1;
  const head = responseHead(trial, wholeDigest);
  plan.pause(isLate ? lateHeadMs : trial.headDelayMs);
  plan.writeHead(head);
  const end = attempt === plannedAttempt ? trial.end : 'whole';
  const planned = {steps: plan.steps, wholeDigest};
  if (end === 'whole') {
    plan.writeParts(body, trial, trial.partBytes);
    finish(plan, trial);
    return {...planned, ending: 'whole'};
  }
  const start = body.subarray(0, trial.cutBytes);
  const isLastPartShort = trial.partGapMs > 0 && (end === 'resetSameTurn' || end === 'resetLater');
  plan.writeParts(start, trial, isLastPartShort ? lastPartBytes : trial.partBytes);
  const fillsLength = (otherBytes: number): boolean =>
    trial.framing === 'length' && otherBytes >= bodyBytes - trial.cutBytes;
  switch (end) {
    case 'closedEarly':
      plan.steps.push({type: 'close'});
      return {...planned, ending: 'closed'};
    case 'resetSameTurn':
      plan.steps.push({type: 'reset'});
      return {...planned, ending: 'reset'};
    case 'resetLater':
      plan.pause(trial.resetDelayMs);
      plan.steps.push({type: 'reset'});
      return {...planned, ending: 'reset'};
    case 'silence':
      plan.steps.push({type: 'silence'});
      return {...planned, ending: 'open'};
    case 'otherBytes': {
      plan.writeRaw(Buffer.alloc(trial.extraBytes, '#'));
      plan.declareIf(fillsLength(trial.extraBytes));
      plan.steps.push({type: 'close'});
      return {...planned, ending: 'closed'};
    }
    case 'endless':
    case 'endlessThenClose': {
      const other = Buffer.alloc(repeatBytes, '#');
      const part = trial.isExtraFramed ? plan.frame(other) : other;
      const limitBytes = end === 'endless' ? maxRepeatBytes : trial.extraBytes;
      plan.declareIf(fillsLength(limitBytes));
      plan.steps.push({type: 'repeat', part, limitBytes});
      plan.steps.push(end === 'endless' ? {type: 'silence'} : {type: 'close'});
      return {...planned, ending: end === 'endless' ? 'open' : 'closed'};
    }
    case 'lateCopy': {
      const copied = earlier ?? {trial, attempt};
      plan.writeRaw(copyOf(copied, trial.copyForm));
      plan.declareIf(declaresEndByCopy(trial, copied.trial, head.length));
      plan.writeParts(body.subarray(trial.cutBytes), trial, trial.partBytes);
      finish(plan, trial);
      return {...planned, ending: 'closed'};
    }
  }
}

/** Ends a response as its framing wants it. */
function finish(plan: ResponsePlan, trial: Trial): void {
  if (trial.framing === 'chunked') {
    plan.writeHead(Buffer.from('0\r\n\r\n'));
  }
  plan.steps.push(endsByClose(trial) ? {type: 'close'} : {type: 'keep'});
}
