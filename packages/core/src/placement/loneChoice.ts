import type {DiscoveredServer} from '@godwitspring/document';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import type {RandomSource} from '../time/randomSource.ts';

/** Time for which a host that chooses alone does not use a server that failed it, in ms. */
const avoidanceMs = 4_000;
/** Attempts that one host runs at once on a server while it chooses alone. */
const lonePerServer = 1;

/**
 * Chooses servers for a host that no home answers.
 *
 * Load pattern: a host that is cut off from its peers but not from callers and servers. It cannot know
 * what others send, so it takes one slot of a server at a time, at random, among those that did not fail it.
 */
export class LoneChoice {
  readonly #random: RandomSource;
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  noteEnd(serverId: string, outcome: WorkOutcome, nowMs: number): void {
    if (outcome === 'ok') {
      this.#avoidedUntilMs.delete(serverId);
      return;
    }
    if (outcome !== 'cancelled') {
      this.#avoidedUntilMs.set(serverId, nowMs + avoidanceMs);
    }
  }

  choose(
    servers: readonly DiscoveredServer[],
    runningByServer: ReadonlyMap<string, number>,
    avoidedIds: readonly string[],
    nowMs: number,
  ): DiscoveredServer | undefined {
    const usable = servers.filter(
      ({id, coldForMs}) =>
        (runningByServer.get(id) ?? 0) < lonePerServer &&
        !avoidedIds.includes(id) &&
        coldForMs === 0 &&
        (this.#avoidedUntilMs.get(id) ?? 0) <= nowMs,
    );
    return usable.length === 0 ? undefined : usable[this.#random.below(usable.length)];
  }
}
