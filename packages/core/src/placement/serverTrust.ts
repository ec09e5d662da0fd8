import type {WorkOutcome} from '../messages/workOutcome.ts';

/** One attempt that runs on a server. */
export interface RunningAttempt {
  readonly hostId: string;
  readonly routeId: string;
  readonly startedAtMs: number;
}

/** Share of the answers on a route that take longer than an age. */
export type ShareAbove = (routeId: string, ageMs: number) => number;

/**
 * Servers fall silent for seconds while their probes pass; of those not heard of for long a quarter is
 * taken to be so, and a server that just answered is wrong once in 300 times.
 */
const unknownRisk = 0.25;
const provenRisk = 0.003;
/** Time over which a proof loses its worth, in ms: servers change for the worse every 12 s or so. */
const proofLifeMs = 10_000;
/** Time in which doubt halves, in ms: a third of the usual length of a fault. */
const doubtHalfLifeMs = 2_000;
/** Most that the age of one running attempt adds, as a logarithm of odds. */
const maxAgeDoubt = 6;
/** Share of the doubt for wrong answers that is left after a good one: such servers fail now and then. */
const wrongnessLeftByProof = 0.3;
/** Doubt from which a former proof is void. */
const voidingDoubt = 2;
const maxDoubt = 6;
const maxShedDoubt = 1.5;
/** Doubt in a server that two hosts could not reach: it is down rather than cut off from one of them. */
const downDoubt = 4;
const downMemoryMs = 1_500;
/** Time for which a host does not use a server that it could not reach or that was silent to it, in ms. */
const pairAvoidanceMs = 9_000;
const rateWindowMs = 1_000;
const spreadWindowMs = 2_000;

/**
 * Doubt that each end of an attempt adds, as a logarithm of odds: how much likelier it is from a faulty
 * server than from a sound one. A sound server fails about one request in 80.
 */
const doubtByEnd: Readonly<Record<Exclude<WorkOutcome, 'timeout' | 'cancelled'>, number>> = {
  ok: 0,
  error: 3,
  lost: 3.5,
  unreachable: 1,
  shed: 0.7,
  misdirected: 20,
};

/** Ends that show a silent server or a broken path to it, rather than a server that answers wrongly. */
const silentEnds: ReadonlySet<WorkOutcome> = new Set([
  'timeout',
  'lost',
  'unreachable',
  'cancelled',
]);

function logit(probability: number): number {
  return Math.log(probability / (1 - probability));
}

/** What the home of a backend knows of one server, and how likely the next attempt there fails. */
export class ServerTrust {
  readonly running = new Map<string, RunningAttempt>();
  #provenAtMs = Number.NEGATIVE_INFINITY;
  /** Doubt that the server is silent, voided by any later answer, and doubt that it answers wrongly. */
  #silence = 0;
  #wrongness = 0;
  #doubtAtMs = 0;
  #silentSinceMs = Number.NEGATIVE_INFINITY;
  readonly #startsMs: number[] = [];
  readonly #avoidedUntilMs = new Map<string, number>();
  /** When each host last failed to reach the server, in ms. */
  readonly #unreachedAtMs = new Map<string, number>();

  /** Start of the newest attempt that ended well, in ms. */
  get provenAtMs(): number {
    return this.#provenAtMs;
  }

  /** Start of the newest attempt, in ms. */
  get lastStartMs(): number {
    return this.#startsMs.at(-1) ?? Number.NEGATIVE_INFINITY;
  }

