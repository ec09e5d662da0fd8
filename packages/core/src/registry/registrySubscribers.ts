import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';

/** Time after its last query for which a host is notified, in ms: longer than between two queries to a standby. */
const queryMemoryMs = 3_000;

/** Hosts that queried this host for registry data lately, and are notified of what happens to it. */
export class RegistrySubscribers {
  /** When each host last sent a query, on the own clock, in ms. */
  readonly #queriedAtMsByHost = new Map<string, number>();

  recordQuery(hostId: string, nowMs: number): void {
    this.#queriedAtMsByHost.set(hostId, nowMs);
  }

  /** Sends a message to every host that queried lately, and to some others. */
  notify(
    message: PeerMessage,
    nowMs: number,
    otherHostIds: readonly string[] = [],
  ): readonly CoreMessage[] {
    for (const [hostId, queriedAtMs] of this.#queriedAtMsByHost) {
      if (nowMs - queriedAtMs > queryMemoryMs) {
        this.#queriedAtMsByHost.delete(hostId);
      }
    }
    const hostIds = new Set([...this.#queriedAtMsByHost.keys(), ...otherHostIds]);
    return [...hostIds].map((toHostId) => ({type: 'sendToPeer', toHostId, message}));
  }
}
