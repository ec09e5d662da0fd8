import {StatsD} from 'hot-shots';
import type {MetricsSink} from './metricsSink.ts';

/** Settings of the connection to a StatsD collector. */
export interface StatsdSinkOptions {
  /** Id of the host, sent with every metric as tag `host`. */
  readonly selfId: string;
  readonly host: string;
  readonly port: number;
  /** Interval at which buffered metrics are sent, in ms. Default: 10,000. */
  readonly intervalMs: number;
  /** Receives the errors of the socket; metrics are lost without a further effect. */
  readonly onError: (error: Error) => void;
}

export const DEFAULT_STATSD_SINK_OPTIONS = {intervalMs: 10_000} as const;

type RequiredStatsdSinkOptions = Omit<StatsdSinkOptions, keyof typeof DEFAULT_STATSD_SINK_OPTIONS>;

/** Sends metrics to a StatsD collector; owns the socket to it. */
export class StatsdSink implements MetricsSink {
  readonly #client: StatsD;

  constructor(options: Partial<StatsdSinkOptions> & RequiredStatsdSinkOptions) {
    const {selfId, host, port, intervalMs, onError} = {...DEFAULT_STATSD_SINK_OPTIONS, ...options};
    this.#client = new StatsD({
      host,
      port,
      prefix: 'godwitspring.',
      globalTags: {host: selfId},
      maxBufferSize: 1_400,
      bufferFlushInterval: intervalMs,
      errorHandler: onError,
    });
  }

  count(name: string, tags: Readonly<Record<string, string>>, by: number): void {
    this.#client.increment(name, by, {...tags});
  }

  observe(name: string, tags: Readonly<Record<string, string>>, valueMs: number): void {
    this.#client.timing(name, valueMs, {...tags});
  }

  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#client.close(() => {
        resolve();
      });
    });
  }
}
