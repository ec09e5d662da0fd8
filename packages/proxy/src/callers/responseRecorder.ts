import {Transform} from 'node:stream';
import type {TransformCallback} from 'node:stream';
import type {StoredResponse} from '@godwitspring/core';
import type {PendingResponse} from './exchange.ts';

/** Largest response body that is recorded for duplicates of its request, in bytes. */
const maxRecordedBytes = 4_096;

/**
 * Passes a response body through unchanged and records it where it is small, so that a duplicate request with
 * the same idempotency key can be given the same response.
 */
export class ResponseRecorder extends Transform {
  readonly #status: number;
  readonly #contentType: string | undefined;
  readonly #isEndUndeclared: boolean | undefined;
  readonly #chunks: Buffer[] = [];
  #receivedBytes = 0;
  #isEnded = false;

  constructor({status, headers, framing}: Pick<PendingResponse, 'status' | 'headers' | 'framing'>) {
    super();
    const contentType = headers['content-type'];
    this.#status = status;
    this.#isEndUndeclared = framing === 'close' ? true : undefined;
    this.#contentType = typeof contentType === 'string' ? contentType : undefined;
  }

  /** The recorded response; undefined before the end of the body or where the body is too large. */
  get answer(): StoredResponse | undefined {
    if (!this.#isEnded || this.#receivedBytes > maxRecordedBytes) {
      return undefined;
    }
    const body = new Uint8Array(Buffer.concat(this.#chunks));
    return {
      status: this.#status,
      contentType: this.#contentType,
      body,
      isEndUndeclared: this.#isEndUndeclared,
    };
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes <= maxRecordedBytes) {
      this.#chunks.push(chunk);
    }
    done(null, chunk);
  }

  override _flush(done: TransformCallback): void {
    this.#isEnded = true;
    done();
  }
}
