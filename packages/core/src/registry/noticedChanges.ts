import {isAfter} from './registryPosition.ts';
import type {RegistryPosition} from './registryPosition.ts';

/** What a host announced that it has. */
interface Notice {
  readonly position: RegistryPosition;
  readonly noticedAtMs: number;
  /** When the host may be queried for it, on the own clock, in ms; the earliest goes first. */
  queryFromMs: number;
}

/**
 * Longest wait for a reply before a host is queried again, or another one as well, in ms: some hundred round trips, as a
 * large document takes time to send and every query for it costs as much again.
 */
export const fetchTimeoutMs = 300;

/**
 * Changes of the registry that other hosts announced and this host does not have yet.
 *
 * Several hosts announce the same change; one of them is queried for it at a time, the next one where the reply does
 * not come.
 */
export class NoticedChanges {
  readonly #notices = new Map<string, Notice>();
  #fetchingFromId: string | undefined;
  #fetchUntilMs = 0;

  /** Records that a host has the registry up to a position; it is queried after a delay, in ms. */
  record(hostId: string, position: RegistryPosition, nowMs: number, delayMs: number): void {
    this.#notices.set(hostId, {position, noticedAtMs: nowMs, queryFromMs: nowMs + delayMs});
  }

  /** Records the reply of a host to a query that was sent at `queriedAtMs`. */
  recordReply(hostId: string, queriedAtMs: number): void {
    const notice = this.#notices.get(hostId);
    if (notice !== undefined && notice.noticedAtMs <= queriedAtMs) {
      this.#notices.delete(hostId);
    } else if (notice !== undefined) {
      notice.queryFromMs = queriedAtMs;
    }
    if (hostId === this.#fetchingFromId) {
      this.#fetchUntilMs = 0;
    }
  }

  /** Forgets what a host had announced before a query to which it does not reply. */
  recordSilence(hostId: string, queriedAtMs: number): void {
    const notice = this.#notices.get(hostId);
    if (notice !== undefined && notice.noticedAtMs <= queriedAtMs) {
      this.#notices.delete(hostId);
    }
  }

  /** The host to query now; undefined while a query is under way, or if no host announced more than is held. */
  next(held: RegistryPosition, nowMs: number): string | undefined {
    for (const [hostId, {position}] of this.#notices) {
      if (!isAfter(position, held)) {
        this.#notices.delete(hostId);
      }
    }
    if (nowMs < this.#fetchUntilMs) {
      return undefined;
    }
    const [hostId, notice] =
      [...this.#notices].sort(([, one], [, other]) => one.queryFromMs - other.queryFromMs)[0] ?? [];
    if (hostId === undefined || notice === undefined || notice.queryFromMs > nowMs) {
      return undefined;
    }
    // The others come first the next time.
    notice.queryFromMs = nowMs + fetchTimeoutMs;
    this.#fetchingFromId = hostId;
    this.#fetchUntilMs = nowMs + fetchTimeoutMs;
    return hostId;
  }
}
