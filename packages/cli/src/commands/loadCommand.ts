import {LoadGenerator} from '@godwitspring/standins';
import {Command, Option} from 'clipanion';

/** The value at a fraction (0 to 1) of sorted values; 0 where there are none. */
function percentile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** `load`: sends requests to entry hosts at a fixed rate and reports statuses and latencies. */
export class LoadCommand extends Command {
  static override paths = [['load']];

  static override usage = Command.Usage({
    description: 'send requests to entry hosts at a fixed rate',
    details: `
      Open-loop load for loopback or for hosts of your own, limited in time and number: requests are sent
      without waiting for earlier responses. The last line is the report as one JSON object.

      Exit codes: 0 the run completed, 1 an option is invalid.
    `,
    examples: [
      [
        'Ten seconds at 50 requests a second',
        'godwitspring load --target http://127.41.1.1:8080 --key example-key-estudio-belgrano --path /consultas/1 --rate 50 --seconds 10',
      ],
    ],
  });

  targets = Option.Array('--target', {
    required: true,
    description: 'origin of an entry host; may be repeated',
  });
  key = Option.String('--key', {description: 'API key of the customer'});
  method = Option.String('--method', 'GET', {description: 'GET, POST or PUT'});
  requestPath = Option.String('--path', '/', {description: 'path to request'});
  rate = Option.String('--rate', '10', {description: 'requests per second'});
  seconds = Option.String('--seconds', '10', {
    description: 'duration of the run in seconds, at most 600',
  });
  bodyBytes = Option.String('--body-bytes', '0', {
    description: 'size of each request body, in bytes',
  });
  seed = Option.String('--seed', '1', {
    description: 'seed of the random intervals between requests',
  });

  override async execute(): Promise<number> {
    const ratePerSecond = Number(this.rate);
    const seconds = Number(this.seconds);
    const {method} = this;
    const isSupportedMethod = method === 'GET' || method === 'POST' || method === 'PUT';
    if (!isSupportedMethod || !(ratePerSecond > 0) || !(seconds > 0 && seconds <= 600)) {
      this.context.stderr.write(
        '--method must be GET, POST or PUT; --rate above 0; --seconds above 0 and at most 600\n',
      );
      return 1;
    }
    const loadGenerator = new LoadGenerator({
      targets: this.targets,
      key: this.key,
      method,
      path: this.requestPath,
      ratePerSecond,
      durationMs: seconds * 1_000,
      bodyBytes: Number(this.bodyBytes),
      seed: Number(this.seed),
    });
    const {sent, byStatus, latenciesMs} = await loadGenerator.run();
    const sorted = [...latenciesMs].sort((one, other) => one - other);
    const p50Ms = percentile(sorted, 0.5);
    const p99Ms = percentile(sorted, 0.99);
    this.context.stdout.write(`${JSON.stringify({sent, byStatus, p50Ms, p99Ms})}\n`);
    return 0;
  }
}
