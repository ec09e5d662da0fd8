import type {AttemptOutcome} from '../messages/attemptOutcome.ts';

/**
 * Time constant with which ended attempts lose weight, in ms. Operators require that a set share of a backend's
 * healthy servers keeps receiving requests while many fail, and evaluate that over the same time.
 */
const decayMs = 2_000;

/** Outcomes of recent attempts, with decaying weights, and the attempts that are overdue. */
export interface OutcomeFigures {
  readonly failed: number;
  /** Attempts that were given back unused. */
  readonly turnedAway: number;
  readonly ended: number;
  readonly overdue: number;
}

const noFigures: OutcomeFigures = {failed: 0, turnedAway: 0, ended: 0, overdue: 0};

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

  /**
   * Share of the recent requests that are not served, with the given number of attempts that are overdue and the
   * figures of other homes of the backend.
   */
  unservedShare(overdueCount: number, others: OutcomeFigures = noFigures): number {
    const overdue = overdueCount + others.overdue;
    const turnedAway = this.#turnedAway + others.turnedAway;
    const total = this.#ended + others.ended + turnedAway + overdue;
    return total < 1 ? 0 : (this.#failed + others.failed + turnedAway + overdue) / total;
  }

  /** Figures for the other homes of the backend. */
  figures(overdueCount: number, nowMs: number): OutcomeFigures {
    this.#decay(nowMs);
    return {
      failed: this.#failed,
      turnedAway: this.#turnedAway,
      ended: this.#ended,
      overdue: Math.round(overdueCount),
    };
  }

  /** Share of the recent attempts that failed, 0 to 1. */
  get failed(): number {
    return this.#ended < 1 ? 0 : this.#failed / this.#ended;
  }

  /** Number of the attempts that ended recently, with their weights. */
  ended(nowMs: number): number {
    this.#decay(nowMs);
    return this.#ended;
  }

  #decay(nowMs: number): void {
    const retained = Math.exp(-(nowMs - this.#atMs) / decayMs);
    this.#failed *= retained;
    this.#ended *= retained;
    this.#turnedAway *= retained;
    this.#atMs = nowMs;
  }
}
