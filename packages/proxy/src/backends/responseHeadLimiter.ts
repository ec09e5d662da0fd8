import {isStatusLine} from '@godwitspring/core';

/** Limits on the heads and trailers of one response. */
export interface ResponseHeadLimiterOptions {
  /** Lines of all its heads, interim ones included, and of its trailers. Default: 500, as for the heads of callers. */
  readonly maxLines: number;
  /**
   * Size of a line, also of the one before each chunk, in bytes. Default: 17,408, more than the 16,384 bytes of names and
   * values that the HTTP client accepts in a head.
   */
  readonly maxLineBytes: number;
}

export const DEFAULT_RESPONSE_HEAD_LIMITER_OPTIONS: ResponseHeadLimiterOptions = {
  maxLines: 500,
  maxLineBytes: 17_408,
};

/** What is wrong with a response: a head, a line or trailers that are too long, or a status line that is none. */
export type ResponseHeadFault = 'too-long' | 'status-line';

/** Part of a response to which the next bytes belong; `unlimited` is a body that is not in chunks, and all after the end. */
type ResponsePart = 'status-line' | 'fields' | 'chunk-size' | 'trailers' | 'unlimited';

/** Characters of a line that are looked at: more than the framing needs. */
const keptLineLength = 256;
const lineFeed = 0x0a;
const lineEndBytes = 2;

/**
 * Follows the heads, the chunk sizes and the trailers of a response as its bytes arrive, and finds those that are too long,
 * and status lines with a version or a status that no response has.
 *
 * Addresses servers that send very many short fields: an HTTP client that limits the bytes of a head keeps some hundred
 * bytes of memory for each field of a few bytes; it also accepts statuses such as 999. It finds no other fault: bytes
 * that do not start like a response pass, as the HTTP client refuses them.
 */
export class ResponseHeadLimiter {
  readonly #options: ResponseHeadLimiterOptions;
  #part: ResponsePart = 'status-line';
  #isInterim = false;
  #isChunked = false;
  #lines = 0;
  /** Start of the line that is being received. */
  #line = '';
  #lineBytes = 0;
  /** Bytes of the present chunk that are still to come, with the end of its line. */
  #chunkBytes = 0;
  #fault: ResponseHeadFault = 'too-long';

  constructor(options: Partial<ResponseHeadLimiterOptions> = {}) {
    this.#options = {...DEFAULT_RESPONSE_HEAD_LIMITER_OPTIONS, ...options};
  }

  /** Why bytes were not accepted. */
  get fault(): ResponseHeadFault {
    return this.#fault;
  }

  /** The next bytes are those of a new response. */
  startResponse(): void {
    this.#part = 'status-line';
    this.#lines = 0;
    this.#line = '';
    this.#lineBytes = 0;
    this.#chunkBytes = 0;
  }

  /** Reads the next bytes of the response; false once they have a fault. */
  accepts(bytes: Uint8Array): boolean {
    let at = 0;
    while (at < bytes.length && this.#part !== 'unlimited') {
      if (this.#chunkBytes > 0) {
        const skippedBytes = Math.min(this.#chunkBytes, bytes.length - at);
        this.#chunkBytes -= skippedBytes;
        at += skippedBytes;
        continue;
      }
      const lineFeedAt = bytes.indexOf(lineFeed, at);
      const endAt = lineFeedAt < 0 ? bytes.length : lineFeedAt + 1;
      if (!this.#addToLine(bytes.subarray(at, endAt))) {
        return false;
      }
      if (lineFeedAt >= 0 && !this.#endLine()) {
        return false;
      }
      at = endAt;
    }
    return true;
  }

  #addToLine(bytes: Uint8Array): boolean {
    this.#lineBytes += bytes.length;
    const missingLength = keptLineLength - this.#line.length;
    this.#line += String.fromCharCode(...bytes.subarray(0, missingLength));
    return this.#lineBytes <= this.#options.maxLineBytes;
  }

  #endLine(): boolean {
    const line = this.#line.trimEnd();
    this.#line = '';
    this.#lineBytes = 0;
    if (this.#part === 'chunk-size') {
      this.#startChunk(Number.parseInt(line, 16));
      return true;
    }
    if (line === '' && this.#part !== 'status-line') {
      this.#part = this.#partAfterFields();
      return true;
    }
    if (this.#part === 'status-line' && line.startsWith('HTTP/') && !isStatusLine(line)) {
      this.#fault = 'status-line';
      return false;
    }
    this.#readHeadLine(line);
    this.#lines += 1;
    return this.#lines <= this.#options.maxLines;
  }

  #startChunk(bytes: number): void {
    if (Number.isNaN(bytes)) {
      this.#part = 'unlimited';
    } else if (bytes === 0) {
      this.#part = 'trailers';
    } else {
      this.#chunkBytes = bytes + lineEndBytes;
    }
  }

  #partAfterFields(): ResponsePart {
    if (this.#part === 'trailers') {
      return 'unlimited';
    }
    if (this.#isInterim) {
      return 'status-line';
    }
    return this.#isChunked ? 'chunk-size' : 'unlimited';
  }

  #readHeadLine(line: string): void {
    if (this.#part === 'status-line' && line !== '') {
      this.#part = line.startsWith('HTTP/') ? 'fields' : 'unlimited';
      this.#isInterim = /^HTTP\/\S+ 1/.test(line);
      this.#isChunked = false;
    } else if (this.#part === 'fields' && /^transfer-encoding:.*chunked/i.test(line)) {
      this.#isChunked = true;
    }
  }
}
