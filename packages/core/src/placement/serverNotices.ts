import type {NoticeReport, ServerNotice} from '../messages/serverNotice.ts';

/** A notice and the time at which it was received. */
interface ReceivedNotice {
  readonly notice: ServerNotice;
  readonly atMs: number;
}

/**
 * Age up to which notices are reported, in ms: a server that accepts few requests seldom repeats its notice, and one
 * without requests never takes it back.
 */
const maxReportAgeMs = 30_000;

/** True where a server states nothing that restricts its use. */
function isUnrestricted({limitPerSecond}: ServerNotice): boolean {
  return limitPerSecond === undefined;
}

/** What each backend server stated about itself in its newest response to this host. */
export class ServerNotices {
  readonly #receivedById = new Map<string, ReceivedNotice>();

  /** Records the notice of a response; returns true where it differs from the notice before. */
  record(serverId: string, notice: ServerNotice, nowMs: number): boolean {
    const previous = this.#receivedById.get(serverId)?.notice;
    if (isUnrestricted(notice)) {
      return this.#receivedById.delete(serverId);
    }
    this.#receivedById.set(serverId, {notice, atMs: nowMs});
    return previous?.limitPerSecond !== notice.limitPerSecond;
  }

  /** The notices of the given servers, for the home of their backend. */
  reports(serverIds: ReadonlySet<string>, nowMs: number): NoticeReport[] {
    const reports: NoticeReport[] = [];
    for (const [serverId, {notice, atMs}] of this.#receivedById) {
      const ageMs = nowMs - atMs;
      if (serverIds.has(serverId) && ageMs <= maxReportAgeMs) {
        reports.push({serverId, notice, ageMs});
      }
    }
    return reports;
  }

  /** Drops the notices of servers that are not listed any more. */
  retainServers(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.#receivedById.keys()) {
      if (!serverIds.has(serverId)) {
        this.#receivedById.delete(serverId);
      }
    }
  }
}
