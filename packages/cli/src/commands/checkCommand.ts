import {readFile} from 'node:fs/promises';
import {checkFile} from '../checkFile.ts';
import {formatIssue} from '@godwitspring/document';
import {Command, Option} from 'clipanion';

/** `check`: validates documents, host lists and settings files. */
export class CheckCommand extends Command {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'validate documents, host lists and settings',
    details: `
      Files that end in ".toml" are settings; all others are JSON. Every fault is listed with its path, what
      is wrong, how to correct it and the value found.

      Exit codes: 0 every file is valid, 1 a file has a fault or cannot be read.
    `,
    examples: [['Check the examples', 'godwitspring check examples/*']],
  });

  files = Option.Rest({required: 1, name: 'FILE'});

  override async execute(): Promise<number> {
    let exitCode = 0;
    for (const file of this.files) {
      const issues = checkFile(file, await this.#read(file));
      if (issues.length === 0) {
        this.context.stdout.write(`${file}: ok\n`);
        continue;
      }
      exitCode = 1;
      for (const issue of issues) {
        this.context.stderr.write(`${file}: ${formatIssue(issue)}\n`);
      }
    }
    return exitCode;
  }

  async #read(file: string): Promise<string | undefined> {
    try {
      return await readFile(file, 'utf8');
    } catch {
      return undefined;
    }
  }
}
