import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import {
  endedLogOdds,
  faultyFailureShare,
  runningLogOdds,
  SilenceEvidence,
  suspicionHalfLifeMs,
  suspicionLeftBySuccess,
} from './silenceEvidence.ts';
import type {SilentAttempt} from './silenceEvidence.ts';
import {minFailedShare} from './usualFailures.ts';

/** An attempt that runs on a server. */
export interface RunningAttempt {
  readonly hostId: string;
  readonly routeId: string;
  readonly startedAtMs: number;
}

/** Share of the responses on a route that take longer than a given time. */
export type ShareAbove = (routeId: string, ageMs: number) => number;

/**
 * Prior failure probabilities. Servers fall silent for seconds while their health probes pass: of the servers
 * without a recent success a quarter are assumed to be silent. A server that has just answered fails once in
 * 300 attempts.
 */
const unknownRisk = 0.25;
const recentSuccessRisk = 0.003;
/** Time constant with which a success loses its weight, in ms: servers turn faulty about every 12 s. */
const successDecayMs = 10_000;
/** Suspicion of one silent attempt from which its host avoids the server, as log-odds. */
const avoidanceSuspicion = 2;
/** Suspicion of one silent attempt from which earlier successes no longer count, as log-odds. */
const successVoidingSuspicion = 4;
/** Limit of the suspicion that the server returns errors, as log-odds. */
const maxErrorSuspicion = 6;
/** Limit up to which shed requests alone raise the suspicion, as log-odds. */
const maxShedSuspicion = 1.5;
/**
 * Suspicion against a server that two hosts could not reach, as log-odds: it is down, rather than cut off
 * from one of them.
 */
const downSuspicion = 4;
/** Window in which two hosts must fail to reach a server for it to count as down, in ms. */
const downWindowMs = 1_500;
/** Time for which a host avoids a server that it could not reach or that was silent to it, in ms. */
const hostAvoidanceMs = 9_000;
/** Window in which starts are counted against the rate of the server, in ms. */
const rateWindowMs = 1_000;
/**
 * Time for which an estimate is used again where no attempt started or ended, in ms. The estimate changes with the
 * age of the attempts, which run for hundreds of ms.
 */
const riskValidityMs = 10;
/** Window of the recent starts by which attempts are spread over servers, in ms. */
const recentStartsWindowMs = 2_000;

/**
 * Suspicion that the outcome of an attempt adds at most, as log-odds: how much likelier the outcome is from a faulty
 * server than from a healthy one that fails one request in 80.
 */
const suspicionByOutcome: Readonly<
  Record<Exclude<AttemptOutcome, 'timeout' | 'cancelled'>, number>
> = {
  ok: 0,
  error: 3,
  lost: 3.5,
  unreachable: 1,
  shed: 0.7,
  misdirected: 20,
};

/**
 * Outcomes that indicate a silent server or a broken network path to it, rather than a server that returns
 * errors.
 */
const silentOutcomes: ReadonlySet<AttemptOutcome> = new Set([
  'timeout',
  'lost',
  'unreachable',
  'cancelled',
]);

function logit(probability: number): number {
  return Math.log(probability / (1 - probability));
}

/** What a server's attempts are compared with. */
export interface ServerRiskOptions {
  /** Log-odds by which the estimates of all servers of the backend are too high. Default: none. */
  readonly correction: (nowMs: number) => number;
  /** Share of the attempts that fail on a server of the backend that works, 0 to 1. Default: one in 80. */
  readonly usualFailedShare: (nowMs: number) => number;
  /** Share of the attempts that reach their timeout on a server of the backend that works, 0 to 1. Default: none. */
  readonly usualSilentShare: (nowMs: number) => number;
}

const DEFAULT_SERVER_RISK_OPTIONS: ServerRiskOptions = {
  correction: () => 0,
  usualFailedShare: () => minFailedShare,
  usualSilentShare: () => 0,
};

/**
 * Estimates how likely the next attempt on one server fails. The estimate starts from the time since the last
 * success and adds suspicion: evidence against the server as log-odds, from outcomes and from attempts that
 * run unusually long.
 */
export class ServerRisk {
  readonly #options: ServerRiskOptions;
  /** Attempts running on the server, by `hostId/askId`. */
  readonly #running = new Map<string, RunningAttempt>();
  #risk = 0;
  /** When `#risk` was computed, in ms; negative infinity once an attempt started or ended since. */
  #riskAtMs = Number.NEGATIVE_INFINITY;
  #lastSuccessStartMs = Number.NEGATIVE_INFINITY;
  readonly #silence = new SilenceEvidence();
  /** Suspicion that the server returns errors, reduced by any success, as log-odds. */
  #errorSuspicion = 0;
  #suspicionAtMs = 0;
  readonly #startsMs: number[] = [];
  readonly #avoidedUntilMs = new Map<string, number>();
  /** When each host last failed to reach the server, in ms. */
  readonly #unreachableAtMs = new Map<string, number>();