  start(key: string, attempt: RunningAttempt): void {
    this.running.set(key, attempt);
    this.#startsMs.push(attempt.startedAtMs);
    while ((this.#startsMs[0] ?? Number.POSITIVE_INFINITY) < attempt.startedAtMs - spreadWindowMs) {
      this.#startsMs.shift();
    }
  }

  /** Takes back a start that never came about, so that it does not count against the server's rate. */
  forgetStart(startedAtMs: number): void {
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
    return this.#startsSince(nowMs - spreadWindowMs);
  }

  /** Takes the end of an attempt; `shareAbove` tells how unusual its length is. */
  end(attempt: RunningAttempt, outcome: WorkOutcome, nowMs: number, shareAbove: ShareAbove): void {
    if (outcome === 'ok') {
      this.#prove(attempt.startedAtMs, nowMs);
      return;
    }
    const ageMs = nowMs - attempt.startedAtMs;
    // An attempt that was cut before its usual time was over says little, whoever cut it.
    const isCut = outcome === 'cancelled' || outcome === 'timeout';
    let added = isCut ? this.#ageDoubt(attempt, ageMs, shareAbove) : doubtByEnd[outcome];
    if (outcome === 'unreachable') {
      this.#unreachedAtMs.set(attempt.hostId, nowMs);
      added = this.#isDown(nowMs) ? downDoubt : added;
    }
    if (silentEnds.has(outcome)) {
      this.#noteSilence(attempt, added, nowMs);
      return;
    }
    this.#decay(nowMs);
    // A shed request has not run and may go elsewhere: however often, it makes a server less than hopeless.
    const most = outcome === 'shed' ? Math.max(this.#wrongness, maxShedDoubt) : maxDoubt;
    this.#wrongness = Math.min(most, this.#wrongness + added);
  }

  /** True where two hosts could not reach the server lately and none was answered since. */
  #isDown(nowMs: number): boolean {
    const sinceMs = Math.max(this.#provenAtMs, nowMs - downMemoryMs);
    let hosts = 0;
    for (const [hostId, atMs] of this.#unreachedAtMs) {
      if (atMs <= sinceMs) {
        this.#unreachedAtMs.delete(hostId);
        continue;
      }
      hosts += 1;
    }
    return hosts > 1;
  }

  /** Silence speaks against the path of the host and, unless the server answered others since, the server. */
  #noteSilence({hostId, startedAtMs}: RunningAttempt, added: number, nowMs: number): void {
    if (added >= doubtByEnd.unreachable) {
      this.#avoidedUntilMs.set(hostId, nowMs + pairAvoidanceMs);
    }
    this.#decay(nowMs);
    this.#silence = Math.min(maxDoubt, this.#silence + added);
    this.#silentSinceMs = Math.max(this.#silentSinceMs, startedAtMs);
    if (added >= voidingDoubt) {
      this.#provenAtMs = Number.NEGATIVE_INFINITY;
    }
  }

  /** True where the host could not reach the server lately. */
  isAvoidedBy(hostId: string, nowMs: number): boolean {
    return (this.#avoidedUntilMs.get(hostId) ?? 0) > nowMs;
  }

  /** Likelihood that an attempt that starts now fails, 0 to 1. */
  risk(nowMs: number, shareAbove: ShareAbove): number {
    const sinceProofMs = nowMs - this.#provenAtMs;
    const prior =
      provenRisk + (unknownRisk - provenRisk) * (1 - Math.exp(-sinceProofMs / proofLifeMs));
    let odds = logit(prior) + (this.#silence + this.#wrongness) * this.#kept(nowMs);
    for (const attempt of this.running.values()) {
      odds += this.#ageDoubt(attempt, nowMs - attempt.startedAtMs, shareAbove);
    }
    return 1 / (1 + Math.exp(-odds));
  }

  #prove(startedAtMs: number, nowMs: number): void {
    this.#provenAtMs = Math.max(this.#provenAtMs, startedAtMs);
    this.#decay(nowMs);
    this.#wrongness *= wrongnessLeftByProof;
    if (startedAtMs >= this.#silentSinceMs) {
      this.#silence *= wrongnessLeftByProof;
    }
  }

  #decay(nowMs: number): void {
    const kept = this.#kept(nowMs);
    this.#silence *= kept;
    this.#wrongness *= kept;
    this.#doubtAtMs = nowMs;
  }

  #kept(nowMs: number): number {
    return 0.5 ** ((nowMs - this.#doubtAtMs) / doubtHalfLifeMs);
  }

  #ageDoubt({routeId}: RunningAttempt, ageMs: number, shareAbove: ShareAbove): number {
    return Math.min(maxAgeDoubt, -Math.log(shareAbove(routeId, Math.max(0, ageMs))));
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
