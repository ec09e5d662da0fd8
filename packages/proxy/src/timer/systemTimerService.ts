import type {TimerService, TimerSubscription} from './timerService.ts';

const longestTimeoutMs = 2_147_483_647;

/** Timer service on the clock of the machine. */
export class SystemTimerService implements TimerService {
  readonly #timeouts = new Set<NodeJS.Timeout>();

  nowMs(): number {
    return performance.now();
  }

  at(momentMs: number, callBack: () => void): TimerSubscription {
    let timeout: NodeJS.Timeout;
    const arm = (): void => {
      const waitMs = Math.min(Math.max(0, Math.ceil(momentMs - this.nowMs())), longestTimeoutMs);
      timeout = setTimeout(() => {
        this.#timeouts.delete(timeout);
        // The event loop's own clock lags behind, so that a timeout may fire before its moment.
        if (this.nowMs() < momentMs) {
          arm();
          return;
        }
        callBack();
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

  /** Cancels every subscription. */
  stop(): void {
    for (const timeout of this.#timeouts) {
      clearTimeout(timeout);
    }
    this.#timeouts.clear();
  }
}
