import type {IncomingMessage} from 'node:http';
import {CallerLeftError, SlowCallerError} from '../errors/hostErrors.ts';
import type {TimerHandle, TimerService} from '../timer/timerService.ts';

/** Limits of reading a request body into memory. */
export interface ReadWholeBodyOptions {
  /** Declared size of the body, in bytes. */
  readonly declaredBytes: number;
  readonly timers: TimerService;
  /** Longest pause of the caller, in ms. */
  readonly idleMs: number;
}

/** Size of the first buffer of a body, in bytes. */
const firstBufferBytes = 4_096;

/**
 * Collects a request body in one buffer that grows up to the declared size. A buffer for each piece that arrives would
 * take several times the memory of the body where a caller sends small pieces.
 */
class BodyBuffer {
  readonly #declaredBytes: number;
  #buffer: Buffer | undefined;
  #length = 0;

  constructor(declaredBytes: number) {
    this.#declaredBytes = declaredBytes;
  }

  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (this.#buffer === undefined && length === this.#declaredBytes) {
      this.#buffer = chunk;
    } else {
      this.#grow(length);
      chunk.copy(this.#buffer ?? chunk, this.#length);
    }
    this.#length = length;
  }

  bytes(): Buffer {
    return (this.#buffer ?? Buffer.alloc(0)).subarray(0, this.#length);
  }

  #grow(length: number): void {
    const capacity = this.#buffer?.length ?? 0;
    if (capacity >= length) {
      return;
    }
    const doubled = Math.max(firstBufferBytes, capacity * 2, length);
    const grown = Buffer.allocUnsafeSlow(Math.max(length, Math.min(doubled, this.#declaredBytes)));
    this.#buffer?.copy(grown, 0, 0, this.#length);
    this.#buffer = grown;
  }
}

/** Reads a request body into memory; fails where the caller disconnects, sends nothing for `idleMs` or is too slow. */
export class BodyReader {
  readonly #incoming: IncomingMessage;
  readonly #options: ReadWholeBodyOptions;
  #lastProgressMs: number;
  #timer: TimerHandle | undefined;
  #fail: ((error: Error) => void) | undefined;

  constructor(incoming: IncomingMessage, options: ReadWholeBodyOptions) {
    this.#incoming = incoming;
    this.#options = options;
    this.#lastProgressMs = options.timers.nowMs();
  }

  async read(): Promise<Buffer> {
    const incoming = this.#incoming;
    const body = new BodyBuffer(this.#options.declaredBytes);
    const onData = (chunk: Buffer): void => {
      body.append(chunk);
      this.#lastProgressMs = this.#options.timers.nowMs();
    };
    this.#scheduleIdleCheck();
    try {
      await new Promise<void>((resolve, reject) => {
        this.#fail = reject;
        incoming.on('error', reject);
        incoming.once('close', () => {
          reject(new CallerLeftError('the connection was closed within the request body'));
        });
        incoming.once('end', resolve);
        incoming.on('data', onData);
      });
      return body.bytes();
    } finally {
      this.#fail = undefined;
      this.#timer?.cancel();
      incoming.off('data', onData);
    }
  }

  /** Makes the read fail, as the caller sends too slowly. */
  giveUp(): void {
    this.#fail?.(new SlowCallerError('the request body arrives too slowly'));
  }

  #scheduleIdleCheck(): void {
    const {timers, idleMs} = this.#options;
    this.#timer = timers.at(this.#lastProgressMs + idleMs, () => {
      if (timers.nowMs() - this.#lastProgressMs >= idleMs) {
        this.#fail?.(new SlowCallerError(`no byte of the request body received for ${idleMs} ms`));
        return;
      }
      this.#scheduleIdleCheck();
    });
  }
}
