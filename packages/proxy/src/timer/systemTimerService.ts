import type {TimerService, TimerSubscription} from './timerService.ts';

const longestTimeoutMs = 2_147_483_647;

/** Timer service on the clock of the machine. */
export class SystemTimerService implements TimerService {
  readonly #timeouts = new Set<NodeJS.Timeout>();

  nowMs(): number {
    return performance.now();
  }

  at(momentMs: number, callBack: () => void): TimerSubscription {
    const waitMs = Math.min(Math.max(0, momentMs - this.nowMs()), longestTimeoutMs);
    const timeout = setTimeout(() => {
      this.#timeouts.delete(timeout);
      callBack();
    }, waitMs);
    this.#timeouts.add(timeout);
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
