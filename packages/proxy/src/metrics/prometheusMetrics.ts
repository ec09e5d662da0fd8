import {Counter, Histogram, Registry} from 'prom-client';

type Tags = Readonly<Record<string, string>>;

/** Bucket bounds of the histograms of durations, in ms. */
const bucketsMs = [1, 2, 5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

function metricName(name: string): string {
  return `godwitspring_${name.replace(/[^a-zA-Z0-9]+/g, '_')}`;
}

/** Values of the labels that a metric was created with; the client library rejects others. */
function labelValues(tags: Tags, labelNames: readonly string[]): Record<string, string> {
  return Object.fromEntries(labelNames.map((label) => [label, tags[label] ?? '']));
}

/** Counters and histograms of a host, rendered in the Prometheus exposition format. */
export class PrometheusMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, {counter: Counter; labelNames: readonly string[]}>();
  readonly #histograms = new Map<string, {histogram: Histogram; labelNames: readonly string[]}>();

  /** Adds to a counter; the first call for a name fixes its labels. */
  count(name: string, tags: Tags, by: number): void {
    let metric = this.#counters.get(name);
    if (metric === undefined) {
      const labelNames = Object.keys(tags);
      const counter = new Counter({
        name: `${metricName(name)}_total`,
        help: name,
        labelNames,
        registers: [this.#registry],
      });
      metric = {counter, labelNames};
      this.#counters.set(name, metric);
    }
    metric.counter.inc(labelValues(tags, metric.labelNames), by);
  }

  /** Records a duration, in ms; the first call for a name fixes its labels. */
  observe(name: string, tags: Tags, valueMs: number): void {
    let metric = this.#histograms.get(name);
    if (metric === undefined) {
      const labelNames = Object.keys(tags);
      const histogram = new Histogram({
        name: `${metricName(name)}_ms`,
        help: `${name}, in ms`,
        labelNames,
        buckets: bucketsMs,
        registers: [this.#registry],
      });
      metric = {histogram, labelNames};
      this.#histograms.set(name, metric);
    }
    metric.histogram.observe(labelValues(tags, metric.labelNames), valueMs);
  }

  /** Renders all metrics as text. */
  async read(): Promise<string> {
    return this.#registry.metrics();
  }

  get contentType(): string {
    return this.#registry.contentType;
  }
}
