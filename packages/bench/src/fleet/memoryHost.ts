import type {HostCore, HostEffect, HostEvent} from '@godwitspring/core';
import type {EventQueue} from './eventQueue.ts';

export interface MemoryHostOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly core: HostCore;
  readonly queue: EventQueue;
  /** Where the host's clock starts, in ms. */
  readonly clockOffsetMs: number;
  /** How fast the host's clock runs against true time. */
  readonly clockRate: number;
  readonly dispatch: (host: MemoryHost, effect: HostEffect) => void;
}

/** One core in virtual time, with a clock of its own, that can pause and crash. */
export class MemoryHost {
  readonly id: string;
  readonly dataCentre: string;
  isUp = true;
  handleMs = 0;
  handled = 0;
  readonly #options: MemoryHostOptions;
  #pausedUntilMs = 0;

  constructor(options: MemoryHostOptions) {
    this.id = options.id;
    this.dataCentre = options.dataCentre;
    this.#options = options;
  }

  /** The host's own clock, in ms. */
  nowMs(): number {
    const {queue, clockOffsetMs, clockRate} = this.#options;
    return clockOffsetMs + queue.nowMs * clockRate;
  }

  /** Freezes the host; what arrives meanwhile is taken at its late wake. */
  pause(forMs: number): void {
    this.#pausedUntilMs = this.#options.queue.nowMs + forMs;
  }

  crash(): void {
    this.isUp = false;
  }

  tell(event: HostEvent): void {
    const {queue} = this.#options;
    if (!this.isUp) {
      return;
    }
    if (queue.nowMs < this.#pausedUntilMs) {
      queue.add(this.#pausedUntilMs, () => {
        this.tell(event);
      });
      return;
    }
    this.#handle(event);
  }

  /** Asks the tasks of the core for their status, by section. */
  status(): Record<string, Record<string, unknown>> {
    const sections: Record<string, Record<string, unknown>> = {};
    for (const effect of this.#options.core.handle(
      {type: 'statusWanted', askId: 0},
      this.nowMs(),
    )) {
      if (effect.type === 'statusTold') {
        sections[effect.section] = effect.value;
      }
    }
    return sections;
  }

  #handle(event: HostEvent): void {
    const {core, queue, clockOffsetMs, clockRate, dispatch} = this.#options;
    const startedAtMs = performance.now();
    const effects = core.handle(event, this.nowMs());
    this.handleMs += performance.now() - startedAtMs;
    this.handled += 1;
    for (const effect of effects) {
      if (effect.type !== 'timerWanted') {
        dispatch(this, effect);
        continue;
      }
      const {timerId, atMs} = effect;
      queue.add((atMs - clockOffsetMs) / clockRate, () => {
        this.tell({type: 'timerFired', timerId});
      });
    }
  }
}
