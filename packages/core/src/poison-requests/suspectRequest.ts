import type {RequestIdentity} from './requestIdentity.ts';

/** An attempt under which a server crashed or fell silent, by this host's clock. */
export interface SuspectAttempt {
  readonly serverId: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** Time for which a silent attempt may turn out to be a crash, in ms: longer than the lease of a server's entry. */
const silenceRetentionMs = 10_000;
/** Time after its start in which a silent attempt is taken to have crashed its server, in ms. */
const silentCrashMs = 250;

/** A check whether the server that crashed last is down, by connections that are opened. */
export interface CrashCheck {
  readonly serverId: string;
  readonly startedAtMs: number;
  isServerDown: boolean;
  /** True once another server was reached, so that the fault does not lie with the paths of this host. */
  isOtherServerReached: boolean;
}

/** Number of attempts of which each started after the one before had ended. */
function countSuccessive(attempts: readonly SuspectAttempt[]): number {
  const ordered = attempts.toSorted((one, other) => one.endedAtMs - other.endedAtMs);
  let count = 0;
  let lastEndMs = Number.NEGATIVE_INFINITY;
  for (const {startedAtMs, endedAtMs} of ordered) {
    if (startedAtMs >= lastEndMs) {
      count += 1;
      lastEndMs = endedAtMs;
    }
  }
  return count;
}

/**
 * A request that may have crashed servers, with the attempts that speak for it.
 *
 * Load pattern: a data centre fails while it runs many copies of a frequent request. Attempts that ran at the
 * same time count as one crash, because one event may have ended all of them.
 */
export class SuspectRequest {
  readonly identity: RequestIdentity;
  /** Hosts that have the evidence. */
  homeIds: readonly string[] = [];
  /** Silent servers to which a connection was tried, to see whether they crashed. */
  readonly dialedServerIds = new Set<string>();
  /** The check that runs; undefined for none. */
  check: CrashCheck | undefined;
  readonly #crashes = new Map<string, SuspectAttempt>();
  readonly #silences = new Map<string, SuspectAttempt>();

  constructor(identity: RequestIdentity) {
    this.identity = identity;
  }

  /** Attempts under which servers crashed, one for each server. */
  get crashes(): readonly SuspectAttempt[] {
    return [...this.#crashes.values()];
  }

  /** Server of the newest crash. */
  get lastCrashedServerId(): string | undefined {
    return this.crashes.toSorted((one, other) => other.endedAtMs - one.endedAtMs)[0]?.serverId;
  }

  /** Servers that were silent to the request and are not known to have crashed. */
  get silentServerIds(): readonly string[] {
    return [...this.#silences.keys()];
  }

  /** Start of the first attempt, in ms. */
  get suspectedSinceMs(): number {
    const attempts = [...this.#crashes.values(), ...this.#silences.values()];
    return Math.min(...attempts.map(({startedAtMs}) => startedAtMs));
  }

  /** Number of different servers that crashed one after the other. */
  get crashCount(): number {
    return countSuccessive(this.crashes);
  }

  /** Number of different servers that crashed or fell silent one after the other. */
  get possibleCrashCount(): number {
    return countSuccessive([...this.#crashes.values(), ...this.#silences.values()]);
  }

  /** Adds an attempt under which a server crashed, and drops those that ended before a moment. */
  addCrash(crash: SuspectAttempt, keptFromMs: number): void {
    this.#silences.delete(crash.serverId);
    this.#crashes.set(crash.serverId, crash);
    for (const {serverId, endedAtMs} of this.#crashes.values()) {
      if (endedAtMs < keptFromMs) {
        this.#crashes.delete(serverId);
      }
    }
  }

  /** Adds an attempt that got no response, whose server may have crashed without closing its connections. */
  addSilence({serverId, startedAtMs, endedAtMs}: SuspectAttempt, nowMs: number): void {
    for (const silence of this.#silences.values()) {
      if (nowMs - silence.startedAtMs >= silenceRetentionMs) {
        this.#silences.delete(silence.serverId);
      }
    }
    if (this.#crashes.has(serverId) || this.#silences.has(serverId)) {
      return;
    }
    const crashedByMs = Math.min(endedAtMs, startedAtMs + silentCrashMs);
    this.#silences.set(serverId, {serverId, startedAtMs, endedAtMs: crashedByMs});
  }

  /** Drops the attempt on a server that has not crashed. */
  removeCrash(serverId: string): void {
    this.#crashes.delete(serverId);
  }

  /** Counts the silence of a server as its crash; returns false where it was not silent to the request. */
  confirmCrash(serverId: string, keptFromMs: number): boolean {
    const silence = this.#silences.get(serverId);
    if (silence === undefined) {
      return false;
    }
    this.addCrash(silence, keptFromMs);
    return true;
  }
}
