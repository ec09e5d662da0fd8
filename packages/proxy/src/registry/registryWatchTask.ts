import type {HostEvent} from '@godwitspring/core';
import type {TimerService} from '../timer/timerService.ts';
import type {RegistryReading, RegistrySource} from './registrySource.ts';

export interface RegistryWatchTaskOptions {
  readonly source: RegistrySource;
  readonly timers: TimerService;
  /** Time for which a watch waits for a change, in ms. Default: 1,000, half of the usual time to apply a change. */
  readonly watchMs: number;
  /**
   * Least time between two watches, in ms, so that the news of many servers comes together. Default: 300, a
   * small part of the time in which a change is to be in force.
   */
  readonly pauseMs: number;
  /** Wait after a failed read, in ms. Default: 400. */
  readonly retryMs: number;
  readonly tell: (event: HostEvent) => void;
  readonly count: (name: string) => void;
}

export const DEFAULT_REGISTRY_WATCH_OPTIONS = {watchMs: 1_000, pauseMs: 300, retryMs: 400} as const;

type RequiredRegistryWatchOptions = Omit<
  RegistryWatchTaskOptions,
  keyof typeof DEFAULT_REGISTRY_WATCH_OPTIONS
>;

/** Reads and watches the registry for as long as the core wants it. */
export class RegistryWatchTask {
  readonly #options: RegistryWatchTaskOptions;
  #isWanted = false;
  #isRunning = false;
  #revision = 0;

  constructor(options: Partial<RegistryWatchTaskOptions> & RequiredRegistryWatchOptions) {
    this.#options = {...DEFAULT_REGISTRY_WATCH_OPTIONS, ...options};
  }

  /** Starts or stops watching; `afterRevision` is what the core knows already, 0 for nothing. */
  setWanted(isWanted: boolean, afterRevision: number): void {
    this.#isWanted = isWanted;
    this.#revision = Math.max(this.#revision, afterRevision);
    if (isWanted && !this.#isRunning) {
      void this.#run();
    }
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    const {tell, count, timers, retryMs, pauseMs} = this.#options;
    while (this.#isWanted) {
      const askedAtMs = timers.nowMs();
      try {
        await (this.#revision === 0 ? this.#readAll() : this.#watch());
        await this.#until(askedAtMs + pauseMs);
      } catch (error) {
        count('registry.failed');
        const reason = error instanceof Error ? error.message : String(error);
        tell({type: 'registryUnreadable', reason});
        await this.#until(timers.nowMs() + retryMs);
      }
    }
    this.#isRunning = false;
  }

  async #until(momentMs: number): Promise<void> {
    const {timers} = this.#options;
    if (momentMs <= timers.nowMs()) {
      return;
    }
    await new Promise<void>((resolve) => {
      timers.at(momentMs, resolve);
    });
  }

  async #readAll(): Promise<void> {
    const {source, timers, count} = this.#options;
    const askedAtMs = timers.nowMs();
    const reading = await source.readAll();
    count('registry.read');
    this.#take(reading, true, askedAtMs);
  }

  async #watch(): Promise<void> {
    const {source, timers, watchMs, count} = this.#options;
    const askedAtMs = timers.nowMs();
    const reading = await source.watch(this.#revision, watchMs);
    count('registry.watch');
    if (reading === undefined) {
      this.#revision = 0;
      return;
    }
    // A watch that found nothing confirms the state at the end of its wait.
    const hasWaited = reading.changes.length === 0 && timers.nowMs() - askedAtMs >= watchMs;
    this.#take(reading, false, hasWaited ? askedAtMs + watchMs : askedAtMs);
  }

  #take({revision, changes}: RegistryReading, isWhole: boolean, asOfMs: number): void {
    this.#revision = Math.max(this.#revision, revision);
    this.#options.tell({type: 'registryRead', isWhole, revision, changes: [...changes], asOfMs});
  }
}
