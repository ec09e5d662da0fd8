import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {requestTimeline} from '../requestTimeline.ts';

/** `explain-request`: prints the timeline of one request from the logs of the hosts. */
export class ExplainRequestCommand extends Command {
  static override paths = [['explain-request']];

  static override usage = Command.Usage({
    description: 'show what happened to one request, from the logs of the hosts',
    details: `
      Give the logs of all hosts: the entry host, which received the request, and the home that assigned a
      server to it are seldom the same host.

      Exit codes: 0 the timeline was printed, 1 no log line about the request.
    `,
    examples: [['Explain a request', 'godwitspring explain-request 9c41d07be2a35f68 host-*.log']],
  });

  requestName = Option.String({name: 'request'});
  logFiles = Option.Rest({required: 1, name: 'log'});

  override async execute(): Promise<number> {
    const logTexts: string[] = [];
    for (const file of this.logFiles) {
      logTexts.push(await readFile(file, 'utf8'));
    }
    const timeline = requestTimeline(this.requestName, logTexts);
    if (timeline.length === 0) {
      this.context.stderr.write(
        `no line about request ${this.requestName} in ${this.logFiles.length} logs; give the logs of all hosts\n`,
      );
      return 1;
    }
    this.context.stdout.write(`${timeline.join('\n')}\n`);
    return 0;
  }
}
