/** Probability that an attempt on a faulty server fails, 0 to 1: such servers fail a part of their requests. */
export const faultyFailureShare = 0.65;
/** Half-life of suspicion by attempts that ended, in ms: a third of the typical duration of a fault. */
export const suspicionHalfLifeMs = 2_000;
/** Evidence of an ended attempt below which it is dropped, as log-odds. */
const negligibleLogOdds = 0.1;
/** Share of the suspicion that remains after a success: faulty servers fail only now and then. */
export const suspicionLeftBySuccess = 0.3;
/** Limit of the suspicion, as log-odds. */
const maxSuspicion = 6;
/** Successes and silent attempts that are retained. */
const maxEntries = 32;

/** An attempt that ended without a response, or that has none yet. */
export interface SilentAttempt {
  readonly startedAtMs: number;
  /** How much likelier its silence is on a faulty server than on a healthy one, as log-odds. */
  readonly logOdds: number;
}

/** An attempt that succeeded. */
export interface SuccessfulAttempt {
  readonly hostId: string;
  readonly startedAtMs: number;
}

/** An ended attempt; a success has no log-odds of its own. */
interface Evidence extends SilentAttempt {
  /** Host of a success; undefined for a silent attempt. */
  readonly hostId: string | undefined;
  readonly recordedAtMs: number;
}

/**
 * Suspicion raised by an attempt that still runs, as log-odds, by the share of the attempts that take longer on servers
 * that work: as if a faulty server never responded.
 */
export function runningLogOdds(longerShare: number): number {
  return Math.min(maxSuspicion, -Math.log(longerShare));
}

/** How much likelier an attempt ends without a response on a faulty server than on one that works, as log-odds. */
export function endedLogOdds(longerShare: number): number {
  return Math.max(0, Math.min(maxSuspicion, Math.log(faultyFailureShare / longerShare)));
}

/**
 * Weighs the attempts that a server left without a response against its successes, in the order of their starts: a
 * success reduces the suspicion that comes of attempts which started before it, whether those have ended or still run.
 *
 * Load pattern: a part of the requests runs for many times the typical duration, on healthy servers as well. Such a
 * request looks like a silent server, while the same server answers what starts after it.
 */
export class SilenceEvidence {
  /** By start, the earliest first. */
  readonly #entries: Evidence[] = [];

  /** Records an attempt that ended without a response. */
  recordSilence({startedAtMs, logOdds}: SilentAttempt, nowMs: number): void {
    this.#insert({startedAtMs, logOdds, hostId: undefined, recordedAtMs: nowMs});
  }

  /** Records a success, which counts against the silence of attempts that started before it and may still run. */
  recordSuccess({hostId, startedAtMs}: SuccessfulAttempt, nowMs: number): void {
    this.#insert({startedAtMs, logOdds: 0, hostId, recordedAtMs: nowMs});
  }

  /** True where an attempt of a host that started after the given moment succeeded. */
  hasSuccessSince(startedAtMs: number, hostId: string): boolean {
    return this.#entries.some(
      (entry) => entry.hostId === hostId && entry.startedAtMs >= startedAtMs,
    );
  }

  /** Suspicion that the server is silent, as log-odds from 0, with the attempts that run. */
  suspicion(running: readonly SilentAttempt[], nowMs: number): number {
    let total = 0;
    let index = 0;
    for (const {startedAtMs, logOdds} of running) {
      for (; (this.#entries[index]?.startedAtMs ?? startedAtMs) < startedAtMs; index += 1) {
        total = this.#add(total, this.#entries[index], nowMs);
      }
      total = Math.min(maxSuspicion, total + logOdds);
    }
    for (; index < this.#entries.length; index += 1) {
      total = this.#add(total, this.#entries[index], nowMs);
    }
    return total;
  }

  /** Drops what no longer counts: faded silence, and successes before the earliest silence or running attempt. */
  prune(earliestRunningMs: number, nowMs: number): void {
    const isFaded = (entry: Evidence): boolean =>
      entry.hostId === undefined && this.#weighted(entry, nowMs) < negligibleLogOdds;
    const kept = this.#entries.filter((entry) => !isFaded(entry));
    const earliestSilenceMs = kept.find(({hostId}) => hostId === undefined)?.startedAtMs;
    const fromMs = Math.min(earliestRunningMs, earliestSilenceMs ?? Number.POSITIVE_INFINITY);
    const counting = kept.filter(({startedAtMs}) => startedAtMs >= fromMs).slice(-maxEntries);
    this.#entries.splice(0, this.#entries.length, ...counting);
  }

  /** Suspicion after one more entry. */
  #add(total: number, entry: Evidence | undefined, nowMs: number): number {
    if (entry === undefined) {
      return total;
    }
    return entry.hostId === undefined
      ? Math.min(maxSuspicion, total + this.#weighted(entry, nowMs))
      : total * suspicionLeftBySuccess;
  }

  #weighted({logOdds, recordedAtMs}: Evidence, nowMs: number): number {
    return logOdds * 0.5 ** ((nowMs - recordedAtMs) / suspicionHalfLifeMs);
  }

  /** Puts an entry at its place by start: nearly always the end, or just before it. */
  #insert(entry: Evidence): void {
    let index = this.#entries.length;
    while (index > 0 && (this.#entries[index - 1]?.startedAtMs ?? 0) > entry.startedAtMs) {
      index -= 1;
    }
    this.#entries.splice(index, 0, entry);
  }
}
