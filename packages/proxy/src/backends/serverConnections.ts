import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {Client} from 'undici';
import type {buildConnector} from 'undici';
import {ConnectTimeoutError} from '../errors/hostErrors.ts';
import type {TimerService} from '../timer/timerService.ts';

export interface ServerConnectionsOptions {
  readonly origin: string;
  /** Longest wait for a new connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, in ms. */
  readonly idleMs: number;
  /** Idle connections kept. */
  readonly maxIdle: number;
  readonly timers: TimerService;
  /** Begins to open a connection. Default: TCP without delay of small packets. */
  readonly dial: (host: string, port: number) => Socket;
}

export const DEFAULT_SERVER_CONNECTIONS_OPTIONS = {
  dial: (host: string, port: number): Socket =>
    connect({host, port, noDelay: true, keepAlive: true}),
} as const;

type RequiredServerConnectionsOptions = Omit<
  ServerConnectionsOptions,
  keyof typeof DEFAULT_SERVER_CONNECTIONS_OPTIONS
>;

const defaultPort = 80;

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

  constructor(options: Partial<ServerConnectionsOptions> & RequiredServerConnectionsOptions) {
    this.#options = {...DEFAULT_SERVER_CONNECTIONS_OPTIONS, ...options};
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
    const {origin, idleMs} = this.#options;
    const client = new Client(origin, {
      pipelining: 1,
      connect: (target, callback) => {
        this.#open(target, callback, () => {
          connection.wasReset = true;
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

  /** Opens a connection in time; the client library's own timer for that may fire most of a second late. */
  #open(
    {hostname, port}: buildConnector.Options,
    callback: buildConnector.Callback,
    onReset: () => void,
  ): void {
    const {dial, timers, connectTimeoutMs} = this.#options;
    const socket = dial(hostname, port === '' ? defaultPort : Number(port));
    let isOpen = false;
    const timeout = timers.at(timers.nowMs() + connectTimeoutMs, () => {
      // A host that was slow may find the timer and the open connection in the same turn of its loop.
      setImmediate(() => {
        if (!isOpen) {
          socket.destroy(new ConnectTimeoutError(`no connection within ${connectTimeoutMs} ms`));
        }
      });
    });
    socket.once('connect', () => {
      timeout.cancel();
      isOpen = true;
      callback(null, socket);
    });
    socket.on('error', (failure: NodeJS.ErrnoException) => {
      timeout.cancel();
      if (!isOpen) {
        callback(failure, null);
      } else if (failure.syscall !== undefined) {
        // The client library ends connections by errors of its own; those of the system name a call.
        onReset();
      }
    });
  }

  #forget(connection: ServerConnection): void {
    this.#all.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) {
      this.#idle.splice(index, 1);
    }
  }
}
