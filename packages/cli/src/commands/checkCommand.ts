import {checkText, formatFinding} from '@godwitspring/document';
import type {Finding, FleetDocument} from '@godwitspring/document';
import {Command, Option, UsageError} from 'clipanion';
import {readDocumentInForce, readText} from '../readDocumentInForce.ts';

/** The findings of one file. */
interface FileFindings {
  readonly file: string;
  readonly findings: readonly Finding[];
}

/** Exit status where no finding counts. */
const okStatus = 0;
/** Exit status where a file has an error or cannot be read. */
const errorStatus = 1;
/** Exit status with `--strict` where there are warnings or unsafe differences, but no errors. */
const warningStatus = 2;

/** `check`: validates documents, host lists and settings files. */
export class CheckCommand extends Command {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'validate documents, host lists and settings',
    details: `
      Files that end in ".toml" are settings; all others are JSON. Every finding is listed with its path, its
      line where known, what is wrong and how to correct it. Warnings are entries that can never match and limits
      that contradict each other. With --against, documents are also compared with the one in force.

      Errors and warnings go to standard error, differences to standard output; with --format json, all findings
      go to standard output.

      Exit codes: 0 every file is valid, 1 a file has an error or cannot be read, 2 with --strict: there are
      warnings or unsafe differences, but no errors.
    `,
    examples: [
      ['Check the examples', 'godwitspring check examples/*'],
      ['Compare with a running host', 'godwitspring check new.json --against 127.0.0.1:9900'],
    ],
  });

  files = Option.Rest({required: 1, name: 'FILE'});
  against = Option.String('--against', {
    description: 'file of the document in force, or admin address of a running host',
  });
  format = Option.String('--format', 'text', {description: 'text or json'});
  isStrict = Option.Boolean('--strict', false, {
    description: 'exit with 2 for warnings and unsafe differences',
  });

  override async execute(): Promise<number> {
    if (this.format !== 'text' && this.format !== 'json') {
      throw new UsageError(`--format must be text or json, not "${this.format}"`);
    }
    const results = await this.#check();
    if (this.format === 'json') {
      this.context.stdout.write(`${JSON.stringify(results)}\n`);
    } else {
      this.#printText(results);
    }
    const findings = results.flatMap((result) => result.findings);
    if (findings.some(({severity}) => severity === 'error')) {
      return errorStatus;
    }
    const hasWarnings = findings.some(({severity, isUnsafe}) => severity === 'warning' || isUnsafe);
    return this.isStrict && hasWarnings ? warningStatus : okStatus;
  }

  /** Checks every file; where the document in force cannot be read, the files are checked without it. */
  async #check(): Promise<FileFindings[]> {
    const results: FileFindings[] = [];
    let against: FleetDocument | undefined;
    if (this.against !== undefined) {
      const inForce = await readDocumentInForce(this.against);
      if (Array.isArray(inForce)) {
        results.push({file: this.against, findings: inForce});
      } else {
        against = inForce;
      }
    }
    for (const file of this.files) {
      const text = await readText(file);
      const findings = typeof text === 'string' ? checkText(file, text, against) : [text];
      results.push({file, findings});
    }
    return results;
  }

  #printText(results: readonly FileFindings[]): void {
    const {stdout, stderr} = this.context;
    for (const {file, findings} of results) {
      for (const finding of findings) {
        const stream = finding.severity === 'difference' ? stdout : stderr;
        stream.write(`${formatFinding(file, finding)}\n`);
      }
      if (findings.some(({severity}) => severity === 'error')) {
        continue;
      }
      const warningCount = findings.filter(({severity}) => severity === 'warning').length;
      stdout.write(`${file}: ok${warningCount === 0 ? '' : `, warnings: ${warningCount}`}\n`);
    }
  }
}
