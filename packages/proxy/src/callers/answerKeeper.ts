import {Transform} from 'node:stream';
import type {TransformCallback} from 'node:stream';
import type {KeptAnswer} from '@godwitspring/core';

/** Largest answer that is kept for repeats of its request, in bytes. */
const maxKeptBytes = 4_096;

/** Passes an answer on and keeps it where it is small. */
export class AnswerKeeper extends Transform {
  readonly #status: number;
  readonly #contentType: string | undefined;
  readonly #chunks: Buffer[] = [];
  #seenBytes = 0;
  #isEnded = false;

  constructor(status: number, contentType: string | string[] | undefined) {
    super();
    this.#status = status;
    this.#contentType = typeof contentType === 'string' ? contentType : undefined;
  }

  /** The whole answer; undefined before its end or where it is too large. */
  get answer(): KeptAnswer | undefined {
    if (!this.#isEnded || this.#seenBytes > maxKeptBytes) {
      return undefined;
    }
    const body = new Uint8Array(Buffer.concat(this.#chunks));
    return {status: this.#status, contentType: this.#contentType, body};
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.#seenBytes += chunk.length;
    if (this.#seenBytes <= maxKeptBytes) {
      this.#chunks.push(chunk);
    }
    done(null, chunk);
  }

  override _flush(done: TransformCallback): void {
    this.#isEnded = true;
    done();
  }
}
