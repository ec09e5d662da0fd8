import type {TimerService} from '../../timer/timerService.ts';

/**
 * Timer service on virtual time. Time advances in steps of 1 ms, each after the event loop has run the
 * callbacks that the step before set off.
 */
export class VirtualTimers implements TimerService {
  #nowMs = 0;
  readonly #calls: {momentMs: number; callback: () => void}[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  at(momentMs: number, callback: () => void): {cancel: () => void} {
    this.#calls.push({momentMs, callback});
    return {cancel: () => undefined};
  }

  /** Advances the time up to `endMs` and calls what falls due on the way; cancelled calls are made too. */
  async runUntil(endMs: number): Promise<void> {
    while (this.#nowMs < endMs) {
      this.#nowMs += 1;
      for (const call of this.#calls.filter(({momentMs}) => momentMs <= this.#nowMs)) {
        this.#calls.splice(this.#calls.indexOf(call), 1);
        call.callback();
      }
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}
