import {Transform} from 'node:stream';
import type {TransformCallback} from 'node:stream';
import {BodyLimitError, SlowCallerError} from '../errors/hostErrors.ts';
import type {TimerService, TimerHandle} from '../timer/timerService.ts';

/** Limits on a streamed request body. */
export interface BodyLimiterOptions {
  readonly timers: TimerService;
  /** Largest body, in bytes. */
  readonly maxBodyBytes: number;
  /** Longest pause between two chunks from the caller, in ms. */
  readonly idleMs: number;
}

/**
 * Passes a caller's request body through, and fails the stream where the body grows too large or the caller
 * stops sending. Time in which the next stage has not yet consumed the data does not count as a pause.
 */
export class BodyLimiter extends Transform {
  readonly #options: BodyLimiterOptions;
  #receivedBytes = 0;
  #lastProgressMs: number;
  #timer: TimerHandle;

  constructor(options: BodyLimiterOptions) {
    super();
    this.#options = options;
    this.#lastProgressMs = options.timers.nowMs();
    this.#timer = this.#scheduleIdleCheck();
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.#receivedBytes += chunk.length;
    this.#lastProgressMs = this.#options.timers.nowMs();
    if (this.#receivedBytes > this.#options.maxBodyBytes) {
      done(new BodyLimitError(`request body exceeds ${this.#options.maxBodyBytes} bytes`));
      return;
    }
    done(null, chunk);
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.#timer.cancel();
    done(error);
  }

  #scheduleIdleCheck(): TimerHandle {
    const {timers, idleMs} = this.#options;
    return timers.at(this.#lastProgressMs + idleMs, () => {
      const isWaitingForCaller = this.readableLength === 0 && this.writableLength === 0;
      const isSilent = timers.nowMs() - this.#lastProgressMs >= idleMs;
      if (isSilent && isWaitingForCaller && !this.writableEnded) {
        this.destroy(new SlowCallerError(`no byte of the request body received for ${idleMs} ms`));
        return;
      }
      if (!isWaitingForCaller) {
        this.#lastProgressMs = timers.nowMs();
      }
      this.#timer = this.#scheduleIdleCheck();
    });
  }
}
