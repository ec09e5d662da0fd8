/**
 * Runs the fault matrix in parallel worker processes and prints the failed cells and the totals.
 *
 * The worker processes run this file, too: a process with a channel to a parent is a worker.
 */
import {fork} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import {availableParallelism} from 'node:os';
import {fileURLToPath} from 'node:url';
import {loadXxHash} from '@godwitspring/proxy';
import {allCells} from './matrix/allCells.ts';
import {runCell} from './matrix/runCell.ts';
import type {CellResult} from './matrix/runCell.ts';

/** Number of cells after which the progress is printed. */
const progressEvery = 200;

/** Cells that one worker runs: every `step`-th of the selected ones, from position `first`. */
interface WorkerShare {
  readonly first: number;
  readonly step: number;
  readonly indexes: readonly number[];
}

/** Cells to run: those with a seed given as `--seed=N`, or all; `--singles` leaves out pairs of faults. */
function selectedCellIndexes(args: readonly string[]): number[] {
  const seeds = args.flatMap((arg) => (arg.startsWith('--seed=') ? [Number(arg.slice(7))] : []));
  const indexes: number[] = [];
  for (const [index, {seed, faults}] of allCells().entries()) {
    const isSingle = faults.length === 1 || !args.includes('--singles');
    if (seeds.length === 0 ? isSingle : seeds.includes(seed)) {
      indexes.push(index);
    }
  }
  return indexes;
}

/** Runs the cells of one worker and sends each result to the parent process. */
async function runShare({first, step, indexes}: WorkerShare): Promise<void> {
  const hash = await loadXxHash();
  const cells = allCells();
  for (let position = first; position < indexes.length; position += step) {
    const cell = cells[indexes[position] ?? 0];
    if (cell !== undefined) {
      process.send?.(runCell(cell, hash));
    }
  }
}

/** Spreads the cells over worker processes and waits for all of them. */
async function runWorkers(
  indexes: readonly number[],
  onResult: (result: CellResult) => void,
): Promise<void> {
  const workers = Math.min(Math.max(1, availableParallelism() - 1), indexes.length);
  const exits: Promise<void>[] = [];
  for (let first = 0; first < workers; first += 1) {
    const share: WorkerShare = {first, step: workers, indexes};
    const worker = fork(fileURLToPath(import.meta.url), [], {execArgv: ['--import', 'tsx']});
    worker.on('message', (result) => {
      onResult(result as CellResult);
    });
    worker.send(share);
    exits.push(
      new Promise((resolve, reject) => {
        worker.once('exit', (code) => {
          if (code === 0) {
            resolve();
            return;
          }
          reject(new Error(`a worker process exited with code ${code}`));
        });
      }),
    );
  }
  await Promise.all(exits);
}

/** Names of cells that may fail, from the `cell: ` lines of the list of known failures. */
async function knownFailureNames(): Promise<Set<string>> {
  const text = await readFile('KNOWN-RED.txt', 'utf8').catch(() => '');
  const names = new Set<string>();
  for (const line of text.split('\n')) {
    if (line.startsWith('cell: ')) {
      names.add(line.slice('cell: '.length).trim());
    }
  }
  return names;
}

async function main(): Promise<void> {
  const indexes = selectedCellIndexes(process.argv.slice(2));
  const knownNames = await knownFailureNames();
  const totals = {cells: indexes.length, passed: 0, failed: 0, knownRed: 0};
  let done = 0;
  await runWorkers(indexes, ({name, seed, broken}) => {
    done += 1;
    if (done % progressEvery === 0) {
      process.stdout.write(`${done} of ${indexes.length} cells\n`);
    }
    if (broken.length === 0) {
      totals.passed += 1;
      return;
    }
    totals[knownNames.has(name) ? 'knownRed' : 'failed'] += 1;
    const replay = `npm run matrix -- --seed=${seed}`;
    process.stdout.write(`FAILED ${name}\n  ${broken.join('\n  ')}\n  replay: ${replay}\n`);
  });
  process.stdout.write(`${JSON.stringify(totals)}\n`);
  process.exitCode = totals.failed === 0 ? 0 : 1;
}

if (process.send === undefined) {
  await main();
} else {
  process.once('message', (share) => {
    void runShare(share as WorkerShare).then(() => {
      process.disconnect();
    });
  });
}
