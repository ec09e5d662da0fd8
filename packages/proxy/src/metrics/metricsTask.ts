import {CounterTable} from './counterTable.ts';
import type {MetricsSink} from './metricsSink.ts';
import {PrometheusMetrics} from './prometheusMetrics.ts';

/** Settings of a host's metrics. */
export interface MetricsTaskOptions {
  /** Further receiver of the metrics. Default: none. */
  readonly sink: MetricsSink | undefined;
}

export const DEFAULT_METRICS_TASK_OPTIONS = {sink: undefined} as const;

/** Records counters and times of a host. */
export class MetricsTask {
  readonly counters = new CounterTable();
  readonly prometheus = new PrometheusMetrics();
  readonly #options: MetricsTaskOptions;

  constructor(options: Partial<MetricsTaskOptions> = {}) {
    this.#options = {...DEFAULT_METRICS_TASK_OPTIONS, ...options};
  }

  /** Adds to a counter. */
  count(name: string, tags: Readonly<Record<string, string>> = {}, by = 1): void {
    this.counters.add(name, tags, by);
    this.prometheus.count(name, tags, by);
    this.#options.sink?.count(name, tags, by);
  }

  /** Records one duration in a histogram, in ms. */
  observe(name: string, tags: Readonly<Record<string, string>>, valueMs: number): void {
    this.prometheus.observe(name, tags, valueMs);
    this.#options.sink?.observe(name, tags, valueMs);
  }

  /** Releases the further receiver. */
  async stop(): Promise<void> {
    await this.#options.sink?.stop();
  }
}
