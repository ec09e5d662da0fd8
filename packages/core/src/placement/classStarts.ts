/** Time constant with which starts and refusals lose weight, in ms: long enough for a burst of some seconds. */
const decayMs = 5_000;
/** Time constant of the measured demand, in ms: bursts that last a second or more count. */
const demandDecayMs = 1_000;
/** Share of all starts that less urgent classes keep while they wait, so that no class starves. */
const reservedShare = 1 / 20;
/** Most reserved starts that are saved up, so that they do not add up to a burst. */
const maxCredit = 1;
/** Most starts beyond the reserved ones that count against it. */
const minCredit = -1;
/** Refusals below which a class counts as served in full. */
const negligibleRefusals = 0.5;

/** What became of the recent requests of one priority class. */
interface ClassCounts {
  started: number;
  refused: number;
  /** Starts and refusals of about the last `demandDecayMs`. */
  demand: number;
}

/**
 * Recent starts and refusals by priority class, and the starts that are reserved for less urgent classes.
 *
 * Load pattern: a more urgent class alone brings more than the servers handle. A less urgent class would then
 * not be served at all. It gets a small share of the starts instead, as long as no more urgent class has a
 * larger part of its requests refused.
 */
export class ClassStarts {
  readonly #countsByPriority = new Map<number, ClassCounts>();
  #atMs = 0;
  #credit = 0;

  /** Counts a start. */
  recordStart(priority: number, nowMs: number): void {
    this.#count(priority, 'started', nowMs);
    this.#credit = Math.min(maxCredit, this.#credit + reservedShare);
  }

  /** Counts a start of a class that is less urgent than another one that waits. */
  useReserved(): void {
    this.#credit = Math.max(minCredit, this.#credit - 1);
  }

  recordRefusal(priority: number, nowMs: number): void {
    this.#count(priority, 'refused', nowMs);
  }

  /** True while a class that is not the most urgent one may start a request before more urgent classes. */
  get hasReserved(): boolean {
    return this.#credit >= maxCredit;
  }

  /** Share of the recent requests of a class that were started, 0 to 1. */
  servedShare(priority: number, nowMs: number): number {
    const {started, refused} = this.#countsOf(priority, nowMs);
    return refused < negligibleRefusals ? 1 : started / (started + refused);
  }

  /** True where a more urgent class has at least as large a part of its requests refused. */
  isServedBetter(priority: number, nowMs: number): boolean {
    const share = this.servedShare(priority, nowMs);
    for (const other of this.#countsByPriority.keys()) {
      const otherShare = this.servedShare(other, nowMs);
      if (other < priority && otherShare < 1 && otherShare <= share) {
        return true;
      }
    }
    return false;
  }

  /** Part of a number of starts per ms that more urgent classes leave to a class; at least the reserved part. */
  leftFor(priority: number, startsPerMs: number, nowMs: number): number {
    let moreUrgent = 0;
    for (const other of this.#countsByPriority.keys()) {
      moreUrgent += other < priority ? this.#countsOf(other, nowMs).demand / demandDecayMs : 0;
    }
    return Math.max(startsPerMs - moreUrgent, startsPerMs * reservedShare);
  }

  #count(priority: number, outcome: 'started' | 'refused', nowMs: number): void {
    const counts = this.#countsOf(priority, nowMs);
    counts[outcome] += 1;
    counts.demand += 1;
  }

  #countsOf(priority: number, nowMs: number): ClassCounts {
    if (nowMs > this.#atMs) {
      const retained = Math.exp(-(nowMs - this.#atMs) / decayMs);
      const demandRetained = Math.exp(-(nowMs - this.#atMs) / demandDecayMs);
      for (const counts of this.#countsByPriority.values()) {
        counts.started *= retained;
        counts.refused *= retained;
        counts.demand *= demandRetained;
      }
      this.#atMs = nowMs;
    }
    let counts = this.#countsByPriority.get(priority);
    if (counts === undefined) {
      counts = {started: 0, refused: 0, demand: 0};
      this.#countsByPriority.set(priority, counts);
    }
    return counts;
  }
}
