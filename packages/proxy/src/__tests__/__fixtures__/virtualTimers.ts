import type {TimerService} from '../../timer/timerService.ts';

/** Virtual time: moments pass in order, each after what the former set off has settled. */
export class VirtualTimers implements TimerService {
  #nowMs = 0;
  readonly #calls: {momentMs: number; callBack: () => void}[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  at(momentMs: number, callBack: () => void): {cancel: () => void} {
    this.#calls.push({momentMs, callBack});
    return {cancel: () => undefined};
  }

  async runUntil(endMs: number): Promise<void> {
    while (this.#nowMs < endMs) {
      this.#nowMs += 1;
      for (const call of this.#calls.filter(({momentMs}) => momentMs <= this.#nowMs)) {
        this.#calls.splice(this.#calls.indexOf(call), 1);
        call.callBack();
      }
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}
