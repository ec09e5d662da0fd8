import {endsByClose} from './trial.ts';
import type {Trial} from './trial.ts';

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

/** Builds the steps of one response. */
export class ResponsePlan {
  readonly steps: ResponseStep[] = [];
  readonly #trial: Trial;

  constructor(trial: Trial) {
    this.#trial = trial;
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

  /** Adds bytes that are no body in any framing. */
  writeHead(bytes: Buffer): void {
    this.steps.push({type: 'write', bytes, payload: Buffer.alloc(0)});
  }

  /** Adds body bytes in parts, with pauses between them; the last part is no longer than `lastBytes`. */
  writeParts(body: Buffer, lastBytes = this.#trial.partBytes): void {
    const {partBytes, partGapMs} = this.#trial;
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
    return this.#trial.framing === 'chunked'
      ? Buffer.concat([
          Buffer.from(`${payload.length.toString(16)}\r\n`),
          payload,
          Buffer.from('\r\n'),
        ])
      : payload;
  }

  /** Ends the response as its framing wants it. */
  finish(): void {
    if (this.#trial.framing === 'chunked') {
      this.writeHead(Buffer.from('0\r\n\r\n'));
    }
    this.steps.push(endsByClose(this.#trial) ? {type: 'close'} : {type: 'keep'});
  }
}
