/** A query that was sent to another host. */
export interface PendingQuery {
  readonly hostId: string;
  /** When it was sent, on the own clock, in ms. */
  readonly queriedAtMs: number;
}

/** Queries for registry data that were sent to other hosts and have no reply yet. */
export class PendingQueries {
  readonly #queries = new Map<number, PendingQuery>();
  #nextNonce: number;

  constructor(firstNonce: number) {
    this.#nextNonce = firstNonce;
  }

  /** Records a query to a host; returns the nonce by which its reply is recognised. */
  start(hostId: string, nowMs: number): number {
    const nonce = this.#nextNonce;
    this.#nextNonce += 1;
    this.#queries.set(nonce, {hostId, queriedAtMs: nowMs});
    return nonce;
  }

  isPending(hostId: string): boolean {
    return [...this.#queries.values()].some((query) => query.hostId === hostId);
  }

  /** Ends the query that a reply answers; returns when it was sent, in ms, or undefined if none awaits this reply. */
  end(nonce: number): number | undefined {
    const query = this.#queries.get(nonce);
    this.#queries.delete(nonce);
    return query?.queriedAtMs;
  }

  /** Ends the queries that were sent at or before a moment, and returns them. */
  endUnanswered(sentUntilMs: number): PendingQuery[] {
    const unanswered: PendingQuery[] = [];
    for (const [nonce, query] of this.#queries) {
      if (query.queriedAtMs <= sentUntilMs) {
        this.#queries.delete(nonce);
        unanswered.push(query);
      }
    }
    return unanswered;
  }
}
