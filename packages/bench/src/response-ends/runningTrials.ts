import type {AttemptRecord, Trial} from './trial.ts';

/** Trials whose requests run, with what servers did with their attempts. */
export class RunningTrials {
  readonly #trials = new Map<string, {trial: Trial; started: number; attempts: AttemptRecord[]}>();

  add(trial: Trial): void {
    this.#trials.set(trial.id, {trial, started: 0, attempts: []});
  }

  /** Counts an attempt that reached a server; undefined for a request of no trial. */
  startAttempt(id: string): {trial: Trial; attempt: number} | undefined {
    const running = this.#trials.get(id);
    if (running === undefined) {
      return undefined;
    }
    running.started += 1;
    return {trial: running.trial, attempt: running.started};
  }

  recordAttempt(id: string, record: AttemptRecord): void {
    this.#trials.get(id)?.attempts.push(record);
  }

  /** Ends a trial and returns the records of its attempts. */
  finish(id: string): readonly AttemptRecord[] {
    const attempts = this.#trials.get(id)?.attempts ?? [];
    this.#trials.delete(id);
    return attempts;
  }
}
