import {Client, buildConnector} from 'undici';

export interface ServerConnectionsOptions {
  readonly origin: string;
  /** Longest wait for a new connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, in ms. */
  readonly idleMs: number;
  /** Idle connections kept. */
  readonly maxIdle: number;
}

/** One connection to a backend server, used for one request at a time. */
export interface ServerConnection {
  readonly client: Client;
  /** True once the connection stood; nothing was sent before. */
  hasConnected: boolean;
  /** True once the server reset the connection; an answer without a length that ended so is not whole. */
  wasReset: boolean;
  /** True while a request runs on it. */
  isBusy: boolean;
}

/** Connections to one origin; the one used last is used next, so that the others may close. */
export class ServerConnections {
  readonly #options: ServerConnectionsOptions;
  readonly #idle: ServerConnection[] = [];
  readonly #all = new Set<ServerConnection>();

  constructor(options: ServerConnectionsOptions) {
    this.#options = options;
  }

  get hasIdle(): boolean {
    return this.#idle.length > 0;
  }

  get isEmpty(): boolean {
    return this.#all.size === 0;
  }

  /** An idle connection, or a new one that opens with its first request; always a new one where `isNew`. */
  acquire({isNew = false}: {isNew?: boolean} = {}): ServerConnection {
    const connection = (isNew ? undefined : this.#idle.pop()) ?? this.#create();
    connection.isBusy = true;
    return connection;
  }

  /** Takes a connection back after a whole answer. */
  release(connection: ServerConnection): void {
    connection.isBusy = false;
    const isClosed = connection.client.closed || connection.client.destroyed;
    if (isClosed || !this.#all.has(connection) || this.#idle.length >= this.#options.maxIdle) {
      this.discard(connection);
      return;
    }
    this.#idle.push(connection);
  }

  /** Closes a connection at once, with whatever runs on it. */
  discard(connection: ServerConnection): void {
    this.#forget(connection);
    void connection.client.destroy();
  }

  async destroy(): Promise<void> {
    for (const connection of [...this.#all]) {
      this.#forget(connection);
      await connection.client.destroy();
    }
  }

  #create(): ServerConnection {
    const {origin, connectTimeoutMs, idleMs} = this.#options;
    const connector = buildConnector({timeout: connectTimeoutMs});
    const client = new Client(origin, {
      pipelining: 1,
      connect: (options, callback) => {
        connector(options, (...[error, socket]) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          socket.on('error', (failure: NodeJS.ErrnoException) => {
            // The client library ends connections by errors of its own; those of the system name a call.
            connection.wasReset ||= failure.syscall !== undefined;
          });
          callback(null, socket);
        });
      },
      keepAliveTimeout: idleMs,
      keepAliveMaxTimeout: idleMs,
      bodyTimeout: 0,
    });
    const connection: ServerConnection = {
      client,
      hasConnected: false,
      wasReset: false,
      isBusy: false,
    };
    client.on('connect', () => {
      connection.hasConnected = true;
    });
    client.on('disconnect', () => {
      this.#forget(connection);
      if (!connection.isBusy) {
        void client.destroy();
      }
    });
    this.#all.add(connection);
    return connection;
  }

  #forget(connection: ServerConnection): void {
    this.#all.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) {
      this.#idle.splice(index, 1);
    }
  }
}
