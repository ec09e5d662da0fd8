/** Time constant with which observations lose their weight, in ms: servers turn slow for some seconds. */
const decayMs = 10_000;
/** Weight of the assumption that a server is as fast as the others, in attempts. */
const priorWeight = 2;
/**
 * Weight of the earlier attempts of a server at most, in attempts: a server that turns five times slower is
 * noticed after about four attempts. A smaller weight lets chance decide between equal servers.
 */
const maxServerWeight = 6;
/**
 * Deviation from the estimate that one attempt counts at most, as a natural logarithm: an attempt of the long
 * tail takes seven times as long on a fast server as well.
 */
const maxDeviation = 1;
/** Weight of the earlier attempts of all servers at one load at most, in attempts. */
const maxLoadWeight = 200;
/** Attempts with which the slow-down at one load counts half. */
const loadPriorWeight = 20;
/** Steps into which the load of a server is divided. */
const loadSteps = 6;
/** Time for which the factor of a server is used again without a new attempt, in ms: a hundredth of the decay. */
const factorValidityMs = 100;

/** An attempt that succeeded. */
export interface TimedAttempt {
  readonly ranForMs: number;
  /** Median duration of the attempts on its route, in ms. */
  readonly typicalMs: number;
  /** Attempts that ran on the server when it started, without it. */
  readonly runningAtStart: number;
  /** Attempts that the server runs at the same time. */
  readonly slots: number;
}

/** Step of a load; servers with different numbers of slots compare by the share that is taken. */
function loadStepOf(running: number, slots: number): number {
  return Math.min(loadSteps - 1, Math.floor((running / Math.max(1, slots)) * loadSteps));
}

/** Mean of bounded deviations whose weight is limited, so that it follows changes. */
class BoundedMean {
  readonly #maxWeight: number;
  value = 0;
  weight = 0;
  #atMs = 0;

  constructor(maxWeight: number) {
    this.#maxWeight = maxWeight;
  }

  record(sample: number, nowMs: number): void {
    this.weight = Math.min(this.#maxWeight, this.weightAt(nowMs)) + 1;
    const deviation = Math.max(-maxDeviation, Math.min(maxDeviation, sample - this.value));
    this.value += deviation / this.weight;
    this.#atMs = nowMs;
  }

  /** Weight of the attempts so far, in attempts. */
  weightAt(nowMs: number): number {
    return this.weight * Math.exp((this.#atMs - nowMs) / decayMs);
  }
}

/** Relative speed of one server, apart from its load. */
class ServerSpeed {
  readonly #mean = new BoundedMean(maxServerWeight);
  #factor = 1;
  #factorAtMs = Number.NEGATIVE_INFINITY;

  record(logRatio: number, nowMs: number): void {
    this.#mean.record(logRatio, nowMs);
    this.#factorAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Logarithm of the factor; few or old attempts count little. */
  logFactor(nowMs: number): number {
    const weight = this.#mean.weightAt(nowMs);
    return (this.#mean.value * weight) / (weight + priorWeight);
  }

  factor(nowMs: number): number {
    if (nowMs - this.#factorAtMs >= factorValidityMs) {
      this.#factor = Math.exp(this.logFactor(nowMs));
      this.#factorAtMs = nowMs;
    }
    return this.#factor;
  }
}

/**
 * Expects how long attempts take on each server of a backend, as a multiple of the typical duration on their
 * route: by the speed of the server, and by the share of its slots that are taken when the attempt starts.
 *
 * Load pattern: servers of one backend differ in speed, slow down when nearly full, and turn several times
 * slower for seconds, while a few percent of the requests take many times as long on any server. Durations are
 * compared as logarithms, and one attempt moves an estimate by a limited amount. The slow-down by load is
 * learned from all servers together, as a single one gets too few attempts at each load.
 */
export class ServerSpeeds {
  readonly #speeds = new Map<string, ServerSpeed>();
  readonly #loads = Array.from({length: loadSteps}, () => new BoundedMean(maxLoadWeight));
  /** Slow-down by step of the load, as logarithms and as factors. */
  readonly #loadLogs = this.#loads.map(() => 0);
  readonly #loadFactors = this.#loads.map(() => 1);

  /** Drops the servers that no longer exist. */
  retainServers(ids: ReadonlySet<string>): void {
    for (const serverId of this.#speeds.keys()) {
      if (!ids.has(serverId)) {
        this.#speeds.delete(serverId);
      }
    }
  }

  /** Records an attempt that succeeded. */
  record(
    serverId: string,
    {ranForMs, typicalMs, runningAtStart, slots}: TimedAttempt,
    nowMs: number,
  ): void {
    let speed = this.#speeds.get(serverId);
    if (speed === undefined) {
      speed = new ServerSpeed();
      this.#speeds.set(serverId, speed);
    }
    const logRatio = Math.log(Math.max(1, ranForMs) / Math.max(1, typicalMs));
    const step = loadStepOf(runningAtStart, slots);
    const serverLog = speed.logFactor(nowMs);
    speed.record(logRatio - (this.#loadLogs[step] ?? 0), nowMs);
    this.#loads[step]?.record(logRatio - serverLog, nowMs);
    this.#updateLoads(nowMs);
  }

  /**
   * Expected duration of an attempt that starts now on a server with the given number of running attempts, as
   * a multiple of the typical one; undefined where no attempt on the server has succeeded yet.
   */
  factor(serverId: string, running: number, slots: number, nowMs: number): number | undefined {
    const speed = this.#speeds.get(serverId);
    return speed === undefined
      ? undefined
      : speed.factor(nowMs) * (this.#loadFactors[loadStepOf(running, slots)] ?? 1);
  }

  /** A load with few attempts counts as the next lower one. */
  #updateLoads(nowMs: number): void {
    let lower = 0;
    for (const [step, load] of this.#loads.entries()) {
      const weight = load.weightAt(nowMs);
      lower = (load.value * weight + lower * loadPriorWeight) / (weight + loadPriorWeight);
      this.#loadLogs[step] = lower;
      this.#loadFactors[step] = Math.exp(lower);
    }
  }
}
