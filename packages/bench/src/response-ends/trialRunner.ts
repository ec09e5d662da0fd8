import {SeededRandom} from '@godwitspring/core';
import type {RandomSource} from '@godwitspring/core';
import {setTimeout as wait} from 'node:timers/promises';
import {classifyOutcome} from './classifyOutcome.ts';
import type {OutcomeClass} from './classifyOutcome.ts';
import {drawTrial} from './drawTrial.ts';
import {endsHost, ways} from './trial.ts';
import type {AttemptRecord, ReceivedResponse, Trial, Way} from './trial.ts';
import type {TrialFleet} from './trialFleet.ts';

/** Requests that run at a time on the ways on which no host ends. */
const concurrency = 24;
/** Requests that run on a host that ends. */
const requestsPerRestart = 24;
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

  constructor(fleet: TrialFleet) {
    this.#fleet = fleet;
  }

  async run({seed, requests}: RunTrialsOptions): Promise<TrialRun> {
    const random = new SeededRandom(seed);
    const trials = Array.from({length: requests}, (_, number) =>
      drawTrial(random, {seed, number, way: ways[number % ways.length] ?? 'alone'}),
    );
    return this.runTrials(trials, seed);
  }

  /** Runs given trials; the seed is that of the moments at which hosts end. */
  async runTrials(trials: readonly Trial[], seed: number): Promise<TrialRun> {
    const outcomes: TrialOutcome[] = [];
    const runOne = async (trial: Trial, number: number): Promise<void> => {
      outcomes.push(await this.#runOne(trial, number));
    };
    const steady = trials.filter(({way}) => !endsHost(way)).entries();
    await Promise.all(
      Array.from({length: concurrency}, async () => {
        for (const [number, trial] of steady) {
          await runOne(trial, number);
        }
      }),
    );
    const relayedAttempts = await this.#fleet.relayedAttempts();
    const runWithRestarts = async (way: Way): Promise<void> => {
      const group = trials.filter((trial) => trial.way === way);
      await this.#runWithRestarts(way, group, new SeededRandom(seed), runOne);
    };
    await Promise.all([runWithRestarts('plannedStop'), runWithRestarts('hostKilled')]);
    // Any host may relay, so these end one after the other.
    await runWithRestarts('relayStopped');
    await runWithRestarts('relayKilled');
    return {outcomes, relayedAttempts};
  }

  /** Runs trials in groups; the host of their way ends while a group runs. */
  async #runWithRestarts(
    way: Way,
    trials: readonly Trial[],
    random: RandomSource,
    runOne: (trial: Trial, number: number) => Promise<void>,
  ): Promise<void> {
    for (let first = 0; first < trials.length; first += requestsPerRestart) {
      const group = trials.slice(first, first + requestsPerRestart);
      const ended = Promise.all(group.map(runOne));
      await wait(minSignalMs + random.nextInt(maxSignalMs - minSignalMs));
      await this.#fleet.restart(way);
      await ended;
    }
  }

  async #runOne(trial: Trial, number: number): Promise<TrialOutcome> {
    const {trials} = this.#fleet;
    trials.add(trial);
    const received = await this.#fleet.send(trial, number);
    const attempts = trials.finish(trial.id);
    const outcome = classifyOutcome(trial, attempts, received);
    return {trial, received, attempts, outcome};
  }
}
