import type {AttemptOutcome} from '../messages/attemptOutcome.ts';

/**
 * Time constant with which ended attempts lose weight, in ms. Operators require that a set share of a backend's
 * healthy servers keeps receiving requests while many fail, and evaluate that over the same time.
 */
const decayMs = 2_000;

/**
 * Share of a backend's attempts that failed recently. Weights decay exponentially, so newer attempts count
 * more.
 */
export class RecentOutcomes {
  #failed = 0;
  #ended = 0;
  #atMs = 0;

  /** Records how an attempt ended; cancelled attempts do not count. */
  record(outcome: AttemptOutcome, nowMs: number): void {
    if (outcome === 'cancelled') {
      return;
    }
    const retained = Math.exp(-(nowMs - this.#atMs) / decayMs);
    this.#failed = this.#failed * retained + (outcome === 'ok' ? 0 : 1);
    this.#ended = this.#ended * retained + 1;
    this.#atMs = nowMs;
  }

  /** Share of the recent attempts that failed, 0 to 1. */
  get failed(): number {
    return this.#ended < 1 ? 0 : this.#failed / this.#ended;
  }
}
