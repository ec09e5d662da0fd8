import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {pipeline} from 'node:stream/promises';
import type {HostEffect, HostEvent} from '@godwitspring/core';
import {ResponseMemoryBudget} from '@godwitspring/core';
import type {Dispatcher} from 'undici';
import {bufferResponse} from '../backends/bufferResponse.ts';
import {bodyFramingOf} from '../backends/bodyFramingOf.ts';
import {limitInterimResponses, maxInterimResponses} from '../backends/limitInterimResponses.ts';
import {RepeatedResponseDetector} from '../backends/repeatedResponseDetector.ts';
import {
  ServerConnectionPool,
  holdBackConnection,
  recordAttempt,
  unlimitedBodyBytes,
} from '../backends/serverConnectionPool.ts';
import {endToEndHeaders} from '../callers/headers.ts';
import {InterimResponsesError, RepeatedResponseError} from '../errors/hostErrors.ts';
import type {HttpDialect} from '../dialect/httpDialect.ts';
import type {HostIntake} from '../intake/hostIntake.ts';
import {drainServer} from '../task/drainServer.ts';
import {listenOn} from '../task/listenOn.ts';
import type {TimerService} from '../timer/timerService.ts';
import {relayNotSentHeader, relayServerHeader, undeclaredEndHeader} from './relayHeaders.ts';

/** Effect of the core that lists the servers to which attempts are relayed. */
export type RelayTargets = Extract<HostEffect, {type: 'relayTargets'}>;

/** Settings and collaborators of the relay task. */
export interface AttemptRelayTaskOptions {
  readonly listenHost: string;
  readonly listenPort: number;
  /** Longest wait for a new connection to a server, in ms. */
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection to a server is closed, in ms. */
  readonly idleMs: number;
  /** Most idle connections kept open to one server. Default: 4. */
  readonly idlePerServer: number;
  /** Responses up to this size are read completely before they are passed on, in bytes. Default: 65,536. */
  readonly bufferedResponseBytes: number;
  /** Interpretation of what servers state in their responses. */
  readonly dialect: Pick<HttpDialect, 'serverNotice' | 'requestNameHeader'>;
  /** Memory for the responses that are read before any of them is passed on. Default: one for this task alone. */
  readonly responseMemory: ResponseMemoryBudget;
  readonly timers: TimerService;
  /** Bounds on what the host holds for other hosts. */
  readonly intake: HostIntake;
  readonly postToCore: (event: HostEvent) => void;
  readonly count: (name: string, tags?: Record<string, string>) => void;
}

export const DEFAULT_ATTEMPT_RELAY_TASK_OPTIONS = {
  idlePerServer: 4,
  bufferedResponseBytes: 65_536,
} as const;

type RequiredAttemptRelayTaskOptions = Omit<
  AttemptRelayTaskOptions,
  keyof typeof DEFAULT_ATTEMPT_RELAY_TASK_OPTIONS | 'responseMemory'
>;

/** Time after which an idle connection of another host is closed, in ms: later than that host closes it. */
const keepAliveTimeoutMs = 60_000;
/** Largest head of an attempt, in bytes: that of a caller and the headers that a host adds. */
const maxHeadBytes = 131_072;

/**
 * Owns the port at which attempts of hosts that are cut off from the backend servers arrive, and forwards them. It
 * decides nothing: the host that received the request has placed it and interprets the response.
 */
export class AttemptRelayTask {
  readonly #options: AttemptRelayTaskOptions;
  readonly #originByServerId = new Map<string, string>();
  readonly #poolByOrigin = new Map<string, ServerConnectionPool>();
  #server: Server | undefined;
  #isDraining = false;

