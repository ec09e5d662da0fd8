/** Longest wait of a new process for another host before it goes on alone, in ms. */
const firstContactTimeoutMs = 1_200;
/**
 * Time for which the roster must not have grown before a host gets registry data, and the longest wait for that,
 * in ms.
 */
interface SettlingTimes {
  readonly settledMs: number;
  readonly timeoutMs: number;
}

/** First start of the fleet: all hosts agree on the reader after some nine gossip rounds of the startup phase. */
const firstStartTimes: SettlingTimes = {settledMs: 900, timeoutMs: 4_000};
/** Later start of a process: callers wait, but many hosts may have restarted together. */
const restartTimes: SettlingTimes = {settledMs: 150, timeoutMs: 500};
/**
 * Time from its first contact for which a new process queries peers that have no registry data yet again,
 * before it reads the registry itself, in ms: the reader of a fleet that starts as a whole needs it to read
 * every page.
 */
const emptyPeersTimeoutMs = 1_500;

/**
 * Decides when a new process gets registry data.
 *
 * It waits until its roster, the gossip-based member list, has settled: before, it would take itself for the
 * registry reader, and itself or the wrong host for the home of a customer. On the first start of the fleet,
 * before callers connect, it waits longer than on a restart.
 */
export class StartGate {
  readonly #isFirstStart: boolean;
  #startedAtMs: number | undefined;
  /** When the roster first listed another host, in ms; undefined before. */
  #firstContactAtMs: number | undefined;
  #rosterGrewAtMs = 0;
  #liveCount = 1;

  constructor(isFirstStart: boolean) {
    this.#isFirstStart = isFirstStart;
  }

  /** Number of live hosts in the roster, this host included. */
  get liveCount(): number {
    return this.#liveCount;
  }

  /** Records the start of the process; later calls have no effect. */
  recordStart(nowMs: number): void {
    this.#startedAtMs ??= nowMs;
  }

  /** Records a change of the roster. */
  recordRoster(liveCount: number, nowMs: number): void {
    if (liveCount > 1) {
      this.#firstContactAtMs ??= nowMs;
    }
    if (liveCount > this.#liveCount) {
      this.#rosterGrewAtMs = nowMs;
    }
    this.#liveCount = liveCount;
  }

  /** True once the process may get registry data. */
  isOpen(nowMs: number): boolean {
    const sinceStartMs = nowMs - (this.#startedAtMs ?? nowMs);
    if (this.#firstContactAtMs === undefined) {
      return sinceStartMs >= firstContactTimeoutMs;
    }
    const {settledMs, timeoutMs} = this.#isFirstStart ? firstStartTimes : restartTimes;
    return nowMs - this.#rosterGrewAtMs >= settledMs || sinceStartMs >= timeoutMs;
  }

  /** True while peers without registry data are queried again rather than passed over. */
  awaitsEmptyPeers(nowMs: number): boolean {
    const sinceContactMs = nowMs - (this.#firstContactAtMs ?? nowMs);
    const settlingMs = this.#isFirstStart ? firstStartTimes.timeoutMs : 0;
    return sinceContactMs < settlingMs + emptyPeersTimeoutMs;
  }
}
