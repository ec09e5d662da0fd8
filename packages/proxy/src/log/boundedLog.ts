import type {Logger} from 'pino';
import type {TimerService} from '../timer/timerService.ts';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export interface BoundedLogOptions {
  readonly log: Logger;
  readonly timers: TimerService;
  /** Lines a second in all. Default: 400. */
  readonly linesPerSecond: number;
  /** Lines a second that may tell of what went well; the rest is kept for failures. Default: 250. */
  readonly infoLinesPerSecond: number;
}

export const DEFAULT_BOUNDED_LOG_OPTIONS = {linesPerSecond: 400, infoLinesPerSecond: 250} as const;

type RequiredBoundedLogOptions = Pick<BoundedLogOptions, 'log' | 'timers'>;

const windowMs = 1_000;

/** Writes log lines within a budget; what is left out is counted and told in the next second. */
export class BoundedLog {
  readonly #options: BoundedLogOptions;
  #windowEndsAtMs = 0;
  #lines = 0;
  #infoLines = 0;
  #dropped = 0;
  #droppedWarnings = 0;

  constructor(options: Partial<BoundedLogOptions> & RequiredBoundedLogOptions) {
    this.#options = {...DEFAULT_BOUNDED_LOG_OPTIONS, ...options};
  }

  write(level: LogLevel, event: string, fields: Readonly<Record<string, unknown>>): void {
    const {log, linesPerSecond, infoLinesPerSecond} = this.#options;
    this.#turnWindow();
    const isInfo = level === 'info' || level === 'debug';
    const isOver =
      this.#lines >= linesPerSecond || (isInfo && this.#infoLines >= infoLinesPerSecond);
    if (isOver) {
      this.#dropped += 1;
      this.#droppedWarnings += isInfo ? 0 : 1;
      return;
    }
    this.#lines += 1;
    this.#infoLines += isInfo ? 1 : 0;
    log[level]({event, ...fields});
  }

  #turnWindow(): void {
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
