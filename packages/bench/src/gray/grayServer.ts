import type {RandomSource} from '@godwitspring/core';

/** How a server answers: it works, falls silent, fails at once, or rejects as if full. */
export type GrayMode = 'well' | 'silent' | 'failing' | 'shedding';

export interface GrayServerOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly backendId: string;
  readonly slots: number;
  readonly maxWaiting: number;
  readonly random: RandomSource;
  readonly later: (afterMs: number, run: () => void) => void;
  /** Share of the requests that fail though the server is well, 0 to 1. */
  readonly errorShare: number;
}

export interface GrayAnswer {
  readonly status: number;
  readonly saidNotRun: boolean;
}

export interface GrayWork {
  readonly meanMs: number;
  /** Standard deviation of the logarithm of the work time. */
  readonly spread: number;
  readonly timeoutMs: number;
  /** True for a request that needs next to no work: a gray server answers it, as it does a probe. */
  readonly isTrivial: boolean;
  readonly answer: (answer: GrayAnswer) => void;
}

interface Running {
  readonly work: GrayWork;
  isOver: boolean;
}

const steps = 1_000_000;

/** A backend server in virtual time that fails part of its work while its probes pass. */
export class GrayServer {
  readonly id: string;
  readonly dataCentre: string;
  readonly backendId: string;
  readonly slots: number;
  mode: GrayMode = 'well';
  /** Share of the work that the mode spoils, 0 to 1. */
  spoiledShare = 0.9;
  /** Time after which spoiled work fails, in ms; undefined for that of its work. */
  failsInMs: number | undefined;
  runs = 0;
  readonly #options: GrayServerOptions;
  readonly #running = new Set<Running>();
  readonly #waiting: Running[] = [];

  constructor(options: GrayServerOptions) {
    this.id = options.id;
    this.dataCentre = options.dataCentre;
    this.backendId = options.backendId;
    this.slots = options.slots;
    this.#options = options;
  }

  /** Takes work; gives the call that drops it, as when its connection closes. */
  take(work: GrayWork): () => void {
    const running: Running = {work, isOver: false};
    if (this.#isSpoiled('shedding')) {
      work.answer({status: 503, saidNotRun: true});
      return () => undefined;
    }
    if (this.#running.size < this.slots) {
      this.#start(running);
    } else if (this.#waiting.length < this.#options.maxWaiting) {
      this.#waiting.push(running);
    } else {
      work.answer({status: 503, saidNotRun: true});
    }
    return () => {
      this.#end(running, undefined);
    };
  }

  #start(running: Running): void {
    const {later, errorShare} = this.#options;
    this.#running.add(running);
    this.runs += 1;
    const {work} = running;
    if (!work.isTrivial && this.#isSpoiled('silent')) {
      later(work.timeoutMs, () => {
        this.#end(running, {status: 504, saidNotRun: false});
      });
      return;
    }
    const isSpoiled = this.#isSpoiled('failing');
    const isFailing = isSpoiled || this.#uniform() < errorShare;
    const status = isFailing ? 500 : 200;
    const workMs = this.#workMs(work);
    later(isSpoiled ? (this.failsInMs ?? workMs) : workMs, () => {
      this.#end(running, {status, saidNotRun: false});
    });
  }

  #end(running: Running, answer: GrayAnswer | undefined): void {
    if (running.isOver) {
      return;
    }
    running.isOver = true;
    const index = this.#waiting.indexOf(running);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    }
    if (this.#running.delete(running)) {
      const next = this.#waiting.shift();
      if (next !== undefined) {
        this.#start(next);
      }
    }
    if (answer !== undefined) {
      running.work.answer(answer);
    }
  }

  #workMs({meanMs, spread}: GrayWork): number {
    const normal =
      Math.sqrt(-2 * Math.log(this.#uniform())) * Math.cos(2 * Math.PI * this.#uniform());
    return Math.min(meanMs * 5, meanMs * Math.exp(spread * normal - (spread * spread) / 2));
  }

  #isSpoiled(mode: GrayMode): boolean {
    return this.mode === mode && this.#uniform() < this.spoiledShare;
  }

  #uniform(): number {
    return (this.#options.random.below(steps) + 1) / (steps + 1);
  }
}
