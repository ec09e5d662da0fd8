import {createHash} from 'node:crypto';
import type {HostEvent, RandomSource} from '@godwitspring/core';
import type {HostList} from '@godwitspring/document';
import type {TimerService} from '../timer/timerService.ts';
import type {Platform} from './platform.ts';

/** Settings and collaborators of the task that watches the platform. */
export interface PlatformTaskOptions {
  readonly platform: Platform;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** Time for which a watch waits for a change, in ms. */
  readonly watchMs: number;
  /** Longest wait after the first failure in a row, in ms. */
  readonly retryMinMs: number;
  /** Longest wait after any failure, in ms. */
  readonly retryMaxMs: number;
  readonly postToCore: (event: HostEvent) => void;
  readonly count: (name: string) => void;
}

/**
 * Watches the platform's host list and manifest, reads parts of the configuration, and passes the results to
 * the core. Retries failed watches with exponential backoff and jitter.
 */
export class PlatformTask {
  readonly #options: PlatformTaskOptions;
  readonly #stopController = new AbortController();
  #lastList: HostList | undefined;
  #manifestVersion = 0;

  constructor(options: PlatformTaskOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#runRepeatedly('hosts', () => this.#watchHosts());
    void this.#runRepeatedly('manifest', () => this.#watchManifest());
  }

  stop(): void {
    this.#stopController.abort();
  }

  /** Reads a part from the platform and passes it to the core, or reports to the core that it is unavailable. */
  readPart(sha256: string): void {
    this.#options.platform.readPart(sha256).then(
      (text) => {
        this.verifyPart(sha256, text);
      },
      () => {
        this.verifyPart(sha256, undefined);
      },
    );
  }

  /**
   * Verifies a part against its digest and passes it to the core, whether it came from the platform or a
   * peer. A part that is absent or does not match is reported as unavailable.
   */
  verifyPart(sha256: string, text: string | undefined): void {
    const {postToCore} = this.#options;
    const digest = createHash('sha256')
      .update(text ?? '')
      .digest('hex');
    if (text !== undefined && digest === sha256) {
      postToCore({type: 'partRead', sha256, text});
      return;
    }
    postToCore({type: 'partUnavailable', sha256});
  }

  async #watchHosts(): Promise<void> {
    const {platform, timers, watchMs, postToCore} = this.#options;
    const requestedAtMs = timers.nowMs();
    const waitMs = this.#lastList === undefined ? 0 : watchMs;
    const {asOfMs, lists} = await platform.watchHosts(this.#lastList?.version ?? -1, waitMs);
    // A long poll confirms the state as of its response; using the time of the request errs on the safe side.
    for (const list of lists) {
      this.#lastList = list;
      postToCore({type: 'hostListRead', list: {...list, asOfMs}, requestedAtMs});
    }
    if (lists.length === 0 && this.#lastList !== undefined) {
      postToCore({type: 'hostListRead', list: {...this.#lastList, asOfMs}, requestedAtMs});
    }
  }

  async #watchManifest(): Promise<void> {
    const {platform, timers, watchMs, postToCore} = this.#options;
    const requestedAtMs = timers.nowMs();
    const waitMs = this.#manifestVersion === 0 ? 0 : watchMs;
    const manifest = await platform.watchManifest(this.#manifestVersion, waitMs);
    if (manifest !== undefined) {
      this.#manifestVersion = manifest.version;
      postToCore({type: 'manifestRead', manifest, requestedAtMs});
      return;
    }
    postToCore({type: 'manifestUnchanged', version: this.#manifestVersion, requestedAtMs});
  }

  async #runRepeatedly(watchName: string, step: () => Promise<void>): Promise<void> {
    let failures = 0;
    while (!this.#stopController.signal.aborted) {
      try {
        await step();
        failures = 0;
        this.#options.count(`platform.read.${watchName}`);
      } catch {
        failures += 1;
        this.#options.count(`platform.failed.${watchName}`);
        await this.#backOff(failures);
      }
    }
  }

  /** Exponential backoff with jitter: waits for a random time between half of the current limit and all of it. */
  async #backOff(failures: number): Promise<void> {
    const {retryMinMs, retryMaxMs, random, timers} = this.#options;
    const ceilingMs = Math.min(retryMaxMs, retryMinMs * 2 ** Math.min(failures - 1, 16));
    const waitMs = ceilingMs / 2 + random.nextInt(Math.max(1, Math.ceil(ceilingMs / 2)));
    await new Promise<void>((resolve) => {
      timers.at(timers.nowMs() + waitMs, resolve);
    });
  }
}
