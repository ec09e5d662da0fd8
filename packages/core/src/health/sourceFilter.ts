interface SourceRecord {
  requests: number;
  failures: number;
  readonly failedServerIds: Set<string>;
}

const minRequests = 5;
const maxRequests = 64;
const minFailedServers = 3;
const badSourceRate = 0.5;
const maxSources = 4_096;

/**
 * Tells failures that follow the caller or the route from those that follow the server.
 *
 * A source (route and customer) that fails half of the time on several servers says nothing about any
 * one of them.
 */
export class SourceFilter {
  readonly #sources = new Map<string, SourceRecord>();

  /** Notes an outcome; false where a failure should not count against the server. */
  note(source: string, serverId: string, isFailure: boolean): boolean {
    const record = this.#recordOf(source);
    record.requests += 1;
    if (isFailure) {
      record.failures += 1;
      record.failedServerIds.add(serverId);
    }
    const isBadSource =
      record.requests >= minRequests &&
      record.failures / record.requests >= badSourceRate &&
      record.failedServerIds.size >= minFailedServers;
    this.#fade(record);
    return !(isFailure && isBadSource);
  }

  #recordOf(source: string): SourceRecord {
    const known = this.#sources.get(source);
    if (known !== undefined) {
      return known;
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

  #fade(record: SourceRecord): void {
    if (record.requests < maxRequests) {
      return;
    }
    record.requests /= 2;
    record.failures /= 2;
    if (record.failures < 1) {
      record.failedServerIds.clear();
    }
  }
}
