import type {DiscoveredServer} from '@godwitspring/document';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import type {RandomSource} from '../random/randomSource.ts';

/** Time for which a host that chooses servers locally avoids one on which an attempt failed, in ms. */
const avoidanceMs = 4_000;
/** Attempts that one host runs concurrently on a server while it chooses locally. */
const maxAttemptsPerServer = 1;

/**
 * Selects servers without a home, as the local fallback for when no home replies.
 *
 * Load pattern: a host is cut off from its peers but not from callers and servers. It cannot know what other
 * hosts send, so it uses one slot of a server at a time, chosen at random among the servers that did not fail
 * it recently.
 */
export class LocalServerSelector {
  readonly #random: RandomSource;
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Records how an attempt of this host ended, so that a failing server is avoided for a while. */
  recordOutcome(serverId: string, outcome: AttemptOutcome, nowMs: number): void {
    if (outcome === 'ok') {
      this.#avoidedUntilMs.delete(serverId);
      return;
    }
    if (outcome !== 'cancelled') {
      this.#avoidedUntilMs.set(serverId, nowMs + avoidanceMs);
    }
  }

  /** Chooses a warm server on which this host runs nothing; undefined where there is none. */
  select(
    servers: readonly DiscoveredServer[],
    runningByServer: ReadonlyMap<string, number>,
    avoidedIds: readonly string[],
    nowMs: number,
  ): DiscoveredServer | undefined {
    const usable = servers.filter(
      ({id, coldForMs}) =>
        (runningByServer.get(id) ?? 0) < maxAttemptsPerServer &&
        !avoidedIds.includes(id) &&
        coldForMs === 0 &&
        (this.#avoidedUntilMs.get(id) ?? 0) <= nowMs,
    );
    return usable.length === 0 ? undefined : usable[this.#random.nextInt(usable.length)];
  }
}
