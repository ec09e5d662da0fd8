import {Agent, request} from 'undici';
import {SeededRandom} from '@godwitspring/core';

export interface LoadOptions {
  /** Origins of the entry hosts, used in turn. */
  readonly targets: readonly string[];
  readonly key: string | undefined;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** Requests per second, open loop with exponential gaps. */
  readonly ratePerSecond: number;
  /** How long requests are sent, in ms. */
  readonly durationMs: number;
  readonly bodyBytes: number;
  readonly seed: number;
}

/** What became of the requests of one load run. */
export interface LoadReport {
  readonly sent: number;
  /** Answers by status, and `broken` for those that ended early. */
  readonly byStatus: Record<string, number>;
  /** Time to the whole answer of each answered request, in ms. */
  readonly latenciesMs: readonly number[];
}

const maxRequests = 1_000_000;
const randomSteps = 1_000_000;

/** Sends requests at a rate that does not wait for answers; bounded in time and number. */
export class LoadCaller {
  readonly #options: LoadOptions;
  readonly #random: SeededRandom;
  readonly #agent = new Agent({connections: 256, pipelining: 1});
  readonly #byStatus: Record<string, number> = {};
  readonly #latenciesMs: number[] = [];
  #sent = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  async run(): Promise<LoadReport> {
    const {durationMs} = this.#options;
    const startedAtMs = performance.now();
    const running = new Set<Promise<void>>();
    let nextAtMs = startedAtMs;
    while (nextAtMs - startedAtMs < durationMs && this.#sent < maxRequests) {
      const waitMs = nextAtMs - performance.now();
      if (waitMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, waitMs));
      }
      const one = this.#send().finally(() => running.delete(one));
      running.add(one);
      nextAtMs += this.#gapMs();
    }
    await Promise.all(running);
    await this.#agent.close();
    return {sent: this.#sent, byStatus: this.#byStatus, latenciesMs: this.#latenciesMs};
  }

  #gapMs(): number {
    const uniform = (this.#random.below(randomSteps) + 1) / randomSteps;
    return (-Math.log(uniform) * 1_000) / this.#options.ratePerSecond;
  }

  async #send(): Promise<void> {
    const {targets, key, method, path, bodyBytes} = this.#options;
    const target = targets[this.#sent % targets.length] ?? '';
    this.#sent += 1;
    const startedAtMs = performance.now();
    try {
      const {statusCode, body} = await request(`${target}${path}`, {
        method,
        dispatcher: this.#agent,
        headers: key === undefined ? {} : {'x-api-key': key},
        body: bodyBytes > 0 ? Buffer.alloc(bodyBytes, 1) : null,
      });
      await body.dump({limit: Number.MAX_SAFE_INTEGER});
      this.#latenciesMs.push(performance.now() - startedAtMs);
      this.#note(String(statusCode));
    } catch {
      this.#note('broken');
    }
  }

  #note(status: string): void {
    this.#byStatus[status] = (this.#byStatus[status] ?? 0) + 1;
  }
}
