import type {HostEvent} from '@godwitspring/core';
import type {TimerService, TimerSubscription} from './timerService.ts';

export interface ClockWatchOptions {
  readonly timers: TimerService;
  /** Time of day, in ms. */
  readonly wallMs: () => number;
  readonly tell: (event: HostEvent) => void;
}

/** Interval between looks at both clocks, in ms. */
const lookMs = 100;
/** Difference from which time counts as lost, in ms: clocks are set by less in ordinary operation. */
const lostFromMs = 300;

/** Notices time that the host's clock did not count, by the time of day. */
export class ClockWatch {
  readonly #options: ClockWatchOptions;
  #differenceMs: number;
  #timer: TimerSubscription | undefined;

  constructor(options: ClockWatchOptions) {
    this.#options = options;
    this.#differenceMs = options.wallMs() - options.timers.nowMs();
  }

  start(): void {
    const {timers} = this.#options;
    this.#timer = timers.at(timers.nowMs() + lookMs, () => {
      this.#look();
      this.start();
    });
  }

  stop(): void {
    this.#timer?.cancel();
  }

  #look(): void {
    const {timers, wallMs, tell} = this.#options;
    const differenceMs = wallMs() - timers.nowMs();
    const lostMs = differenceMs - this.#differenceMs;
    this.#differenceMs = differenceMs;
    if (lostMs > lostFromMs) {
      tell({type: 'timeLost', lostMs});
    }
  }
}
