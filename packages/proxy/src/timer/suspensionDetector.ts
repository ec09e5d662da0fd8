import type {HostEvent} from '@godwitspring/core';
import type {TimerService, TimerHandle} from './timerService.ts';

/** Settings and collaborators of a suspension detector. */
export interface SuspensionDetectorOptions {
  readonly timers: TimerService;
  /** Reads the wall clock, in ms. */
  readonly wallClockMs: () => number;
  readonly postToCore: (event: HostEvent) => void;
}

/** Interval at which the two clocks are compared, in ms. */
const checkIntervalMs = 100;
/** A wall clock that is ahead by more than this means lost time, in ms: ordinary clock adjustments are smaller. */
const minLostMs = 300;

/**
 * Detects a suspension of the machine that the monotonic clock did not count, by comparing that clock with
 * the wall clock, and reports the lost time to the core.
 */
export class SuspensionDetector {
  readonly #options: SuspensionDetectorOptions;
  #offsetMs: number;
  #timer: TimerHandle | undefined;

  constructor(options: SuspensionDetectorOptions) {
    this.#options = options;
    this.#offsetMs = options.wallClockMs() - options.timers.nowMs();
  }

  start(): void {
    const {timers} = this.#options;
    this.#timer = timers.at(timers.nowMs() + checkIntervalMs, () => {
      this.#check();
      this.start();
    });
  }

  stop(): void {
    this.#timer?.cancel();
  }

  #check(): void {
    const {timers, wallClockMs, postToCore} = this.#options;
    const offsetMs = wallClockMs() - timers.nowMs();
    const lostMs = offsetMs - this.#offsetMs;
    this.#offsetMs = offsetMs;
    if (lostMs > minLostMs) {
      postToCore({type: 'clockGapDetected', lostMs});
    }
  }
}