  constructor(options: Partial<AttemptRelayTaskOptions> & RequiredAttemptRelayTaskOptions) {
    this.#options = {
      ...DEFAULT_ATTEMPT_RELAY_TASK_OPTIONS,
      responseMemory: new ResponseMemoryBudget(),
      ...options,
    };
  }

  /** Opens the port; fails where the address is in use. */
  async start(): Promise<void> {
    const {listenHost, listenPort} = this.#options;
    const server = createServer(
      {
        maxHeaderSize: maxHeadBytes,
        keepAliveTimeout: keepAliveTimeoutMs,
        requestTimeout: 0,
      },
      (incoming, outgoing) => {
        void this.#onAttempt(incoming, outgoing);
      },
    );
    this.#server = server;
    this.#options.intake.attach(server, 'relay');
    await listenOn(server, {listenHost, listenPort});
  }

  /** Replaces the servers to which attempts are relayed. */
  setTargets({targets}: RelayTargets): void {
    this.#originByServerId.clear();
    const origins = new Set<string>();
    for (const {serverId, origin} of targets) {
      this.#originByServerId.set(serverId, origin);
      origins.add(origin);
    }
    for (const [origin, pool] of this.#poolByOrigin) {
      if (pool.isEmpty && !origins.has(origin)) {
        this.#poolByOrigin.delete(origin);
      }
    }
  }

  /** From now on, refuses attempts that arrive: those that run end before the host does, and other hosts relay too. */
  refuseAttempts(): void {
    this.#isDraining = true;
  }

  /** Accepts no more connections, and resolves once the attempts that run have ended and all connections are closed. */
  async drain(): Promise<void> {
    this.refuseAttempts();
    if (this.#server !== undefined) {
      await drainServer(this.#server);
    }
  }

  /** Closes all connections at once. */
  async stop(): Promise<void> {
    this.#server?.close();
    this.#server?.closeAllConnections();
    for (const pool of this.#poolByOrigin.values()) {
      await pool.destroy();
    }
  }

  async #onAttempt(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (this.#isDraining) {
      this.#refuse(incoming, outgoing, 'shutting-down');
      return;
    }
    const serverId = String(incoming.headers[relayServerHeader]);
    const origin = this.#originByServerId.get(serverId);
    if (origin === undefined) {
      this.#refuse(incoming, outgoing, 'unknown-server');
      return;
    }
    if (hasBody(incoming) && !this.#options.intake.tryHoldStream(outgoing)) {
      this.#refuse(incoming, outgoing, 'memory');
      return;
    }
    await this.#forward(incoming, outgoing, {serverId, origin});
  }

  async #forward(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    {serverId, origin}: RelayTargets['targets'][number],
  ): Promise<void> {
    const {bufferedResponseBytes, responseMemory, dialect, postToCore, count} = this.#options;
    const pool = this.#poolOf(origin);
    const connection = pool.acquire();
    const {requestNameHeader} = dialect;
    recordAttempt(connection, String(incoming.headers[requestNameHeader]));
    const controller = new AbortController();
    outgoing.once('close', () => {
      if (!outgoing.writableFinished) {
        controller.abort();
      }
    });
    try {
      const response = await connection.client.request({
        method: incoming.method as 'GET',
        path: incoming.url ?? '/',
        headers: endToEndHeaders(incoming.headers, [relayServerHeader]),
        body: hasBody(incoming) ? incoming : null,
        signal: controller.signal,
        // The host that placed the attempt enforces its timeout.
        headersTimeout: 0,
        highWaterMark: unlimitedBodyBytes,
        onInfo: limitInterimResponses(() => {
          controller.abort(new InterimResponsesError(`more than ${maxInterimResponses} of them`));
        }),
      });
      holdBackConnection(connection, response.body);
      const notice = dialect.serverNotice(response.statusCode, response.headers);
      postToCore({type: 'serverNoticed', serverId, notice});
      const framing = bodyFramingOf({method: incoming.method ?? 'GET', ...response});
      const buffered = await bufferResponse(response.body, {
        framing,
        maxBytes: bufferedResponseBytes,
        wasReset: () => connection.wasReset,
        onRead: () => connection.socket?.resumeReads(),
        memory: responseMemory.open(),
        repeats: new RepeatedResponseDetector({
          requestNameHeader,
          attemptNames: connection.attemptNames,
        }),
      });
      outgoing.shouldKeepAlive &&= !this.#isDraining;
      const headers = endToEndHeaders(response.headers, [undeclaredEndHeader]);
      if (framing === 'close') {
        headers[undeclaredEndHeader] = '1';
      }
      outgoing.writeHead(response.statusCode, headers);
      await pipeline(buffered.body, outgoing);
      if (isAnonymousFailure(response, requestNameHeader)) {
        pool.discard(connection);
      } else {
        pool.release(connection);
      }
      count('relay.forwarded');
    } catch (error) {
      pool.discard(connection);
      if (error instanceof RepeatedResponseError) {
        pool.reportStrayBytes();
      }
      if (!connection.hasConnected && !outgoing.headersSent) {
        this.#refuse(incoming, outgoing, 'unreachable');
        return;
      }
      count('relay.broken', {reason: error instanceof Error ? error.name : 'unknown'});
      outgoing.destroy();
    }
  }

  /** Tells the other host that no byte of its attempt was sent. */
  #refuse(incoming: IncomingMessage, outgoing: ServerResponse, reason: string): void {
    this.#options.count('relay.refused', {reason});
    if (outgoing.destroyed) {
      return;
    }
    // The rest of the body is not read, so the connection cannot carry another attempt.
    outgoing.shouldKeepAlive &&= !this.#isDraining && (incoming.complete || !hasBody(incoming));
    outgoing.writeHead(502, {[relayNotSentHeader]: reason, 'content-length': '0'});
    outgoing.end();
  }

  #poolOf(origin: string): ServerConnectionPool {
    let pool = this.#poolByOrigin.get(origin);
    if (pool === undefined) {
      const {connectTimeoutMs, idleMs, idlePerServer, timers} = this.#options;
      pool = new ServerConnectionPool({
        origin,
        connectTimeoutMs,
        idleMs,
        maxIdle: idlePerServer,
        timers,
      });
      this.#poolByOrigin.set(origin, pool);
    }
    return pool;
  }
}

/**
 * True for a response, possibly a refusal, that does not name its attempt: a second copy of it would look like the
 * response to the next attempt on the connection.
 */
function isAnonymousFailure(
  {statusCode, headers}: Dispatcher.ResponseData,
  requestNameHeader: string,
): boolean {
  return statusCode >= 400 && headers[requestNameHeader] === undefined;
}

/** True where the request has a body, by its head. */
function hasBody({headers}: IncomingMessage): boolean {
  const length = headers['content-length'];
  return (length !== undefined && length !== '0') || headers['transfer-encoding'] !== undefined;
}
