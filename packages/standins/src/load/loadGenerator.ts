import {Agent, request} from 'undici';
import {SeededRandom} from '@godwitspring/core';

/** One load run: what is sent, where to, and how fast. */
export interface LoadGeneratorOptions {
  /** Origins of the entry hosts, used in rotation. */
  readonly targets: readonly string[];
  /** API key of the customer; undefined to send none. */
  readonly key: string | undefined;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** Mean rate in requests per second, as an open loop with exponentially distributed gaps. */
  readonly ratePerSecond: number;
  /** Time during which requests are sent, in ms. */
  readonly durationMs: number;
  /** Size of each request body, in bytes; 0 for none. */
  readonly bodyBytes: number;
  /** Seed of the gaps between requests. */
  readonly seed: number;
}

/** Results of one load run. */
export interface LoadReport {
  readonly sent: number;
  /** Number of responses by HTTP status, and `broken` for requests that failed without a complete response. */
  readonly byStatus: Record<string, number>;
  /** Time until the complete response of each answered request, in ms. */
  readonly latenciesMs: readonly number[];
}

/** Largest number of requests in one run. */
const maxRequests = 1_000_000;
/** Number of steps of the uniform random numbers from which gaps are drawn. */
const randomResolution = 1_000_000;

/**
 * Open-loop load generator: sends requests at a given mean rate without waiting for responses.
 *
 * A run is bounded in time and in the number of requests.
 */
export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  readonly #random: SeededRandom;
  readonly #agent = new Agent({connections: 256, pipelining: 1});
  readonly #byStatus: Record<string, number> = {};
  readonly #latenciesMs: number[] = [];
  #sent = 0;

  constructor(options: LoadGeneratorOptions) {
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
      const pending = this.#send().finally(() => running.delete(pending));
      running.add(pending);
      nextAtMs += this.#nextGapMs();
    }
    await Promise.all(running);
    await this.#agent.close();
    return {sent: this.#sent, byStatus: this.#byStatus, latenciesMs: this.#latenciesMs};
  }

  /** Draws the time until the next request from an exponential distribution, as of a Poisson process. */
  #nextGapMs(): number {
    const uniform = (this.#random.nextInt(randomResolution) + 1) / randomResolution;
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
      this.#countStatus(String(statusCode));
    } catch {
      this.#countStatus('broken');
    }
  }

  #countStatus(status: string): void {
    this.#byStatus[status] = (this.#byStatus[status] ?? 0) + 1;
  }
}
