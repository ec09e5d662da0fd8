/** Weight of the newest duration in the average of a server; about the last 20 durations count. */
const newestWeight = 0.05;
/** Time after which a server without attempts is forgotten, in ms. */
const retentionMs = 600_000;
/** Interval at which forgotten servers are removed, in ms. */
const removalIntervalMs = 60_000;

interface Pace {
  /** Average of the logarithms of the durations, each relative to the median of its route. */
  meanLog: number;
  atMs: number;
}

/**
 * Tracks how fast each server is in comparison to all servers of its backend. The average is geometric, so that
 * a few very long durations hardly change it.
 */
export class ServerPaces {
  readonly #paces = new Map<string, Pace>();
  #nextRemovalAtMs = 0;

  /** Records a duration on a server relative to the median of its route. */
  record(serverId: string, ratio: number, nowMs: number): void {
    const pace = this.#paces.get(serverId) ?? {meanLog: 0, atMs: nowMs};
    pace.meanLog += (Math.log(Math.max(ratio, Number.EPSILON)) - pace.meanLog) * newestWeight;
    pace.atMs = nowMs;
    this.#paces.set(serverId, pace);
    this.#removeUnused(nowMs);
  }

  /** Typical duration on a server relative to the median of a route; 1 for an unknown server. */
  ratio(serverId: string): number {
    return Math.exp(this.#paces.get(serverId)?.meanLog ?? 0);
  }

  #removeUnused(nowMs: number): void {
    if (nowMs < this.#nextRemovalAtMs) {
      return;
    }
    this.#nextRemovalAtMs = nowMs + removalIntervalMs;
    for (const [serverId, {atMs}] of this.#paces) {
      if (nowMs - atMs > retentionMs) {
        this.#paces.delete(serverId);
      }
    }
  }
}
