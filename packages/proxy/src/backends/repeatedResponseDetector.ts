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
 */
export class RepeatedResponseDetector {
  readonly #options: RepeatedResponseDetectorOptions;
  /** End of the body so far, in which a head may have begun. */
  #tail: Buffer = Buffer.alloc(0);

  constructor(options: RepeatedResponseDetectorOptions) {
    this.#options = options;
  }

  /** Reads the next bytes of the body; true if they complete the head of a repeated response. */
  hasFoundIn(chunk: Buffer): boolean {
    const bytes = this.#tail.length === 0 ? chunk : Buffer.concat([this.#tail, chunk]);
    this.#tail = bytes.subarray(-maxHeadBytes);
    const startsAt = bytes.indexOf(statusLineStart);
    return startsAt >= 0 && this.#namesAttempt(bytes.toString('latin1', startsAt));
  }

  /** True if a text holds the head of a response that names an attempt of the connection. */
  #namesAttempt(text: string): boolean {
    const {requestNameHeader, attemptNames} = this.#options;
    const headPattern = new RegExp(
      `HTTP/1\\.[01] \\d{3}[^\\r\\n]{0,${maxLineLength}}\\r\\n` +
        `(?:[^\\r\\n]{1,${maxLineLength}}\\r\\n){0,${maxHeaderLines}}?` +
        `${requestNameHeader}:[ \\t]*([^\\r\\n]{0,${maxLineLength}}?)[ \\t]*\\r\\n`,
      'gi',
    );
    for (const [, name = ''] of text.matchAll(headPattern)) {
      if (attemptNames.includes(name)) {
        return true;
      }
    }
    return false;
  }
}
