import {LoadCaller} from '@godwitspring/standins';
import {Command, Option} from 'clipanion';

function percentile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

/** Sends load to entry hosts. */
export class LoadCommand extends Command {
  static override paths = [['load']];

  static override usage = Command.Usage({
    description: 'send requests to entry hosts at a fixed rate',
    details: `
      Sends on loopback or to hosts of your own, bounded in time and number, and does not wait for
      answers before it sends on. The last line is the report as one JSON object.

      Exit codes: 0 the run ended, 1 an option is bad.
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
  key = Option.String('--key', {description: 'key of the customer'});
  method = Option.String('--method', 'GET', {description: 'GET, POST or PUT'});
  requestPath = Option.String('--path', '/', {description: 'path to ask for'});
  rate = Option.String('--rate', '10', {description: 'requests per second'});
  seconds = Option.String('--seconds', '10', {
    description: 'length of the run, at most 600',
  });
  bodyBytes = Option.String('--body-bytes', '0', {
    description: 'size of each body, in bytes',
  });
  seed = Option.String('--seed', '1', {description: 'seed of the gaps between requests'});

  override async execute(): Promise<number> {
    const ratePerSecond = Number(this.rate);
    const seconds = Number(this.seconds);
    const {method} = this;
    const isMethod = method === 'GET' || method === 'POST' || method === 'PUT';
    if (!isMethod || !(ratePerSecond > 0) || !(seconds > 0 && seconds <= 600)) {
      this.context.stderr.write(
        '--method takes GET, POST or PUT; --rate is above 0; --seconds is 1 to 600\n',
      );
      return 1;
    }
    const caller = new LoadCaller({
      targets: this.targets,
      key: this.key,
      method,
      path: this.requestPath,
      ratePerSecond,
      durationMs: seconds * 1_000,
      bodyBytes: Number(this.bodyBytes),
      seed: Number(this.seed),
    });
    const {sent, byStatus, latenciesMs} = await caller.run();
    const sorted = [...latenciesMs].sort((one, other) => one - other);
    const p50Ms = percentile(sorted, 0.5);
    const p99Ms = percentile(sorted, 0.99);
    this.context.stdout.write(`${JSON.stringify({sent, byStatus, p50Ms, p99Ms})}\n`);
    return 0;
  }
}
