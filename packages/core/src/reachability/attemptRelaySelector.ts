import type {LiveHost} from '../messages/hostMessages.ts';
import type {RandomSource} from '../random/randomSource.ts';

/** Time for which a host that could not relay an attempt is not chosen, in ms. */
const avoidanceMs = 3_000;

/**
 * Selects the host that relays the attempts of this one. A host that works is kept, so that its connections are
 * used again; after a failure another one is drawn at random, from all data centres, as the hosts of a whole data
 * centre may be cut off together.
 */
export class AttemptRelaySelector {
  readonly #random: RandomSource;
  readonly #avoidedUntilMs = new Map<string, number>();
  #liveIds: readonly string[] = [];
  #currentId: string | undefined;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Sets the hosts to choose from; `selfId` is left out. */
  setLiveHosts(live: readonly LiveHost[], selfId: string): void {
    this.#liveIds = live.map(({hostId}) => hostId).filter((hostId) => hostId !== selfId);
  }

  /** Avoids a host for a while, as it could not relay an attempt. */
  markFailed(hostId: string, nowMs: number): void {
    this.#avoidedUntilMs.set(hostId, nowMs + avoidanceMs);
  }

  /** The host to use now; undefined where no host is left. */
  select(nowMs: number): string | undefined {
    const usableIds = this.#liveIds.filter(
      (hostId) => (this.#avoidedUntilMs.get(hostId) ?? nowMs) <= nowMs,
    );
    if (this.#currentId === undefined || !usableIds.includes(this.#currentId)) {
      this.#currentId =
        usableIds.length === 0 ? undefined : usableIds[this.#random.nextInt(usableIds.length)];
    }
    return this.#currentId;
  }
}
