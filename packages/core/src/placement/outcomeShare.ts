import type {WorkOutcome} from '../messages/workOutcome.ts';

/** Time over which ends of attempts are remembered, in ms: that in which the floor is judged. */
const memoryMs = 2_000;

/** Share of a backend's attempts that failed lately; newer ones count more. */
export class OutcomeShare {
  #failed = 0;
  #ended = 0;
  #atMs = 0;

  note(outcome: WorkOutcome, nowMs: number): void {
    if (outcome === 'cancelled') {
      return;
    }
    const kept = Math.exp(-(nowMs - this.#atMs) / memoryMs);
    this.#failed = this.#failed * kept + (outcome === 'ok' ? 0 : 1);
    this.#ended = this.#ended * kept + 1;
    this.#atMs = nowMs;
  }

  get failed(): number {
    return this.#ended < 1 ? 0 : this.#failed / this.#ended;
  }
}
