import {Transform} from 'node:stream';
import type {TransformCallback} from 'node:stream';
import {BodyLimitError, SlowCallerError} from '../errors/hostErrors.ts';
import type {TimerService, TimerSubscription} from '../timer/timerService.ts';

export interface BodyGuardOptions {
  readonly timers: TimerService;
  /** Largest body, in bytes. */
  readonly maxBodyBytes: number;
  /** Longest silence of the caller, in ms. */
  readonly idleMs: number;
}

/** Passes a caller's body on; breaks it when it grows too large or the caller goes silent. */
export class BodyGuard extends Transform {
  readonly #options: BodyGuardOptions;
  #seenBytes = 0;
  #lastSeenMs: number;
  #timer: TimerSubscription;

  constructor(options: BodyGuardOptions) {
    super();
    this.#options = options;
    this.#lastSeenMs = options.timers.nowMs();
    this.#timer = this.#watch();
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.#seenBytes += chunk.length;
    this.#lastSeenMs = this.#options.timers.nowMs();
    if (this.#seenBytes > this.#options.maxBodyBytes) {
      done(new BodyLimitError(`body exceeds ${this.#options.maxBodyBytes} bytes`));
      return;
    }
    done(null, chunk);
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.#timer.cancel();
    done(error);
  }

  #watch(): TimerSubscription {
    const {timers, idleMs} = this.#options;
    return timers.at(this.#lastSeenMs + idleMs, () => {
      const isWaitingForCaller = this.readableLength === 0 && this.writableLength === 0;
      const isSilent = timers.nowMs() - this.#lastSeenMs >= idleMs;
      if (isSilent && isWaitingForCaller && !this.writableEnded) {
        this.destroy(new SlowCallerError(`no byte of the body for ${idleMs} ms`));
        return;
      }
      if (!isWaitingForCaller) {
        this.#lastSeenMs = timers.nowMs();
      }
      this.#timer = this.#watch();
    });
  }
}
