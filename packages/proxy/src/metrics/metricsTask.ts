import {StatsD} from 'hot-shots';
import {CounterTable} from './counterTable.ts';
import {PrometheusMetrics} from './prometheusMetrics.ts';

/** Settings of a host's metrics. */
export interface MetricsTaskOptions {
  /** Id of the host, sent with every StatsD metric as tag `host`. */
  readonly selfId: string;
  /** Address of the StatsD collector; undefined, the default, where metrics are not sent to one. */
  readonly statsd: {readonly host: string; readonly port: number} | undefined;
  /** Interval at which buffered metrics are sent to the collector, in ms. Default: 10,000. */
  readonly intervalMs: number;
}

/** Records counters and times of a host; owns the socket to the StatsD collector. */
export class MetricsTask {
  readonly counters = new CounterTable();
  readonly prometheus = new PrometheusMetrics();
  readonly #statsdClient: StatsD | undefined;

  constructor({selfId, statsd, intervalMs}: MetricsTaskOptions) {
    if (statsd !== undefined) {
      this.#statsdClient = new StatsD({
        ...statsd,
        prefix: 'godwitspring.',
        globalTags: {host: selfId},
        maxBufferSize: 1_400,
        bufferFlushInterval: intervalMs,
        errorHandler: () => undefined,
      });
    }
  }

  /** Adds to a counter. */
  count(name: string, tags: Readonly<Record<string, string>> = {}, by = 1): void {
    this.counters.add(name, tags, by);
    this.prometheus.count(name, tags, by);
    this.#statsdClient?.increment(name, by, {...tags});
  }

  /** Records one duration in a histogram, in ms. */
  observe(name: string, tags: Readonly<Record<string, string>>, valueMs: number): void {
    this.prometheus.observe(name, tags, valueMs);
    this.#statsdClient?.timing(name, valueMs, {...tags});
  }

  /** Closes the socket to the collector. */
  async stop(): Promise<void> {
    const client = this.#statsdClient;
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
