/** What a connection has sent since its last complete message. */
interface Incomplete {
  bytes: number;
  /** When the connection was opened, or its last message was complete, in ms. */
  sinceMs: number;
  /** When its last byte arrived, in ms. */
  receivedAtMs: number;
}

/**
 * Counts the bytes of messages that have begun and are not complete, by connection. Addresses connections that send the
 * start of large messages and stop, at an address where messages may be as large as a whole document.
 */
export class IncompleteMessages<Connection> {
  readonly #byConnection = new Map<Connection, Incomplete>();
  #totalBytes = 0;

  /** Bytes of incomplete messages over all connections. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  open(connection: Connection, nowMs: number): void {
    this.#byConnection.set(connection, {bytes: 0, sinceMs: nowMs, receivedAtMs: nowMs});
  }

  /** Adds received bytes; those of a connection that was closed no longer count. */
  add(connection: Connection, bytes: number, nowMs: number): void {
    const incomplete = this.#byConnection.get(connection);
    if (incomplete !== undefined) {
      incomplete.bytes += bytes;
      incomplete.receivedAtMs = nowMs;
      this.#totalBytes += bytes;
    }
  }

  complete(connection: Connection, nowMs: number): void {
    if (this.#byConnection.has(connection)) {
      this.close(connection);
      this.open(connection, nowMs);
    }
  }

  close(connection: Connection): void {
    this.#totalBytes -= this.#byConnection.get(connection)?.bytes ?? 0;
    this.#byConnection.delete(connection);
  }

  /** True where a connection has sent nothing for a time. */
  isStalled(connection: Connection, stallMs: number, nowMs: number): boolean {
    const receivedAtMs = this.#byConnection.get(connection)?.receivedAtMs ?? nowMs;
    return nowMs - receivedAtMs > stallMs;
  }

  /** The connection with an incomplete message that has gone longest without a complete one. */
  longestIncomplete(): Connection | undefined {
    let longest: Connection | undefined;
    let earliestMs = Number.POSITIVE_INFINITY;
    for (const [connection, {bytes, sinceMs}] of this.#byConnection) {
      if (bytes > 0 && sinceMs < earliestMs) {
        longest = connection;
        earliestMs = sinceMs;
      }
    }
    return longest;
  }
}
