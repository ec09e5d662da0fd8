/** Time for which the ways of a host stay in doubt after it met silence that others did not, in ms: cuts last some ten seconds. */
const doubtMs = 8_000;
/** Answers to other hosts, begun after the silent attempt, that clear the server of blame. */
const answersToClear = 2;
/** Time for which a silent attempt waits for such answers, in ms. */
const memoryMs = 3_000;
/** Answers remembered for each server: enough to find those of other hosts. */
const keptAnswers = 4;

interface Seen {
  readonly hostId: string;
  readonly startedAtMs: number;
}

interface DoubtedHost {
  untilMs: number;
  /** Servers that answered the host since its ways came into doubt. */
  readonly answeringIds: Set<string>;
}

/**
 * Hosts whose ways to servers are in doubt: a server was silent to them and answered others.
 *
 * Load pattern: packets between some hosts and some servers are lost, one way or both, while everybody
 * hears everybody else. Servers look well to the rest of the fleet, and each work that such a host sends
 * over a connection that stood before is lost; a new connection shows at once whether the way is open.
 */
export class PathDoubts {
  readonly #doubted = new Map<string, DoubtedHost>();
  readonly #answers = new Map<string, Seen[]>();
  readonly #silences = new Map<string, Seen[]>();

  /** Takes an answer of a server to work that a host began at a moment. */
  noteAnswer(serverId: string, seen: Seen, nowMs: number): void {
    this.#doubted.get(seen.hostId)?.answeringIds.add(serverId);
    const answers = this.#answers.get(serverId) ?? [];
    answers.push(seen);
    this.#answers.set(serverId, answers.slice(-keptAnswers));
    this.#judge(serverId, nowMs);
  }

  /** Takes that a server was silent to work that a host began at a moment, or could not be reached. */
  noteSilence(serverId: string, seen: Seen, nowMs: number): void {
    this.#doubted.get(seen.hostId)?.answeringIds.delete(serverId);
    const silences = this.#silences.get(serverId) ?? [];
    silences.push(seen);
    this.#silences.set(serverId, silences);
    this.#judge(serverId, nowMs);
  }

  /** Forgets what was seen of servers that are gone. */
  keepOnly(serverIds: ReadonlySet<string>): void {
    for (const seen of [this.#answers, this.#silences]) {
      for (const serverId of seen.keys()) {
        if (!serverIds.has(serverId)) {
          seen.delete(serverId);
        }
      }
    }
  }

  /** True where work that a host sends to a server may be lost on the way. */
  isInDoubt(hostId: string, serverId: string, nowMs: number): boolean {
    const doubted = this.#doubted.get(hostId);
    return doubted !== undefined && doubted.untilMs > nowMs && !doubted.answeringIds.has(serverId);
  }

  /** Blames the way of each host to which alone the server was silent. */
  #judge(serverId: string, nowMs: number): void {
    const silences = (this.#silences.get(serverId) ?? []).filter(
      ({startedAtMs}) => nowMs - startedAtMs < memoryMs,
    );
    const rest: Seen[] = [];
    for (const silence of silences) {
      if (this.#isCleared(serverId, silence)) {
        this.#doubt(silence.hostId, nowMs);
      } else {
        rest.push(silence);
      }
    }
    if (rest.length === 0) {
      this.#silences.delete(serverId);
    } else {
      this.#silences.set(serverId, rest);
    }
  }

  #isCleared(serverId: string, {hostId, startedAtMs}: Seen): boolean {
    let count = 0;
    for (const answer of this.#answers.get(serverId) ?? []) {
      count += answer.hostId !== hostId && answer.startedAtMs >= startedAtMs ? 1 : 0;
    }
    return count >= answersToClear;
  }

  #doubt(hostId: string, nowMs: number): void {
    for (const [otherId, {untilMs}] of this.#doubted) {
      if (untilMs <= nowMs) {
        this.#doubted.delete(otherId);
      }
    }
    const doubted = this.#doubted.get(hostId) ?? {untilMs: 0, answeringIds: new Set()};
    doubted.untilMs = nowMs + doubtMs;
    this.#doubted.set(hostId, doubted);
  }
}
