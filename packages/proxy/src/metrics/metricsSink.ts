/** Receives every counter and duration that a host records, beside the host's own tables. */
export interface MetricsSink {
  /** Adds to a counter. */
  count(name: string, tags: Readonly<Record<string, string>>, by: number): void;
  /** Records one duration, in ms. */
  observe(name: string, tags: Readonly<Record<string, string>>, valueMs: number): void;
  /** Releases its resources. */
  stop(): Promise<void>;
}
