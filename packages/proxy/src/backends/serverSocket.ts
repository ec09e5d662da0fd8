import type {SocketConstructorOpts, TcpSocketConnectOpts} from 'node:net';
import {ResponseHeadError, StatusLineError} from '../errors/hostErrors.ts';
import {ResponseHeadLimiter} from './responseHeadLimiter.ts';
import {ThrottledSocket} from './throttledSocket.ts';

/**
 * Receives the bytes of every socket, one after the other; they are copied out at once.
 *
 * Without it, each read takes a buffer of 65,536 bytes. Servers that send without end then leave more garbage than the
 * collector frees in time. The size is that of the pieces in which responses are written to callers.
 */
const readBuffer = Buffer.allocUnsafeSlow(16_384);

/**
 * A connection to a server that breaks where the heads or trailers of a response are too long or its status line is
 * none, before the HTTP client parses them.
 */
export class ServerSocket extends ThrottledSocket {
  readonly #limiter = new ResponseHeadLimiter();

  constructor() {
    // The constructor reads `onread`, but its types leave it out.
    const options: SocketConstructorOpts & Pick<TcpSocketConnectOpts, 'onread'> = {
      onread: {
        buffer: readBuffer,
        callback: (bytes, buffer) => this.push(Buffer.from(buffer.subarray(0, bytes))),
      },
    };
    super(options);
  }

  /** The next bytes that arrive are those of a new response. */
  startResponse(): void {
    this.#limiter.startResponse();
  }

  /** Takes bytes that arrived, each once; false where no more are wanted for now. */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk !== null && !this.#limiter.accepts(chunk)) {
      this.destroy(
        this.#limiter.fault === 'status-line'
          ? new StatusLineError('the version or the status is none of a response')
          : new ResponseHeadError('the head or the trailers are too long'),
      );
      return false;
    }
    return super.push(chunk, encoding);
  }
}
