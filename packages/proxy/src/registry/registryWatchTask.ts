import type {HostEvent} from '@godwitspring/core';
import type {TimerService} from '../timer/timerService.ts';
import type {RegistryReading, RegistrySource} from './registrySource.ts';

export interface RegistryWatchTaskOptions {
  readonly source: RegistrySource;
  readonly timers: TimerService;
  /** Time for which a watch waits for a change, in ms. Default: 1,500, a third of the least key withdrawal bound. */
  readonly watchMs: number;
  /** Wait after a failed read, in ms. Default: 400. */
  readonly retryMs: number;
  readonly tell: (event: HostEvent) => void;
  readonly count: (name: string) => void;
}

export const DEFAULT_REGISTRY_WATCH_OPTIONS = {watchMs: 1_500, retryMs: 400} as const;

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
    const {tell, count, timers, retryMs} = this.#options;
    while (this.#isWanted) {
      try {
        await (this.#revision === 0 ? this.#readAll() : this.#watch());
      } catch (error) {
        count('registry.failed');
        const reason = error instanceof Error ? error.message : String(error);
        tell({type: 'registryUnreadable', reason});
        await new Promise<void>((resolve) => {
          timers.at(timers.nowMs() + retryMs, resolve);
        });
      }
    }
    this.#isRunning = false;
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
