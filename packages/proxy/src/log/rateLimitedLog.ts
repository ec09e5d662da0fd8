import type {Logger} from 'pino';
import type {TimerService} from '../timer/timerService.ts';

/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Settings and collaborators of a rate-limited log. */
export interface RateLimitedLogOptions {
  readonly log: Logger;
  readonly timers: TimerService;
  /** Most lines per second, over all levels. Default: 400. */
  readonly linesPerSecond: number;
  /** Most lines per second of level `debug` or `info`; the rest is reserved for warnings and errors. Default: 250. */
  readonly infoLinesPerSecond: number;
}

export const DEFAULT_RATE_LIMITED_LOG_OPTIONS = {
  linesPerSecond: 400,
  infoLinesPerSecond: 250,
} as const;

type RequiredRateLimitedLogOptions = Pick<RateLimitedLogOptions, 'log' | 'timers'>;

/** Length of the window in which lines are counted, in ms. */
const windowMs = 1_000;

/**
 * Log with a limit on lines per second. Dropped lines are counted; their number is logged at the next write
 * in a new window.
 */
export class RateLimitedLog {
  readonly #options: RateLimitedLogOptions;
  #windowEndsAtMs = 0;
  #lines = 0;
  #infoLines = 0;
  #dropped = 0;
  #droppedWarnings = 0;

  constructor(options: Partial<RateLimitedLogOptions> & RequiredRateLimitedLogOptions) {
    this.#options = {...DEFAULT_RATE_LIMITED_LOG_OPTIONS, ...options};
  }

  /** Writes a line, or drops it where the limit of the current window is reached. */
  write(level: LogLevel, event: string, fields: Readonly<Record<string, unknown>>): void {
    const {log, linesPerSecond, infoLinesPerSecond} = this.#options;
    this.#startWindowIfDue();
    const isInfo = level === 'info' || level === 'debug';
    const isOverLimit =
      this.#lines >= linesPerSecond || (isInfo && this.#infoLines >= infoLinesPerSecond);
    if (isOverLimit) {
      this.#dropped += 1;
      this.#droppedWarnings += isInfo ? 0 : 1;
      return;
    }
    this.#lines += 1;
    this.#infoLines += isInfo ? 1 : 0;
    log[level]({event, ...fields});
  }

  #startWindowIfDue(): void {
    const nowMs = this.#options.timers.nowMs();
    if (nowMs < this.#windowEndsAtMs) {
      return;
    }
    this.#windowEndsAtMs = nowMs + windowMs;
    this.#lines = 0;
    this.#infoLines = 0;
    if (this.#dropped > 0) {
      const fields = {dropped: this.#dropped, droppedWarnings: this.#droppedWarnings};
      this.#dropped = 0;
      this.#droppedWarnings = 0;
      this.#options.log.warn({event: 'log.dropped', ...fields});
    }
  }
}
