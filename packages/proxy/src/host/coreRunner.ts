import type {HostCore, HostEffect, HostEvent} from '@godwitspring/core';
import type {FleetDocument} from '@godwitspring/document';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';

/** Settings and collaborators of a core runner. */
export interface CoreRunnerOptions {
  readonly core: HostCore;
  readonly timers: TimerService;
  /** Passes an effect to the task that carries it out. */
  readonly dispatch: (effect: HostEffect) => void;
}

/**
 * Runs the core of a host: passes it one event at a time, stamped with the host's clock, sets the timers
 * that it requests and dispatches its other effects.
 */
export class CoreRunner {
  readonly #options: CoreRunnerOptions;
  readonly #mailbox = new Mailbox<HostEvent>((event) => {
    this.#handle(event);
  });

  constructor(options: CoreRunnerOptions) {
    this.#options = options;
  }

  /** Queues an event for the core. */
  post(event: HostEvent): void {
    this.#mailbox.post(event);
  }

  /** The document that the host acts on; undefined where it has none yet. */
  documentInForce(): FleetDocument | undefined {
    return this.#options.core.documentInForce;
  }

  /** Collects the status of every task of the core, by section. */
  status(): Record<string, Record<string, unknown>> {
    const {core, timers} = this.#options;
    const sections: Record<string, Record<string, unknown>> = {};
    for (const effect of core.handle({type: 'statusWanted', askId: 0}, timers.nowMs())) {
      if (effect.type === 'statusReported') {
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
          this.post({type: 'timerFired', timerId});
        });
        continue;
      }
      dispatch(effect);
    }
  }
}
