import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream, mkdirSync} from 'node:fs';

const cliPath = 'packages/cli/src/main.ts';
const logFolder = 'dist/demo-logs';

/** Child processes of the demonstration, each with its own log file in `dist/demo-logs`. */
export class FleetProcesses {
  readonly #children = new Map<string, ChildProcess>();

  /** Starts the command-line program with the given arguments. */
  start(name: string, args: readonly string[]): void {
    mkdirSync(logFolder, {recursive: true});
    const child = spawn(process.execPath, ['--import', 'tsx', cliPath, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(`${logFolder}/${name}.log`);
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    this.#children.set(name, child);
  }

  /** Sends SIGTERM to a process, waits for its end, and returns its exit code. */
  async stop(name: string): Promise<number | null> {
    const child = this.#children.get(name);
    this.#children.delete(name);
    if (child === undefined || child.exitCode !== null) {
      return child?.exitCode ?? null;
    }
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGTERM');
    return exited;
  }

  async stopAll(): Promise<void> {
    await Promise.all([...this.#children.keys()].map((name) => this.stop(name)));
  }
}
