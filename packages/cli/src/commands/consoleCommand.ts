import {ConsoleTask} from '@godwitspring/console';
import {HttpPlatform, splitAddress} from '@godwitspring/proxy';
import {Command, Option} from 'clipanion';
import {waitForStopSignal} from '@godwitspring/proxy';

/** `console`: runs the operators' web console. */
export class ConsoleCommand extends Command {
  static override paths = [['console']];

  static override usage = Command.Usage({
    description: 'run the operators’ web console',
    details: `
      Serves forms for editing the published document. The result is one validated document that the operator
      downloads and publishes; the console itself writes nothing to the platform.

      Exit codes: 0 stopped by a signal, 1 the address is already in use.
    `,
    examples: [
      [
        'Run the console',
        'godwitspring console --listen 127.0.0.1:8300 --platform http://127.41.0.1:8500',
      ],
    ],
  });

  listen = Option.String('--listen', '127.0.0.1:8300', {description: 'IP:port to listen on'});
  platform = Option.Array('--platform', {
    required: true,
    description: 'origin of the platform; may be repeated',
  });

  override async execute(): Promise<number> {
    const {host, port} = splitAddress(this.listen);
    const platform = new HttpPlatform({origins: this.platform});
    const consoleTask = new ConsoleTask({
      listenHost: host,
      listenPort: port,
      platform,
      now: () => new Date().toISOString(),
    });
    await consoleTask.start();
    this.context.stdout.write(
      `${JSON.stringify({event: 'console.started', listen: this.listen})}\n`,
    );
    await waitForStopSignal();
    consoleTask.stop();
    await platform.stop();
    return 0;
  }
}
