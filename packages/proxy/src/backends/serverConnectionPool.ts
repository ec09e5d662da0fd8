import type {Readable} from 'node:stream';
import {Client} from 'undici';
import type {buildConnector} from 'undici';
import {ConnectTimeoutError} from '../errors/hostErrors.ts';
import type {TimerService} from '../timer/timerService.ts';
import {ServerSocket} from './serverSocket.ts';

/** Starts to open a socket to an IP number and port. */
export type Dial = (host: string, port: number) => ServerSocket;

/** Settings of the connection pool of one backend server. */
export interface ServerConnectionPoolOptions {
  /** Origin of the server, such as `http://10.0.0.1:8080`. */
  readonly origin: string;
  /** Longest wait for a new connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, in ms. */
  readonly idleMs: number;
  /** Time for which a released connection is not used again, in ms. Default: 0. */
  readonly restMs: number;
  /**
   * Time for which no connection is reused after the server sent bytes that no request asked for, in ms.
   * Default: 5,000.
   */
  readonly strayBytesAvoidanceMs: number;
  /** Called where the server sent bytes on a connection on which no request ran. Default: nothing. */
  readonly onStrayBytes: () => void;
  /** Called where a connection was opened or could not be opened. Default: nothing. */
  readonly onDialed: (isConnected: boolean) => void;
  /** Most idle connections that are kept open. */
  readonly maxIdle: number;
  readonly timers: TimerService;
  /** Starts to open a socket. Default: `dialTcp`. */
  readonly dial: Dial;
}

/** Starts to open a TCP connection with Nagle's algorithm off and keep-alive on. */
export function dialTcp(host: string, port: number): ServerSocket {
  const socket = new ServerSocket();
  socket.setNoDelay(true);
  socket.setKeepAlive(true);
  return socket.connect({host, port});
}

export const DEFAULT_SERVER_CONNECTION_POOL_OPTIONS = {
  restMs: 0,
  strayBytesAvoidanceMs: 5_000,
  onStrayBytes: (): void => undefined,
  onDialed: (): void => undefined,
  dial: dialTcp,
} as const;

type RequiredServerConnectionPoolOptions = Omit<
  ServerConnectionPoolOptions,
  keyof typeof DEFAULT_SERVER_CONNECTION_POOL_OPTIONS
>;

/** True for the error by which the HTTP parser refused bytes. */
function isParseError(error: NodeJS.ErrnoException): boolean {
  return error.code?.startsWith('HPE_') === true;
}

/** Port of an origin that names none. */
const defaultPort = 80;

/** A connection to a backend server, used for one request at a time. */
export interface ServerConnection {
  readonly client: Client;
  /** The socket; undefined before it is opened by the first request. */
  socket: ServerSocket | undefined;
  /** True once the connection was established; before, no byte of a request was sent. */
  hasConnected: boolean;
  /**
   * True once the open connection failed, such as by a reset by the server; a close-delimited response that
   * ended that way is incomplete.
   */
  wasReset: boolean;
  /** True while a request runs on it. */
  isBusy: boolean;
  /** Names of the newest attempts that ran on it, oldest first. */
  readonly attemptNames: string[];
}

/** Size of the unread part of a response body from which its connection is not read, in bytes. */
const unreadBodyBytes = 65_536;
/** Size that no body reaches, in bytes: the client is not to pause its parser, as the socket is held back instead. */
export const unlimitedBodyBytes = 2 ** 40;

/** Reads from a connection only while little of a response body waits for its reader. */
export function holdBackConnection({socket}: ServerConnection, body: Readable): void {
  socket?.holdBackWhile(() => body.readableLength >= unreadBodyBytes);
}

/** Attempts of a connection whose names are kept: more than a server answers before it sends a late copy. */
const keptAttemptNames = 16;

/** Notes on a connection that an attempt runs on it. */
export function recordAttempt({attemptNames}: ServerConnection, name: string): void {
  attemptNames.push(name);
  attemptNames.splice(0, attemptNames.length - keptAttemptNames);
}

/**
 * Pool of HTTP connections to one origin. The connection that was released last is used next, so that surplus
 * connections become idle and close.
 */
