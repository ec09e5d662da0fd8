import {ResponseHeadError} from '../errors/hostErrors.ts';
import {ResponseHeadLimiter} from './responseHeadLimiter.ts';
import {ThrottledSocket} from './throttledSocket.ts';

/**
 * A connection to a server that breaks where the heads or trailers of a response are too long, before the HTTP client
 * parses them.
 */
export class ServerSocket extends ThrottledSocket {
  readonly #limiter = new ResponseHeadLimiter();

  /** The next bytes that arrive are those of a new response. */
  startResponse(): void {
    this.#limiter.startResponse();
  }

  /** Takes bytes that arrived, each once, as the `net` module hands them over. */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk !== null && !this.#limiter.accepts(chunk)) {
      this.destroy(new ResponseHeadError('the head or the trailers are too long'));
      return false;
    }
    return super.push(chunk, encoding);
  }
}
