import type {HostCore, HostEffect, HostEvent} from '@godwitspring/core';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';

export interface CoreRunnerOptions {
  readonly core: HostCore;
  readonly timers: TimerService;
  /** Carries an effect to the task that it is meant for. */
  readonly dispatch: (effect: HostEffect) => void;
}

/** Feeds the core with events at the time of the host's clock and hands its effects on. */
export class CoreRunner {
  readonly #options: CoreRunnerOptions;
  readonly #mailbox = new Mailbox<HostEvent>((event) => {
    this.#handle(event);
  });

  constructor(options: CoreRunnerOptions) {
    this.#options = options;
  }

  tell(event: HostEvent): void {
    this.#mailbox.post(event);
  }

  /** Asks every task of the core for its status. */
  status(): Record<string, Record<string, unknown>> {
    const {core, timers} = this.#options;
    const sections: Record<string, Record<string, unknown>> = {};
    for (const effect of core.handle({type: 'statusWanted', askId: 0}, timers.nowMs())) {
      if (effect.type === 'statusTold') {
        sections[effect.section] = effect.value;
      }
    }
    return sections;
  }

  #handle(event: HostEvent): void {
    const {core, timers, dispatch} = this.#options;
    for (const effect of core.handle(event, timers.nowMs())) {
      if (effect.type === 'timerWanted') {
        const {timerId, atMs} = effect;
        timers.at(atMs, () => {
          this.tell({type: 'timerFired', timerId});
        });
        continue;
      }
      dispatch(effect);
    }
  }
}
