import {SeededRandom} from '@godwitspring/core';
import {setTimeout as wait} from 'node:timers/promises';
import {classifyOutcome} from './classifyOutcome.ts';
import type {OutcomeClass} from './classifyOutcome.ts';
import {drawTrial} from './drawTrial.ts';
import {ways} from './trial.ts';
import type {AttemptRecord, ReceivedResponse, Trial} from './trial.ts';
import type {TrialFleet} from './trialFleet.ts';

/** Requests that run at a time on the ways on which no host ends. */
const concurrency = 24;
/** Requests that run on a host that ends. */
const requestsPerRestart = 16;
/** Bounds of the time from the start of these requests to the signal, in ms. */
const minSignalMs = 60;
const maxSignalMs = 700;

/** A trial with its result. */
export interface TrialOutcome {
  readonly trial: Trial;
  readonly received: ReceivedResponse;
  readonly attempts: readonly AttemptRecord[];
  readonly outcome: OutcomeClass;
}

/** Result of a run. */
export interface TrialRun {
  readonly outcomes: readonly TrialOutcome[];
  /** Attempts that hosts relayed for the host that is cut off, before any of them ended. */
  readonly relayedAttempts: number;
}

/** Number and seed of the requests of a run. */
export interface RunTrialsOptions {
  readonly seed: number;
  readonly requests: number;
}

/** Runs trials before a fleet: first those on the ways on which no host ends, then those on the others. */
export class TrialRunner {
  readonly #fleet: TrialFleet;
  readonly #outcomes: TrialOutcome[] = [];

  constructor(fleet: TrialFleet) {
    this.#fleet = fleet;
  }

  async run({seed, requests}: RunTrialsOptions): Promise<TrialRun> {
    const random = new SeededRandom(seed);
    const trials = Array.from({length: requests}, (_, number) =>
      drawTrial(random, {seed, number, way: ways[number % ways.length] ?? 'alone'}),
    );
    const isRestart = ({way}: Trial): boolean => way === 'plannedStop' || way === 'hostKilled';
    const steady = trials.filter((trial) => !isRestart(trial)).entries();
    await Promise.all(
      Array.from({length: concurrency}, async () => {
        for (const [number, trial] of steady) {
          await this.#runOne(trial, number);
        }
      }),
    );
    const relayedAttempts = await this.#fleet.relayedAttempts();
    const of = (way: Trial['way']): Trial[] => trials.filter((trial) => trial.way === way);
    await Promise.all([
      this.#runWithRestarts('plannedStop', of('plannedStop'), new SeededRandom(seed + 1)),
      this.#runWithRestarts('hostKilled', of('hostKilled'), new SeededRandom(seed + 2)),
    ]);
    return {outcomes: this.#outcomes, relayedAttempts};
  }

  async #runWithRestarts(
    way: 'plannedStop' | 'hostKilled',
    trials: readonly Trial[],
    random: SeededRandom,
  ): Promise<void> {
    for (let first = 0; first < trials.length; first += requestsPerRestart) {
      const group = trials.slice(first, first + requestsPerRestart);
      const ended = Promise.all(group.map((trial, index) => this.#runOne(trial, index)));
      await wait(minSignalMs + random.nextInt(maxSignalMs - minSignalMs));
      await this.#fleet.restart(way);
      await ended;
    }
  }

  async #runOne(trial: Trial, number: number): Promise<void> {
    const {trials} = this.#fleet;
    trials.add(trial);
    const received = await this.#fleet.send(trial, number);
    const attempts = trials.finish(trial.id);
    const outcome = classifyOutcome(trial, attempts, received);
    this.#outcomes.push({trial, received, attempts, outcome});
  }
}
