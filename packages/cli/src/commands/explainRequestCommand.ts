import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {requestStory} from '../requestStory.ts';

/** Tells what became of one request from the logs of the hosts. */
export class ExplainRequestCommand extends Command {
  static override paths = [['explain-request']];

  static override usage = Command.Usage({
    description: 'tell what became of one request from the logs of the hosts',
    details: `
      Give the logs of all hosts: the host that took the request and the home that placed it are seldom
      the same.

      Exit codes: 0 told, 1 no line on the request.
    `,
    examples: [['Explain a request', 'godwitspring explain-request 9c41d07be2a35f68 host-*.log']],
  });

  requestName = Option.String({name: 'request'});
  logs = Option.Rest({required: 1, name: 'log'});

  override async execute(): Promise<number> {
    const texts: string[] = [];
    for (const file of this.logs) {
      texts.push(await readFile(file, 'utf8'));
    }
    const story = requestStory(this.requestName, texts);
    if (story.length === 0) {
      this.context.stderr.write(
        `no line on request ${this.requestName} in ${this.logs.length} logs; give the logs of all hosts\n`,
      );
      return 1;
    }
    this.context.stdout.write(`${story.join('\n')}\n`);
    return 0;
  }
}
