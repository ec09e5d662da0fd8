import {StatsD} from 'hot-shots';
import {CounterTable} from './counterTable.ts';
import {MetricsText} from './metricsText.ts';

export interface MetricsTaskOptions {
  readonly selfId: string;
  /** Where counters are sent by StatsD. Default: not sent. */
  readonly statsd: {readonly host: string; readonly port: number} | undefined;
  /** Interval between sends, in ms. Default: 10,000. */
  readonly intervalMs: number;
}

/** Owns the counters and the socket to the StatsD collector. */
export class MetricsTask {
  readonly counters = new CounterTable();
  readonly text = new MetricsText();
  readonly #client: StatsD | undefined;

  constructor({selfId, statsd, intervalMs}: MetricsTaskOptions) {
    if (statsd !== undefined) {
      this.#client = new StatsD({
        ...statsd,
        prefix: 'godwitspring.',
        globalTags: {host: selfId},
        maxBufferSize: 1_400,
        bufferFlushInterval: intervalMs,
        errorHandler: () => undefined,
      });
    }
  }

  count(name: string, tags: Readonly<Record<string, string>> = {}, by = 1): void {
    this.counters.add(name, tags, by);
    this.text.count(name, tags, by);
    this.#client?.increment(name, by, {...tags});
  }

  /** Takes one time, in ms. */
  observe(name: string, tags: Readonly<Record<string, string>>, valueMs: number): void {
    this.text.observe(name, tags, valueMs);
    this.#client?.timing(name, valueMs, {...tags});
  }

  async stop(): Promise<void> {
    const client = this.#client;
    if (client === undefined) {
      return;
    }
    await new Promise<void>((resolve) => {
      client.close(() => {
        resolve();
      });
    });
  }
}
