import {createHash} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {checkDocument, formatIssue, hostListSchema} from '@godwitspring/document';
import {splitAddress} from '@godwitspring/proxy';
import {SimulatedPlatform} from '@godwitspring/standins';
import {Command, Option} from 'clipanion';
import {waitForStopSignal} from '@godwitspring/proxy';

/** `standin platform`: runs a simulated platform (a test double) that serves a document and a host list. */
export class StandinPlatformCommand extends Command {
  static override paths = [['standin', 'platform']];

  static override usage = Command.Usage({
    description: 'run a simulated platform',
    details: `
      A test double: serves a document and a host list. Publish with "PUT /control/document" and
      "PUT /control/hosts"; inject faults with "PUT /control/faults"; read counters at
      "GET /control/counters".

      Exit codes: 0 stopped by a signal, 1 a file is invalid or the address is in use.
    `,
    examples: [
      [
        'Serve an example',
        'godwitspring standin platform --listen 127.41.0.1:8500 --document examples/tasas.document.json --hosts examples/tasas.hosts.json',
      ],
    ],
  });

  listen = Option.String('--listen', {
    required: true,
    description: 'IP:port to listen on',
  });
  document = Option.String('--document', {
    required: true,
    description: 'document to publish at the start, JSON',
  });
  hosts = Option.String('--hosts', {
    required: true,
    description: 'host list to publish at the start, JSON',
  });

  override async execute(): Promise<number> {
    const checked = checkDocument(JSON.parse(await readFile(this.document, 'utf8')));
    if (checked.isErr()) {
      for (const fault of checked.error) {
        this.context.stderr.write(`${this.document}: ${formatIssue(fault)}\n`);
      }
      return 1;
    }
    const {hosts} = hostListSchema.parse(JSON.parse(await readFile(this.hosts, 'utf8')));
    const {host, port} = splitAddress(this.listen);
    const platform = new SimulatedPlatform({listenHost: host, listenPort: port});
    platform.state.publish(checked.value, (text) =>
      createHash('sha256').update(text).digest('hex'),
    );
    platform.state.publishHosts(hosts);
    await platform.start();
    this.context.stdout.write(
      `${JSON.stringify({event: 'standin.started', listen: this.listen})}\n`,
    );
    await waitForStopSignal();
    platform.stop();
    return 0;
  }
}
