import type {DiscoveredServer} from '@godwitspring/document';
import type {NoticeReport, ServerNotice} from '../messages/serverNotice.ts';

/** What one server stated about itself in its responses to this host. */
interface ServerStatements {
  /** Unix time of the start of the process that stated it, in ms; undefined where the registry does not tell. */
  readonly startedAtUnixMs: number | undefined;
  limitPerSecond: number | undefined;
  /** When the server last named its limit, in ms. */
  limitAtMs: number;
  /** When the server first said that it leaves, in ms; undefined where it did not. */
  leavingSinceMs: number | undefined;
  /** End of the time for which the server wants no requests from this host, in ms. */
  pausedUntilMs: number;
}

/**
 * Age up to which limits are reported, in ms: a server that accepts few requests seldom repeats its limit, and one
 * without requests never takes it back.
 */
const maxReportAgeMs = 30_000;

/** What the backend servers stated about themselves in responses, to this host or by the reports of other hosts. */
export class ServerNotices {
  readonly #statementsById = new Map<string, ServerStatements>();
  readonly #startedAtUnixMsById = new Map<string, number | undefined>();
  /** When a listed server was first seen to have started again under its id, in ms. */
  readonly #restartedAtMsById = new Map<string, number>();

  /** Records the notice of a response; returns true where it states something new. */
  record(
    serverId: string,
    {limitPerSecond, isLeaving = false, retryAfterMs}: ServerNotice,
    nowMs: number,
  ): boolean {
    const isUnrestricted = limitPerSecond === undefined && !isLeaving && retryAfterMs === undefined;
    if (isUnrestricted && !this.#statementsById.has(serverId)) {
      return false;
    }
    const statements = this.#statementsOf(serverId);
    const isNewLimit = statements.limitPerSecond !== limitPerSecond;
    statements.limitPerSecond = limitPerSecond;
    statements.limitAtMs = nowMs;
    const isNewlyLeaving = isLeaving && statements.leavingSinceMs === undefined;
    if (isNewlyLeaving) {
      statements.leavingSinceMs = nowMs;
    }
    if (retryAfterMs !== undefined) {
      statements.pausedUntilMs = Math.max(statements.pausedUntilMs, nowMs + retryAfterMs);
    }
    return isNewLimit || isNewlyLeaving || retryAfterMs !== undefined;
  }

  /** True where this host may send requests to a server now. */
  mayUse(serverId: string, nowMs: number): boolean {
    return this.usableAtMs(serverId, nowMs) <= nowMs;
  }

  /** True where the process that the registry lists under this id said that it leaves. */
  isLeaving(serverId: string): boolean {
    return this.#statementsById.get(serverId)?.leavingSinceMs !== undefined;
  }

  /** When a server was seen to have started again under its id, in ms; negative infinity where it was not. */
  restartedAtMs(serverId: string): number {
    return this.#restartedAtMsById.get(serverId) ?? Number.NEGATIVE_INFINITY;
  }

  /** Moment from which this host may send requests to a server, in ms; infinity for one that leaves. */
  usableAtMs(serverId: string, nowMs: number): number {
    return this.isLeaving(serverId)
      ? Number.POSITIVE_INFINITY
      : Math.max(nowMs, this.#statementsById.get(serverId)?.pausedUntilMs ?? nowMs);
  }

  /** Limits and departures that the given servers stated, for the home of their backend. */
  reports(serverIds: ReadonlySet<string>, nowMs: number): NoticeReport[] {
    const reports: NoticeReport[] = [];
    for (const [serverId, statements] of this.#statementsById) {
      if (!serverIds.has(serverId)) {
        continue;
      }
      const {limitPerSecond, limitAtMs, leavingSinceMs} = statements;
      if (leavingSinceMs !== undefined) {
        reports.push({serverId, notice: {isLeaving: true}, ageMs: nowMs - leavingSinceMs});
      } else if (limitPerSecond !== undefined && nowMs - limitAtMs <= maxReportAgeMs) {
        reports.push({serverId, notice: {limitPerSecond}, ageMs: nowMs - limitAtMs});
      }
    }
    return reports;
  }

  /** Drops the statements of servers that are not listed any more or were started again under the same id. */
  setServers(servers: readonly DiscoveredServer[], nowMs: number): void {
    const earlierStarts = new Map(this.#startedAtUnixMsById);
    this.#startedAtUnixMsById.clear();
    for (const {id, startedAtUnixMs} of servers) {
      if (earlierStarts.has(id) && earlierStarts.get(id) !== startedAtUnixMs) {
        this.#restartedAtMsById.set(id, nowMs);
      }
      this.#startedAtUnixMsById.set(id, startedAtUnixMs);
    }
    for (const serverId of this.#restartedAtMsById.keys()) {
      if (!this.#startedAtUnixMsById.has(serverId)) {
        this.#restartedAtMsById.delete(serverId);
      }
    }
    for (const [serverId, {startedAtUnixMs}] of this.#statementsById) {
      const isListed = this.#startedAtUnixMsById.has(serverId);
      if (!isListed || this.#startedAtUnixMsById.get(serverId) !== startedAtUnixMs) {
        this.#statementsById.delete(serverId);
      }
    }
  }

  #statementsOf(serverId: string): ServerStatements {
    let statements = this.#statementsById.get(serverId);
    if (statements === undefined) {
      statements = {
        startedAtUnixMs: this.#startedAtUnixMsById.get(serverId),
        limitPerSecond: undefined,
        limitAtMs: Number.NEGATIVE_INFINITY,
        leavingSinceMs: undefined,
        pausedUntilMs: Number.NEGATIVE_INFINITY,
      };
      this.#statementsById.set(serverId, statements);
    }
    return statements;
  }
}