  constructor(options: Partial<ServerRiskOptions> = {}) {
    this.#options = {...DEFAULT_SERVER_RISK_OPTIONS, ...options};
  }

  /** Number of attempts running on the server. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Start of the newest successful attempt, in ms; negative infinity for none. */
  get lastSuccessStartMs(): number {
    return this.#lastSuccessStartMs;
  }

  /** Start of the newest attempt, in ms; negative infinity for none. */
  get lastStartMs(): number {
    return this.#startsMs.at(-1) ?? Number.NEGATIVE_INFINITY;
  }

  /** Records the start of an attempt. */
  start(key: string, attempt: RunningAttempt): void {
    this.#running.set(key, attempt);
    this.#riskAtMs = Number.NEGATIVE_INFINITY;
    this.#startsMs.push(attempt.startedAtMs);
    while (
      (this.#startsMs[0] ?? Number.POSITIVE_INFINITY) <
      attempt.startedAtMs - recentStartsWindowMs
    ) {
      this.#startsMs.shift();
    }
  }

  /** Removes an attempt that no longer runs; its outcome is recorded apart. */
  end(key: string): void {
    this.#running.delete(key);
    this.#riskAtMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Removes the start of an attempt that never ran, so that it does not count against the rate of the server.
   */
  cancelStart(startedAtMs: number): void {
    const index = this.#startsMs.lastIndexOf(startedAtMs);
    if (index >= 0) {
      this.#startsMs.splice(index, 1);
    }
  }

  /** Attempts started in the last second. */
  startsInSecond(nowMs: number): number {
    return this.#startsSince(nowMs - rateWindowMs);
  }

  /** Attempts started in the last two seconds. */
  recentStarts(nowMs: number): number {
    return this.#startsSince(nowMs - recentStartsWindowMs);
  }

  /** Applies the outcome of an attempt; `shareAbove` gives how unusual its duration was. */
  recordOutcome(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    nowMs: number,
    shareAbove: ShareAbove,
  ): void {
    this.#riskAtMs = Number.NEGATIVE_INFINITY;
    if (outcome === 'ok') {
      this.#recordSuccess(attempt, nowMs);
      return;
    }
    // An attempt that ended before its typical duration says little about the server, whether the host or a
    // timeout ended it.
    const wasCutShort = outcome === 'cancelled' || outcome === 'timeout';
    let suspicion = wasCutShort
      ? endedLogOdds(this.#longerShare(attempt, shareAbove, nowMs))
      : this.#outcomeSuspicion(outcome, nowMs);
    if (outcome === 'unreachable') {
      this.#unreachableAtMs.set(attempt.hostId, nowMs);
      suspicion = this.#isDown(nowMs) ? downSuspicion : suspicion;
    }
    if (silentOutcomes.has(outcome)) {
      this.#recordSilence(attempt, suspicion, outcome === 'unreachable', nowMs);
      return;
    }
    this.#decay(nowMs);
    // A shed request did not run and may be sent elsewhere: sheds alone never raise the risk to the limit at
    // which a server counts as unusable.
    const limit =
      outcome === 'shed' ? Math.max(this.#errorSuspicion, maxShedSuspicion) : maxErrorSuspicion;
    this.#errorSuspicion = Math.min(limit, this.#errorSuspicion + suspicion);
  }

  /** Suspicion that an outcome other than silence adds: less where servers that work fail often, too. */
  #outcomeSuspicion(outcome: keyof typeof suspicionByOutcome, nowMs: number): number {
    const suspicion = suspicionByOutcome[outcome];
    if (outcome !== 'error' && outcome !== 'lost') {
      return suspicion;
    }
    const ratio = faultyFailureShare / this.#options.usualFailedShare(nowMs);
    return Math.min(suspicion, Math.max(0, Math.log(ratio)));
  }

  /** True where at least two hosts recently could not reach the server and no later attempt succeeded. */
  #isDown(nowMs: number): boolean {
    const sinceMs = Math.max(this.#lastSuccessStartMs, nowMs - downWindowMs);
    let hosts = 0;
    for (const [hostId, atMs] of this.#unreachableAtMs) {
      if (atMs <= sinceMs) {
        this.#unreachableAtMs.delete(hostId);
        continue;
      }
      hosts += 1;
    }
    return hosts > 1;
  }

  /**
   * Silence counts against the network path of the host, which then avoids the server, and against the server
   * as far as no attempt that started later succeeded. Of the path only successes of the same host tell.
   */
  #recordSilence(
    {hostId, startedAtMs}: RunningAttempt,
    suspicion: number,
    isUnreachable: boolean,
    nowMs: number,
  ): void {
    const isPathSuspect =
      suspicion >= avoidanceSuspicion && !this.#silence.hasSuccessSince(startedAtMs, hostId);
    if (isUnreachable || isPathSuspect) {
      this.#avoidedUntilMs.set(hostId, nowMs + hostAvoidanceMs);
    }
    if (suspicion >= successVoidingSuspicion && this.#lastSuccessStartMs < startedAtMs) {
      this.#lastSuccessStartMs = Number.NEGATIVE_INFINITY;
    }
    this.#silence.recordSilence({startedAtMs, logOdds: suspicion}, nowMs);
    this.#silence.prune(this.#earliestRunningMs(), nowMs);
  }

  #earliestRunningMs(): number {
    let earliestMs = Number.POSITIVE_INFINITY;
    for (const {startedAtMs} of this.#running.values()) {
      earliestMs = Math.min(earliestMs, startedAtMs);
    }
    return earliestMs;
  }

  /** True where the host recently could not reach the server or found it silent. */
  isAvoidedBy(hostId: string, nowMs: number): boolean {
    return (this.#avoidedUntilMs.get(hostId) ?? 0) > nowMs;
  }

  /** Estimated probability that an attempt that starts now fails, 0 to 1; at most 10 ms old. */
  risk(nowMs: number, shareAbove: ShareAbove): number {
    if (nowMs - this.#riskAtMs >= riskValidityMs) {
      const logOdds = this.logOdds(nowMs, shareAbove) - this.#options.correction(nowMs);
      this.#risk = 1 / (1 + Math.exp(-logOdds));
      this.#riskAtMs = nowMs;
    }
    return this.#risk;
  }

  /** Estimated log-odds that an attempt that starts now fails, before the correction. */
  logOdds(nowMs: number, shareAbove: ShareAbove): number {
    const sinceSuccessMs = nowMs - this.#lastSuccessStartMs;
    const prior =
      recentSuccessRisk +
      (unknownRisk - recentSuccessRisk) * (1 - Math.exp(-sinceSuccessMs / successDecayMs));
    const errorSuspicion = this.#errorSuspicion * this.#decayFactor(nowMs);
    const silenceSuspicion = this.#silence.suspicion(this.#runningByAge(nowMs, shareAbove), nowMs);
    return logit(prior) + errorSuspicion + silenceSuspicion;
  }

  /** The running attempts, the earliest first, with what their age says of the server. */
  #runningByAge(nowMs: number, shareAbove: ShareAbove): SilentAttempt[] {
    const running: SilentAttempt[] = [];
    for (const attempt of this.#running.values()) {
      const {startedAtMs} = attempt;
      const logOdds = runningLogOdds(this.#longerShare(attempt, shareAbove, nowMs));
      running.push({startedAtMs, logOdds});
    }
    return running.sort((one, other) => one.startedAtMs - other.startedAtMs);
  }

  /** Share of the attempts on servers that work which take longer than an attempt has run until now. */
  #longerShare(
    {routeId, startedAtMs}: RunningAttempt,
    shareAbove: ShareAbove,
    nowMs: number,
  ): number {
    const longerShare = shareAbove(routeId, Math.max(0, nowMs - startedAtMs));
    return Math.max(longerShare, this.#options.usualSilentShare(nowMs));
  }

  #recordSuccess({hostId, startedAtMs}: RunningAttempt, nowMs: number): void {
    this.#lastSuccessStartMs = Math.max(this.#lastSuccessStartMs, startedAtMs);
    this.#decay(nowMs);
    this.#errorSuspicion *= suspicionLeftBySuccess;
    this.#silence.recordSuccess({hostId, startedAtMs}, nowMs);
    this.#silence.prune(this.#earliestRunningMs(), nowMs);
  }

  #decay(nowMs: number): void {
    this.#errorSuspicion *= this.#decayFactor(nowMs);
    this.#suspicionAtMs = nowMs;
  }

  #decayFactor(nowMs: number): number {
    return 0.5 ** ((nowMs - this.#suspicionAtMs) / suspicionHalfLifeMs);
  }

  #startsSince(sinceMs: number): number {
    let count = 0;
    for (let index = this.#startsMs.length - 1; index >= 0; index -= 1) {
      if ((this.#startsMs[index] ?? 0) <= sinceMs) {
        break;
      }
      count += 1;
    }
    return count;
  }
}
