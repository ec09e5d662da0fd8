/** Most header lines before the one that names the attempt, and most characters of each. */
const maxHeaderLines = 32;
const maxLineLength = 512;
/** Most bytes from the status line of a repeated response to the end of the header that names its attempt. */
const maxHeadBytes = 16_384;
/** Start of the status line of any response. */
const statusLineStart = 'HTTP/1.';

/** What is known of the attempts that ran on a connection. */
export interface RepeatedResponseDetectorOptions {
  /** Header in which servers echo the name of an attempt. */
  readonly requestNameHeader: string;
  /** Names of the attempts of which a response was sent, or is being sent, on the connection. */
  readonly attemptNames: readonly string[];
}

/**
 * Finds the head of a response within the body of another: a faulty server that sends responses twice may write a late
 * copy into the body of the response that follows on the connection. The body is then not what the server meant.
 *
 * A head counts only if it names an attempt of this connection, so that a body may quote other responses.
 *
 * Of the bytes read, only those are kept in which a head has begun, and none of the buffers that held them: a body
 * without end would otherwise leave a copy of each of its chunks for the garbage collector.
 */
export class RepeatedResponseDetector {
  readonly #headPattern: RegExp;
  readonly #attemptNames: readonly string[];
  /**
   * The body from the first status line in its last `maxHeadBytes` bytes, in latin1; where there is none, the part of
   * `statusLineStart` with which the body ends so far.
   */
  #begunHead = '';

  constructor({requestNameHeader, attemptNames}: RepeatedResponseDetectorOptions) {
    this.#attemptNames = attemptNames;
    this.#headPattern = new RegExp(
      `HTTP/1\\.[01] \\d{3}[^\\r\\n]{0,${maxLineLength}}\\r\\n` +
        `(?:[^\\r\\n]{1,${maxLineLength}}\\r\\n){0,${maxHeaderLines}}?` +
        `${requestNameHeader}:[ \\t]*([^\\r\\n]{0,${maxLineLength}}?)[ \\t]*\\r\\n`,
      'gi',
    );
  }

  /** Reads the next bytes of the body; true if they complete the head of a repeated response. */
  hasFoundIn(chunk: Buffer): boolean {
    const text = this.#textFromStatusLine(chunk);
    if (text === undefined) {
      return false;
    }
    this.#begunHead = begunHeadOf(text);
    return this.#namesAttempt(text);
  }

  /** The text from the first status line in what was kept and a chunk; undefined where there is none. */
  #textFromStatusLine(chunk: Buffer): string | undefined {
    const begun = this.#begunHead;
    if (begun.length > 0) {
      const missingLength = Math.max(0, statusLineStart.length - begun.length);
      const start = begun + chunk.toString('latin1', 0, missingLength);
      if (start.startsWith(statusLineStart)) {
        return begun + chunk.toString('latin1');
      }
      if (statusLineStart.startsWith(start)) {
        this.#begunHead = start;
        return undefined;
      }
    }
    const startsAt = chunk.indexOf(statusLineStart);
    if (startsAt >= 0) {
      return chunk.toString('latin1', startsAt);
    }
    this.#begunHead = begunStatusLineOf(chunk.toString('latin1', longestPartStartsAt(chunk)));
    return undefined;
  }

  /** True if a text holds the head of a response that names an attempt of the connection. */
  #namesAttempt(text: string): boolean {
    for (const [, name = ''] of text.matchAll(this.#headPattern)) {
      if (this.#attemptNames.includes(name)) {
        return true;
      }
    }
    return false;
  }
}

/** Where the longest part of `statusLineStart` with which a chunk or text can end begins in it. */
function longestPartStartsAt({length}: Buffer | string): number {
  return Math.max(0, length - statusLineStart.length + 1);
}

/** The part of `statusLineStart` with which a text ends; its first letter does not occur in it again. */
function begunStatusLineOf(text: string): string {
  const startsAt = text.lastIndexOf(statusLineStart.charAt(0));
  const part = startsAt < 0 ? '' : text.slice(startsAt);
  return statusLineStart.startsWith(part) ? part : '';
}

/** What has to be kept of a text that starts with a status line. */
function begunHeadOf(text: string): string {
  if (text.length <= maxHeadBytes) {
    return text;
  }
  const startsAt = text.indexOf(statusLineStart, text.length - maxHeadBytes);
  if (startsAt < 0) {
    return begunStatusLineOf(text.slice(longestPartStartsAt(text)));
  }
  // A slice of a string keeps the whole string in memory.
  return Buffer.from(text.slice(startsAt), 'latin1').toString('latin1');
}
