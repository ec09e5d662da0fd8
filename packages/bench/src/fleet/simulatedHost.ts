import type {HostCore, HostEffect, HostEvent} from '@godwitspring/core';
import type {EventQueue} from './eventQueue.ts';

/** Options of a simulated host. */
export interface SimulatedHostOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly core: HostCore;
  readonly queue: EventQueue;
  /** Reading of the host's clock at virtual time 0, in ms. */
  readonly clockOffsetMs: number;
  /** Rate of the host's clock relative to true time; 1 for an exact clock. */
  readonly clockRate: number;
  /** Carries out an effect of the core, other than a timer. */
  readonly dispatch: (host: SimulatedHost, effect: HostEffect) => void;
}

/** Runs the core of one host in virtual time, with its own drifting clock; the host can pause and crash. */
export class SimulatedHost {
  readonly id: string;
  readonly dataCentre: string;
  isUp = true;
  /** Real time that the core has spent on events, in ms. */
  handlingMs = 0;
  /** Number of events that the core has handled. */
  handledEvents = 0;
  readonly #options: SimulatedHostOptions;
  #pausedUntilMs = 0;

  constructor(options: SimulatedHostOptions) {
    this.id = options.id;
    this.dataCentre = options.dataCentre;
    this.#options = options;
  }

  /** The host's own clock, in ms. */
  nowMs(): number {
    const {queue, clockOffsetMs, clockRate} = this.#options;
    return clockOffsetMs + queue.nowMs * clockRate;
  }

  /** Freezes the host; events that arrive meanwhile are delivered when the pause ends. */
  pause(forMs: number): void {
    this.#pausedUntilMs = this.#options.queue.nowMs + forMs;
  }

  /** Ends the process; later events are dropped. */
  crash(): void {
    this.isUp = false;
  }

  /** Delivers an event to the core: now, at the end of a pause, or not at all after a crash. */
  deliver(event: HostEvent): void {
    const {queue} = this.#options;
    if (!this.isUp) {
      return;
    }
    if (queue.nowMs < this.#pausedUntilMs) {
      queue.schedule(this.#pausedUntilMs, () => {
        this.deliver(event);
      });
      return;
    }
    this.#handle(event);
  }

  /** Returns the status of the tasks of the core, by section. */
  status(): Record<string, Record<string, unknown>> {
    const sections: Record<string, Record<string, unknown>> = {};
    for (const effect of this.#options.core.handle(
      {type: 'statusWanted', askId: 0},
      this.nowMs(),
    )) {
      if (effect.type === 'statusReported') {
        sections[effect.section] = effect.value;
      }
    }
    return sections;
  }

  #handle(event: HostEvent): void {
    const {core, queue, clockOffsetMs, clockRate, dispatch} = this.#options;
    const startedAtMs = performance.now();
    const effects = core.handle(event, this.nowMs());
    this.handlingMs += performance.now() - startedAtMs;
    this.handledEvents += 1;
    for (const effect of effects) {
      if (effect.type !== 'timerWanted') {
        dispatch(this, effect);
        continue;
      }
      const {timerId, atMs} = effect;
      queue.schedule((atMs - clockOffsetMs) / clockRate, () => {
        this.deliver({type: 'timerFired', timerId});
      });
    }
  }
}
