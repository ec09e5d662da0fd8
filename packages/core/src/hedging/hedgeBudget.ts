import type {HedgingSettings} from '@godwitspring/document';

/** Length of the sliding window, in ms. */
export const hedgeWindowMs = 10_000;
/** Intervals into which the sliding window is divided. */
const intervalsPerWindow = 20;
/** Hedged attempts allowed in a window beyond the shares, so that a home without counts allows a few. */
export const hedgeSlackAttempts = 4;
/** Attempts whose busy time a hedged attempt may cost: its own, and that of a first attempt that it makes useless. */
const attemptsPerHedge = 2;

/** An attempt that starts. */
export interface StartedAttempt {
  readonly isHedge: boolean;
  /** True for a retry or a hedged attempt. */
  readonly isRepeat: boolean;
  /** Key that the attempts of one request have in common. */
  readonly requestKey: string;
}

interface BudgetedAttempt extends StartedAttempt {
  readonly startedAtMs: number;
  /** Number of the interval in which it was counted. */
  readonly interval: number;
  /** True once a hedged attempt of the same request started. */
  isHedged: boolean;
}

interface Counts {
  firsts: number;
  hedges: number;
  busyMs: number;
  hedgedBusyMs: number;
}

/** Figures of the window, for decisions and tests. */
export type HedgeUsage = Readonly<Counts>;

/**
 * Counts the hedged attempts of a backend, and the busy time that they cost its servers, in a sliding window.
 *
 * Busy time counts from the start of an attempt to its end or cancellation. The busy time of a first attempt
 * that was cancelled after a hedged one started counts as hedged as well.
 */
export class HedgeBudget {
  readonly #intervals = new Map<number, Counts>();
  readonly #running = new Map<string, BudgetedAttempt>();
  readonly #runningHedges = new Map<string, BudgetedAttempt>();
  /** Running attempt of each request that is not hedged. */
  readonly #firstByRequest = new Map<string, BudgetedAttempt>();
  /** Sum of the starts of the running attempts, in ms: their ages are summed without visiting each. */
  #startSumMs = 0;

  /** Counts an attempt that starts. */
  recordStart(key: string, started: StartedAttempt, nowMs: number): void {
    const interval = this.#intervalNumber(nowMs);
    const attempt = {...started, startedAtMs: nowMs, interval, isHedged: false};
    const counts = this.#counts(interval);
    this.#running.set(key, attempt);
    this.#startSumMs += nowMs;
    if (started.isHedge) {
      counts.hedges += 1;
      this.#runningHedges.set(key, attempt);
      this.#setHedged(started.requestKey, true);
      return;
    }
    counts.firsts += started.isRepeat ? 0 : 1;
    this.#firstByRequest.set(started.requestKey, attempt);
  }

  /** Takes back an attempt that never ran. */
  cancelStart(key: string): void {
    const attempt = this.#remove(key);
    const counts = attempt === undefined ? undefined : this.#intervals.get(attempt.interval);
    if (attempt === undefined || counts === undefined) {
      return;
    }
    if (attempt.isHedge) {
      counts.hedges -= 1;
      this.#setHedged(attempt.requestKey, false);
    } else {
      counts.firsts -= attempt.isRepeat ? 0 : 1;
    }
  }

  /** Counts the busy time of an attempt that ended. */
  recordEnd(key: string, isCancelled: boolean, ranForMs: number, nowMs: number): void {
    const attempt = this.#remove(key);
    if (attempt === undefined) {
      return;
    }
    const counts = this.#counts(this.#intervalNumber(nowMs));
    counts.busyMs += ranForMs;
    counts.hedgedBusyMs += attempt.isHedge || (attempt.isHedged && isCancelled) ? ranForMs : 0;
  }

  /** Counts an attempt whose end was never reported as having run until now. */
  recordLost(key: string, nowMs: number): void {
    const startedAtMs = this.#running.get(key)?.startedAtMs ?? nowMs;
    this.recordEnd(key, true, nowMs - startedAtMs, nowMs);
  }

  /**
   * True where one more hedged attempt, for a request with the given key, stays within the shares. The slack adds to
   * the share of the attempts; of the busy time it is what is allowed at least.
   *
   * Counted in advance are the typical duration of each running hedged attempt, and the busy time of its first
   * attempt, which may turn out useless.
   */
  hasRoom(
    {maxAttemptShare, maxBusyShare}: HedgingSettings,
    requestKey: string,
    typicalMs: number,
    nowMs: number,
  ): boolean {
    const {firsts, hedges, busyMs, hedgedBusyMs} = this.usage(nowMs);
    if (hedges + 1 > firsts * maxAttemptShare + hedgeSlackAttempts) {
      return false;
    }
    const runningBusyMs = this.#running.size * nowMs - this.#startSumMs;
    let reservedMs = typicalMs + this.#firstCostMs(requestKey, typicalMs, nowMs);
    for (const hedge of this.#runningHedges.values()) {
      reservedMs += Math.max(nowMs - hedge.startedAtMs, typicalMs);
      reservedMs += this.#firstCostMs(hedge.requestKey, 0, nowMs);
    }
    const slackMs = hedgeSlackAttempts * attemptsPerHedge * typicalMs;
    const allowedMs = Math.max((busyMs + runningBusyMs) * maxBusyShare, slackMs);
    return hedgedBusyMs + reservedMs <= allowedMs;
  }

  /**
   * Counts of the attempts that started, and busy times of those that ended, in the window.
   *
   * The oldest interval lies partly outside of the window: only what uses the budget counts there, so that no
   * window exceeds the shares.
   */
  usage(nowMs: number): HedgeUsage {
    const total: Counts = {firsts: 0, hedges: 0, busyMs: 0, hedgedBusyMs: 0};
    const oldest = this.#intervalNumber(nowMs) - intervalsPerWindow;
    for (const [number, counts] of this.#intervals) {
      if (number < oldest) {
        this.#intervals.delete(number);
        continue;
      }
      total.hedges += counts.hedges;
      total.hedgedBusyMs += counts.hedgedBusyMs;
      if (number > oldest) {
        total.firsts += counts.firsts;
        total.busyMs += counts.busyMs;
      }
    }
    return total;
  }

  /** Busy time of the first attempt of a request at the given time from now, in ms; 0 where it has ended. */
  #firstCostMs(requestKey: string, afterMs: number, nowMs: number): number {
    const first = this.#firstByRequest.get(requestKey);
    return first === undefined ? 0 : nowMs + afterMs - first.startedAtMs;
  }

  #setHedged(requestKey: string, isHedged: boolean): void {
    const first = this.#firstByRequest.get(requestKey);
    if (first !== undefined) {
      first.isHedged = isHedged;
    }
  }

  #remove(key: string): BudgetedAttempt | undefined {
    const attempt = this.#running.get(key);
    if (attempt === undefined) {
      return undefined;
    }
    this.#running.delete(key);
    this.#runningHedges.delete(key);
    this.#startSumMs -= attempt.startedAtMs;
    if (this.#firstByRequest.get(attempt.requestKey) === attempt) {
      this.#firstByRequest.delete(attempt.requestKey);
    }
    return attempt;
  }

  #intervalNumber(nowMs: number): number {
    return Math.floor((nowMs * intervalsPerWindow) / hedgeWindowMs);
  }

  #counts(interval: number): Counts {
    const counts = this.#intervals.get(interval) ?? {
      firsts: 0,
      hedges: 0,
      busyMs: 0,
      hedgedBusyMs: 0,
    };
    this.#intervals.set(interval, counts);
    return counts;
  }
}
