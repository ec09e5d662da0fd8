import {createHash} from 'node:crypto';
import type {HostEvent, RandomSource} from '@godwitspring/core';
import type {HostList} from '@godwitspring/document';
import type {TimerService} from '../timer/timerService.ts';
import type {Platform} from './platform.ts';

export interface PlatformTaskOptions {
  readonly platform: Platform;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly watchMs: number;
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
  readonly tell: (event: HostEvent) => void;
  readonly count: (name: string) => void;
}

/** Watches the platform and reads parts; waits longer and at random after failures. */
export class PlatformTask {
  readonly #options: PlatformTaskOptions;
  readonly #stopped = new AbortController();
  #lastList: HostList | undefined;
  #manifestVersion = 0;

  constructor(options: PlatformTaskOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#repeat('hosts', () => this.#watchHosts());
    void this.#repeat('manifest', () => this.#watchManifest());
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Reads one part and tells the core, or tells it that the part is not to be had. */
  readPart(sha256: string): void {
    this.#options.platform.readPart(sha256).then(
      (text) => {
        this.takePart(sha256, text);
      },
      () => {
        this.takePart(sha256, undefined);
      },
    );
  }

  /** Checks a part against its digest and tells the core, wherever the part came from. */
  takePart(sha256: string, text: string | undefined): void {
    const {tell} = this.#options;
    const digest = createHash('sha256')
      .update(text ?? '')
      .digest('hex');
    if (text !== undefined && digest === sha256) {
      tell({type: 'partRead', sha256, text});
      return;
    }
    tell({type: 'partUnavailable', sha256});
  }

  async #watchHosts(): Promise<void> {
    const {platform, timers, watchMs, tell} = this.#options;
    const askedAtMs = timers.nowMs();
    const waitMs = this.#lastList === undefined ? 0 : watchMs;
    const {asOfMs, lists} = await platform.watchHosts(this.#lastList?.version ?? -1, waitMs);
    // A long poll confirms the state at its answer; counting it from the ask is on the safe side.
    for (const list of lists) {
      this.#lastList = list;
      tell({type: 'hostListRead', list: {...list, asOfMs}, askedAtMs});
    }
    if (lists.length === 0 && this.#lastList !== undefined) {
      tell({type: 'hostListRead', list: {...this.#lastList, asOfMs}, askedAtMs});
    }
  }

  async #watchManifest(): Promise<void> {
    const {platform, timers, watchMs, tell} = this.#options;
    const askedAtMs = timers.nowMs();
    const waitMs = this.#manifestVersion === 0 ? 0 : watchMs;
    const manifest = await platform.watchManifest(this.#manifestVersion, waitMs);
    if (manifest !== undefined) {
      this.#manifestVersion = manifest.version;
      tell({type: 'manifestRead', manifest, askedAtMs});
      return;
    }
    tell({type: 'manifestUnchanged', version: this.#manifestVersion, askedAtMs});
  }

  async #repeat(what: string, step: () => Promise<void>): Promise<void> {
    let failures = 0;
    while (!this.#stopped.signal.aborted) {
      try {
        await step();
        failures = 0;
        this.#options.count(`platform.read.${what}`);
      } catch {
        failures += 1;
        this.#options.count(`platform.failed.${what}`);
        await this.#waitAfter(failures);
      }
    }
  }

  /** Waits between half and all of a time that doubles with each failure in a row. */
  async #waitAfter(failures: number): Promise<void> {
    const {retryMinMs, retryMaxMs, random, timers} = this.#options;
    const ceilingMs = Math.min(retryMaxMs, retryMinMs * 2 ** Math.min(failures - 1, 16));
    const waitMs = ceilingMs / 2 + random.below(Math.max(1, Math.ceil(ceilingMs / 2)));
    await new Promise<void>((resolve) => {
      timers.at(timers.nowMs() + waitMs, resolve);
    });
  }
}
