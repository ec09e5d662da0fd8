import {isAfter} from '@godwitspring/core';
import type {HostEvent, RegistryPosition} from '@godwitspring/core';
import type {TimerService} from '../timer/timerService.ts';
import type {RegistryReading, RegistrySource} from './registrySource.ts';

/** Settings and collaborators of the task that watches the registry. */
export interface RegistryWatchTaskOptions {
  readonly source: RegistrySource;
  readonly timers: TimerService;
  /**
   * Time for which a watch waits for a change, in ms. Default: 600. A watch without a response is noticed only after
   * this time and the response timeout; other hosts have to read the change after that and still be in time.
   */
  readonly watchMs: number;
  /**
   * Shortest time between the starts of two watches, in ms, so that changes of many servers arrive in one
   * batch. Default: 300, a small part of the time within which a change has to be in force.
   */
  readonly minIntervalMs: number;
  /** Wait after a failed read or watch, in ms. Default: 400. */
  readonly retryMs: number;
  readonly postToCore: (event: HostEvent) => void;
  readonly count: (name: string) => void;
}

export const DEFAULT_REGISTRY_WATCH_OPTIONS = {
  watchMs: 600,
  minIntervalMs: 300,
  retryMs: 400,
} as const;

type RequiredRegistryWatchOptions = Omit<
  RegistryWatchTaskOptions,
  keyof typeof DEFAULT_REGISTRY_WATCH_OPTIONS
>;

/** Position before the first change. */
const noPosition: RegistryPosition = {epoch: 0, revision: 0};

/**
 * Reads the registry once, then watches it for changes, and passes the results to the core, for as long as
 * the core requests it. Waits and tries again after a failure.
 */
export class RegistryWatchTask {
  readonly #options: RegistryWatchTaskOptions;
  #isEnabled = false;
  #isRunning = false;
  /** Position up to which the registry was read; undefined if everything has to be read. */
  #position: RegistryPosition | undefined;

  constructor(options: Partial<RegistryWatchTaskOptions> & RequiredRegistryWatchOptions) {
    this.#options = {...DEFAULT_REGISTRY_WATCH_OPTIONS, ...options};
  }

  /** Starts or stops watching; `after` is the position up to which the core has the registry, revision 0 for none. */
  setEnabled(isWanted: boolean, after: RegistryPosition): void {
    this.#isEnabled = isWanted;
    if (after.revision > 0 && isAfter(after, this.#position ?? noPosition)) {
      this.#position = after;
    }
    if (isWanted && !this.#isRunning) {
      void this.#run();
    }
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    const {postToCore, count, timers, retryMs, minIntervalMs} = this.#options;
    while (this.#isEnabled) {
      const requestedAtMs = timers.nowMs();
      try {
        await (this.#position === undefined ? this.#readAll() : this.#watch(this.#position));
        await this.#waitUntil(requestedAtMs + minIntervalMs);
      } catch (error) {
        count('registry.failed');
        const reason = error instanceof Error ? error.message : String(error);
        postToCore({type: 'registryUnreadable', reason});
        await this.#waitUntil(timers.nowMs() + retryMs);
      }
    }
    this.#isRunning = false;
  }

  async #waitUntil(momentMs: number): Promise<void> {
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
    const requestedAtMs = timers.nowMs();
    const reading = await source.readAll();
    count('registry.read');
    this.#reportReading(reading, true, requestedAtMs);
  }

  async #watch(after: RegistryPosition): Promise<void> {
    const {source, timers, watchMs, count} = this.#options;
    const requestedAtMs = timers.nowMs();
    const reading = await source.watch(after, watchMs);
    count('registry.watch');
    if (reading === undefined) {
      this.#position = undefined;
      await this.#readAll();
      return;
    }
    // A watch that waited its full time without a change confirms the state as of the end of that wait.
    const hasWaited = reading.changes.length === 0 && timers.nowMs() - requestedAtMs >= watchMs;
    this.#reportReading(reading, false, hasWaited ? requestedAtMs + watchMs : requestedAtMs);
  }

  #reportReading(
    {epoch, revision, changes, isDocumentUnreadable}: RegistryReading,
    isWhole: boolean,
    asOfMs: number,
  ): void {
    this.#position = {epoch, revision};
    this.#options.postToCore({
      type: 'registryRead',
      isWhole,
      epoch,
      revision,
      changes: [...changes],
      isDocumentUnreadable,
      asOfMs,
    });
  }
}
