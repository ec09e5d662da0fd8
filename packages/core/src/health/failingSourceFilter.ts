/** Recent requests of one source, with old ones decayed. */
interface SourceRecord {
  requests: number;
  failures: number;
  /** Servers at which requests of the source failed. */
  readonly failedServerIds: Set<string>;
}

/** Number of requests before a source can count as failing. */
const minRequests = 5;
/** Number of requests at which the counts of a source are halved, so that old requests lose weight. */
const decayAfterRequests = 64;
/** Number of servers at which a failing source must have failed. */
const minFailedServers = 3;
/** Failure rate from which a source counts as failing, 0 to 1. */
const failingSourceRate = 0.5;
/** Sources tracked at once; the first one added is dropped first. */
const maxSources = 4_096;

/**
 * Separates failures caused by the caller or the route from those caused by a server.
 *
 * A source is one customer on one route. If at least half of its requests fail, and on several servers,
 * its failures are no evidence against any one of them.
 */
export class FailingSourceFilter {
  readonly #sources = new Map<string, SourceRecord>();

  /** Records an outcome; returns false if it is a failure that must not count against the server. */
  record(source: string, serverId: string, isFailure: boolean): boolean {
    const record = this.#recordOf(source);
    record.requests += 1;
    if (isFailure) {
      record.failures += 1;
      record.failedServerIds.add(serverId);
    }
    const isFailingSource =
      record.requests >= minRequests &&
      record.failures / record.requests >= failingSourceRate &&
      record.failedServerIds.size >= minFailedServers;
    this.#decay(record);
    return !(isFailure && isFailingSource);
  }

  #recordOf(source: string): SourceRecord {
    const existing = this.#sources.get(source);
    if (existing !== undefined) {
      return existing;
    }
    for (const oldest of this.#sources.keys()) {
      if (this.#sources.size < maxSources) {
        break;
      }
      this.#sources.delete(oldest);
    }
    const record: SourceRecord = {requests: 0, failures: 0, failedServerIds: new Set()};
    this.#sources.set(source, record);
    return record;
  }

  #decay(record: SourceRecord): void {
    if (record.requests < decayAfterRequests) {
      return;
    }
    record.requests /= 2;
    record.failures /= 2;
    if (record.failures < 1) {
      record.failedServerIds.clear();
    }
  }
}