export class ServerConnectionPool {
  readonly #options: ServerConnectionPoolOptions;
  readonly #idle: ServerConnection[] = [];
  readonly #all = new Set<ServerConnection>();
  /** Connections that are being opened by `dial`. */
  #dials = 0;
  #noReuseUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: Partial<ServerConnectionPoolOptions> & RequiredServerConnectionPoolOptions) {
    this.#options = {...DEFAULT_SERVER_CONNECTION_POOL_OPTIONS, ...options};
  }

  /** True where a connection is open and unused. */
  get hasIdle(): boolean {
    return this.#idle.length > 0;
  }

  /** True where the pool holds no connection, neither idle nor busy. */
  get isEmpty(): boolean {
    return this.#all.size === 0 && this.#dials === 0;
  }

  /** Returns an idle connection, or a new one, which is opened by its first request; always a new one where `isNew`. */
  acquire({isNew = false}: {isNew?: boolean} = {}): ServerConnection {
    const connection = (isNew ? undefined : this.#idle.pop()) ?? this.#create();
    connection.isBusy = true;
    connection.socket?.startResponse();
    return connection;
  }

  /** Opens a connection and closes it again, to find out whether that works. */
  dial(): void {
    const {hostname, port} = new URL(this.#options.origin);
    this.#dials += 1;
    this.#open(
      {hostname, port},
      (_failure, socket) => {
        this.#dials -= 1;
        socket?.destroy();
      },
      () => undefined,
    );
  }

  /** Returns a connection to the pool after a complete response. */
  release(connection: ServerConnection): void {
    connection.isBusy = false;
    const {maxIdle, restMs, timers} = this.#options;
    const isReusable = timers.nowMs() >= this.#noReuseUntilMs;
    if (!isReusable || !this.#isOpen(connection) || this.#idle.length >= maxIdle) {
      this.discard(connection);
      return;
    }
    if (restMs === 0) {
      this.#idle.push(connection);
      return;
    }
    timers.at(timers.nowMs() + restMs, () => {
      if (this.#isOpen(connection) && this.#idle.length < maxIdle) {
        this.#idle.push(connection);
        return;
      }
      this.discard(connection);
    });
  }

  #isOpen(connection: ServerConnection): boolean {
    const {closed, destroyed} = connection.client;
    return !closed && !destroyed && this.#all.has(connection);
  }

  /** Closes a connection at once and aborts the request that runs on it. */
  discard(connection: ServerConnection): void {
    this.#remove(connection);
    void connection.client.destroy();
  }

  /** Closes all connections at once. */
  async destroy(): Promise<void> {
    for (const connection of [...this.#all]) {
      this.#remove(connection);
      await connection.client.destroy();
    }
  }

  #create(): ServerConnection {
    const {origin, idleMs} = this.#options;
    const client = new Client(origin, {
      pipelining: 1,
      connect: (target, callback) => {
        connection.socket = this.#open(target, callback, () => {
          connection.wasReset = true;
        });
      },
      keepAliveTimeout: idleMs,
      keepAliveMaxTimeout: idleMs,
      bodyTimeout: 0,
    });
    const connection: ServerConnection = {
      client,
      socket: undefined,
      hasConnected: false,
      wasReset: false,
      isBusy: false,
      attemptNames: [],
    };
    client.on('connect', () => {
      connection.hasConnected = true;
    });
    client.on('disconnect', (_origin, _targets, error: NodeJS.ErrnoException) => {
      this.#remove(connection);
      if (!connection.isBusy && connection.hasConnected && isParseError(error)) {
        this.reportStrayBytes();
      }
      if (!connection.isBusy) {
        void client.destroy();
      }
    });
    this.#all.add(connection);
    return connection;
  }

  /**
   * Notes that the server sent bytes that no request asked for. Closes the idle connections and reuses none for a while,
   * as it may have sent such bytes on each of them.
   */
  reportStrayBytes(): void {
    const {timers, strayBytesAvoidanceMs, onStrayBytes} = this.#options;
    this.#noReuseUntilMs = timers.nowMs() + strayBytesAvoidanceMs;
    for (const connection of [...this.#idle]) {
      this.discard(connection);
    }
    onStrayBytes();
  }

  /** Opens a socket within the timeout; the client library's own connect timer may fire most of a second late. */
  #open(
    {hostname, port}: Pick<buildConnector.Options, 'hostname' | 'port'>,
    callback: buildConnector.Callback,
    onReset: () => void,
  ): ServerSocket {
    const {dial, timers, connectTimeoutMs, onDialed} = this.#options;
    const socket = dial(hostname, port === '' ? defaultPort : Number(port));
    let isOpen = false;
    const timeout = timers.at(timers.nowMs() + connectTimeoutMs, () => {
      // After a stall of the event loop, the timer and the `connect` event may be due in the same turn:
      // the connection then counts as open.
      setImmediate(() => {
        if (!isOpen) {
          socket.destroy(new ConnectTimeoutError(`no connection within ${connectTimeoutMs} ms`));
        }
      });
    });
    socket.once('connect', () => {
      timeout.cancel();
      isOpen = true;
      onDialed(true);
      callback(null, socket);
    });
    socket.on('end', () => {
      // A reset that is read together with the last bytes is reported as an end, but the socket has no peer any more.
      if (socket.remoteAddress === undefined) {
        onReset();
      }
    });
    socket.on('error', (failure: NodeJS.ErrnoException) => {
      timeout.cancel();
      if (!isOpen) {
        onDialed(false);
        callback(failure, null);
      } else if (failure.syscall !== undefined) {
        // The client library destroys sockets with errors of its own; only system errors have `syscall` set.
        onReset();
      }
    });
    return socket;
  }

  #remove(connection: ServerConnection): void {
    this.#all.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) {
      this.#idle.splice(index, 1);
    }
  }
}
