import {readFile} from 'node:fs/promises';
import {formatIssue, parseSettings} from '@godwitspring/document';
import {ProxyHost, createLog, loadXxHash} from '@godwitspring/proxy';
import {Command, Option} from 'clipanion';
import {waitForStopSignal} from '@godwitspring/proxy';

/** `proxy`: runs one host of the fleet. */
export class ProxyCommand extends Command {
  static override paths = [['proxy']];

  static override usage = Command.Usage({
    description: 'run one host of the fleet',
    details: `
      Serves callers until SIGTERM or SIGINT, then accepts no new requests, finishes those in progress and
      stops. A second signal stops the process at once.

      Exit codes: 0 graceful shutdown, 1 invalid settings or an address in use.
    `,
    examples: [['Run a host', 'godwitspring proxy --settings examples/tasas.host-1.toml']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'settings file of the host, in TOML',
  });

  override async execute(): Promise<number> {
    const parsed = parseSettings(await readFile(this.settings, 'utf8'));
    if (parsed.isErr()) {
      for (const fault of parsed.error) {
        this.context.stderr.write(`${this.settings}: ${formatIssue(fault)}\n`);
      }
      return 1;
    }
    const settings = parsed.value;
    const log = createLog(settings.log.level, {host: settings.host.id});
    const hash = await loadXxHash();
    const host = new ProxyHost({settings, log, hash, seed: Date.now() ^ process.pid});
    await host.start();
    await waitForStopSignal();
    await host.stop();
    return 0;
  }
}
