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
  /** Attempts that were given back unused, as their request was turned away. */
  #turnedAway = 0;
  #atMs = 0;

  /** Records how an attempt ended; cancelled attempts do not count. */
  record(outcome: AttemptOutcome, nowMs: number): void {
    if (outcome === 'cancelled') {
      return;
    }
    this.#decay(nowMs);
    this.#failed += outcome === 'ok' ? 0 : 1;
    this.#ended += 1;
  }

  /** Records an attempt that was given back before it ran. */
  recordTurnedAway(nowMs: number): void {
    this.#decay(nowMs);
    this.#turnedAway += 1;
  }

  /** Share of the recent requests that are not served, with the given number of attempts that are overdue. */
  unservedShare(overdueCount: number): number {
    const unserved = this.#failed + this.#turnedAway + overdueCount;
    const total = this.#ended + this.#turnedAway + overdueCount;
    return total < 1 ? 0 : unserved / total;
  }

  /** Share of the recent attempts that failed, 0 to 1. */
  get failed(): number {
    return this.#ended < 1 ? 0 : this.#failed / this.#ended;
  }

  #decay(nowMs: number): void {
    const retained = Math.exp(-(nowMs - this.#atMs) / decayMs);
    this.#failed *= retained;
    this.#ended *= retained;
    this.#turnedAway *= retained;
    this.#atMs = nowMs;
  }
}
