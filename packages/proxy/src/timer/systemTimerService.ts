import type {TimerService, TimerHandle} from './timerService.ts';

/** Longest delay that `setTimeout` accepts, in ms. */
const maxTimeoutMs = 2_147_483_647;

/** Timer service on the monotonic clock of the process and the timers of the event loop. */
export class SystemTimerService implements TimerService {
  readonly #timeouts = new Set<NodeJS.Timeout>();

  nowMs(): number {
    return performance.now();
  }

  at(momentMs: number, callback: () => void): TimerHandle {
    let timeout: NodeJS.Timeout;
    const arm = (): void => {
      const waitMs = Math.min(Math.max(0, Math.ceil(momentMs - this.nowMs())), maxTimeoutMs);
      timeout = setTimeout(() => {
        this.#timeouts.delete(timeout);
        // The event loop's own clock lags behind `performance.now()`, so that a timeout may fire too early.
        if (this.nowMs() < momentMs) {
          arm();
          return;
        }
        callback();
      }, waitMs);
      this.#timeouts.add(timeout);
    };
    arm();
    return {
      cancel: () => {
        clearTimeout(timeout);
        this.#timeouts.delete(timeout);
      },
    };
  }

  /** Cancels every pending timer. */
  stop(): void {
    for (const timeout of this.#timeouts) {
      clearTimeout(timeout);
    }
    this.#timeouts.clear();
  }
}
