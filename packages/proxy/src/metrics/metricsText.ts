import {Counter, Histogram, Registry} from 'prom-client';

type Tags = Readonly<Record<string, string>>;

/** Bounds of the histograms of times, in ms. */
const bucketsMs = [1, 2, 5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

function metricName(name: string): string {
  return `godwitspring_${name.replace(/[^a-zA-Z0-9]+/g, '_')}`;
}

/** The labels that a metric was created with; the client library refuses others. */
function labelsOf(tags: Tags, labelNames: readonly string[]): Record<string, string> {
  return Object.fromEntries(labelNames.map((label) => [label, tags[label] ?? '']));
}

/** Counters and histograms as text in the Prometheus exposition format. */
export class MetricsText {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, {counter: Counter; labelNames: readonly string[]}>();
  readonly #histograms = new Map<string, {histogram: Histogram; labelNames: readonly string[]}>();

  count(name: string, tags: Tags, by: number): void {
    let known = this.#counters.get(name);
    if (known === undefined) {
      const labelNames = Object.keys(tags);
      const counter = new Counter({
        name: `${metricName(name)}_total`,
        help: name,
        labelNames,
        registers: [this.#registry],
      });
      known = {counter, labelNames};
      this.#counters.set(name, known);
    }
    known.counter.inc(labelsOf(tags, known.labelNames), by);
  }

  observe(name: string, tags: Tags, valueMs: number): void {
    let known = this.#histograms.get(name);
    if (known === undefined) {
      const labelNames = Object.keys(tags);
      const histogram = new Histogram({
        name: `${metricName(name)}_ms`,
        help: `${name}, in ms`,
        labelNames,
        buckets: bucketsMs,
        registers: [this.#registry],
      });
      known = {histogram, labelNames};
      this.#histograms.set(name, known);
    }
    known.histogram.observe(labelsOf(tags, known.labelNames), valueMs);
  }

  async read(): Promise<string> {
    return this.#registry.metrics();
  }

  get contentType(): string {
    return this.#registry.contentType;
  }
}
