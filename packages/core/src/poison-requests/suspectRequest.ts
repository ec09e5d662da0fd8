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

/** Time after which a check of the last crash that had no result is repeated, in ms. */
const crashCheckMs = 1_000;

/** A check whether the server that crashed last is down, by connections that are opened. */
interface CrashCheck {
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
  readonly #crashes = new Map<string, SuspectAttempt>();
  readonly #silences = new Map<string, SuspectAttempt>();
  /** Silent servers to which a connection was tried, to see whether they crashed. */
  readonly #dialedServerIds = new Set<string>();
  /** The check that runs; undefined for none. */
  #check: CrashCheck | undefined;

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

  /** True where the request is suspected to have crashed a server. */
  isSuspectServer(serverId: string): boolean {
    return this.#crashes.has(serverId) || this.#silences.has(serverId);
  }

  /** Servers that were silent to the request since this was asked last, to be dialed once. */
  takeUndialedSilentServers(): readonly string[] {
    const serverIds = [...this.#silences.keys()].filter((id) => !this.#dialedServerIds.has(id));
    for (const serverId of serverIds) {
      this.#dialedServerIds.add(serverId);
    }
    return serverIds;
  }

  /** Starts to check whether the server that crashed last is down; returns false while an earlier check runs. */
  startCheck(hasOtherServer: boolean, nowMs: number): boolean {
    const serverId = this.lastCrashedServerId;
    const isRunning = this.#check !== undefined && nowMs - this.#check.startedAtMs < crashCheckMs;
    if (serverId === undefined || isRunning) {
      return false;
    }
    this.#check = {
      serverId,
      startedAtMs: nowMs,
      isServerDown: false,
      isOtherServerReached: !hasOtherServer,
    };
    return true;
  }

  /**
   * Applies the result of a connection to a server; returns true where that completes the check, as the server is
   * down while another one can be reached.
   */
  recordDial(serverId: string, isConnected: boolean): boolean {
    const check = this.#check;
    if (check === undefined) {
      return false;
    }
    if (check.serverId !== serverId) {
      check.isOtherServerReached ||= isConnected;
    } else if (isConnected) {
      this.#crashes.delete(serverId);
      this.#check = undefined;
      return false;
    } else {
      check.isServerDown = true;
    }
    const isComplete = check.isServerDown && check.isOtherServerReached;
    this.#check = isComplete ? undefined : check;
    return isComplete;
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
