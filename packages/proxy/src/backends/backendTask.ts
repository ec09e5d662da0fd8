import type {
  AttemptFailure,
  BodyFraming,
  FailureReason,
  HostEvent,
  SendProbe,
} from '@godwitspring/core';
import {ResponseMemoryBudget} from '@godwitspring/core';
import {errors} from 'undici';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {PendingResponse} from '../callers/exchange.ts';
import {endToEndHeaders} from '../callers/headers.ts';
import type {HttpDialect, ResponseClassification} from '../dialect/httpDialect.ts';
import {
  BodyLimitError,
  EndlessBodyError,
  InterimResponsesError,
  RepeatedResponseError,
  ResponseMemoryError,
  SlowCallerError,
  UndeclaredBodyError,
} from '../errors/hostErrors.ts';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';
import type {BackendCommand, RunAttempt} from './backendMessages.ts';
import {
  relayNotSentHeader,
  relayServerHeader,
  undeclaredEndHeader,
} from '../attempt-relay/relayHeaders.ts';
import {bufferResponse} from './bufferResponse.ts';
import type {BufferedResponse} from './bufferResponse.ts';
import type {SoundChunksOptions} from './soundChunks.ts';
import {bodyFramingOf} from './bodyFramingOf.ts';
import {errorCode, failureReasonOf} from './failureReasonOf.ts';
import {discardBody} from './discardBody.ts';
import {readUndeclaredBody} from './readUndeclaredBody.ts';
import {limitInterimResponses, maxInterimResponses} from './limitInterimResponses.ts';
import {RepeatedResponseDetector} from './repeatedResponseDetector.ts';
import {
  ServerConnectionPool,
  dialTcp,
  holdBackConnection,
  recordAttempt,
  unlimitedBodyBytes,
} from './serverConnectionPool.ts';
import type {Dial, ServerConnection} from './serverConnectionPool.ts';

/** Settings and collaborators of the backend task. */
export interface BackendTaskOptions {
  readonly timers: TimerService;
  /** Interpretation of the servers' responses. */
  readonly dialect: HttpDialect;
  /** Most idle connections kept open to one server. Default: 4. */
  readonly idlePerServer: number;
  /** Longest wait for a new connection, in ms. Default: 1,000. */
  readonly connectTimeoutMs: number;
  /**
   * Time after which an idle connection is closed, in ms. Default: 4,000, below the 5 s after which servers
   * typically close theirs.
   */
  readonly idleMs: number;
  /**
   * Time for which a connection rests after a response before it is used again, in ms, so that a second copy
   * of the response arrives while no request waits on it. Default: 0.
   */
  readonly restMs: number;
  /** Responses up to this size are read completely before they are passed on, in bytes. Default: 0. */
  readonly bufferedResponseBytes: number;
  /**
   * Largest response body without a declared end that is passed on, in bytes; it is read completely first.
   * Default: 1,048,576.
   */
  readonly maxUndeclaredBytes: number;
  /** Memory for the responses that are read before any of them is passed on. Default: one for this task alone. */
  readonly responseMemory: ResponseMemoryBudget;
  readonly postToCore: (event: HostEvent) => void;
  /** Starts to open a socket to a server or a relaying host. Default: `dialTcp`. */
  readonly dial: Dial;
  /** Origin at which a host relays attempts. Default: none, for hosts that do not relay. */
  readonly relayOriginOf: (hostId: string) => string;
  /** Passes a response to the caller task. */
  readonly answer: (requestId: number, answer: PendingResponse) => void;
  readonly count: (name: string, tags?: Record<string, string>) => void;
  /** Logs a warning. */
  readonly warn: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

export const DEFAULT_BACKEND_TASK_OPTIONS = {
  idlePerServer: 4,
  connectTimeoutMs: 1_000,
  idleMs: 4_000,
  restMs: 0,
  bufferedResponseBytes: 0,
  maxUndeclaredBytes: 1_048_576,
  dial: dialTcp,
  relayOriginOf: (): string => '',
} as const;

type RequiredBackendTaskOptions = Omit<
  BackendTaskOptions,
  keyof typeof DEFAULT_BACKEND_TASK_OPTIONS | 'responseMemory'
>;

/**
 * Classifies the error that ended an attempt. Only where the connection was never established is it sure that
 * the request did not run.
 */
function classifyFailure(
  error: unknown,
  {hasConnected}: ServerConnection,
  {relayHostId}: RunAttempt,
): {failure: AttemptFailure; mayHaveRun: boolean} {
  if (error instanceof BodyLimitError) {
    return {failure: 'body-limit', mayHaveRun: true};
  }
  if (error instanceof SlowCallerError) {
    return {failure: 'caller', mayHaveRun: true};
  }
  if (error instanceof UndeclaredBodyError) {
    return {failure: 'oversized', mayHaveRun: true};
  }
  if (error instanceof ResponseMemoryError) {
    return {failure: 'memory', mayHaveRun: true};
  }
  if (error instanceof RepeatedResponseError || error instanceof EndlessBodyError) {
    return {failure: 'malformed', mayHaveRun: true};
  }
  if (!hasConnected) {
    return {failure: relayHostId === undefined ? 'connect' : 'relay', mayHaveRun: false};
  }
  if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) {
    return {failure: 'timeout', mayHaveRun: true};
  }
  return {
    failure: errorCode(error).startsWith('HPE_') ? 'malformed' : 'lost',
    mayHaveRun: true,
  };
}

const noContentStatus = 204;

/** How the server marks the end of a response; a relaying host sends chunks and says where the server did not. */
function framingOf(
  {method, relayHostId}: RunAttempt,
  response: Dispatcher.ResponseData,
): BodyFraming {
  const isUndeclared = relayHostId !== undefined && undeclaredEndHeader in response.headers;
  return isUndeclared ? 'close' : bodyFramingOf({method, ...response});
}

/** Owns the sockets to backend servers: runs attempts and health probes, and reports their results to the core. */
export class BackendTask {
  readonly #options: BackendTaskOptions;
  readonly #poolByOrigin = new Map<string, ServerConnectionPool>();
  readonly #serverIdByOrigin = new Map<string, string>();
  readonly #running = new Map<string, AbortController>();
  readonly #mailbox = new Mailbox<BackendCommand>((command) => {
    this.#handleCommand(command);
  });
  #reportedIdleServers = '';

  constructor(options: Partial<BackendTaskOptions> & RequiredBackendTaskOptions) {
    this.#options = {
      ...DEFAULT_BACKEND_TASK_OPTIONS,
      responseMemory: new ResponseMemoryBudget(),
      ...options,
    };
  }

  /** Queues a message for this task. */
  post(command: BackendCommand): void {
    this.#mailbox.post(command);
  }

  /** Closes all connections at once. */
  async stop(): Promise<void> {
    for (const pool of this.#poolByOrigin.values()) {
      await pool.destroy();
    }
    this.#poolByOrigin.clear();
  }

  #handleCommand(command: BackendCommand): void {
    switch (command.type) {
      case 'run':
        void this.#run(command);
        return;
      case 'cancelAttempt':
        this.#running.get(`${command.requestId}.${command.attempt}`)?.abort();
        return;
      case 'sendProbe':
        void this.#probe(command);
        return;
      case 'dialServer':
        this.#serverIdByOrigin.set(command.origin, command.serverId);
        this.#poolOf(command.origin).dial();
        return;
    }
  }

  #poolOf(origin: string): ServerConnectionPool {
    let pool = this.#poolByOrigin.get(origin);
    if (pool === undefined) {
      const {idlePerServer, connectTimeoutMs, idleMs, restMs, timers, dial} = this.#options;
      pool = new ServerConnectionPool({
        origin,
        connectTimeoutMs,
        idleMs,
        restMs,
        maxIdle: idlePerServer,
        timers,
        dial,
        onDialed: (isConnected) => {
          const serverId = this.#serverIdByOrigin.get(origin);
          if (serverId !== undefined) {
            this.#options.postToCore({type: 'serverDialed', serverId, isConnected});
          }
        },
        onStrayBytes: () => {
          const serverId = this.#serverIdByOrigin.get(origin) ?? '';
          this.#options.count('server.strayBytes', {server: serverId});
          this.#options.warn('server.strayBytes', {serverId, origin});
        },
      });
      this.#poolByOrigin.set(origin, pool);
    }
    return pool;
  }

  /** Sends an attempt to its server and reports a failure to the core. */
  async #run(run: RunAttempt): Promise<void> {
    const {requestId, attempt, relayHostId} = run;
    const isRelayed = relayHostId !== undefined;
    const origin = isRelayed ? this.#options.relayOriginOf(relayHostId) : run.origin;
    const attemptKey = `${requestId}.${attempt}`;
    const controller = new AbortController();
    this.#running.set(attemptKey, controller);
    if (!isRelayed) {
      this.#serverIdByOrigin.set(origin, run.serverId);
    }
    const pool = this.#poolOf(origin);
    const connection = pool.acquire({isNew: run.needsNewConnection && !isRelayed});
    recordAttempt(connection, run.attemptName);
    this.#options.count(connection.hasConnected ? 'server.reused' : 'server.connected');
    this.#reportIdleConnections();
    try {
      const response = await connection.client.request({
        method: run.method as 'GET',
        path: run.pathAndQuery,
        headers: isRelayed ? {...run.headers, [relayServerHeader]: run.serverId} : run.headers,
        body: run.body ?? null,
        signal: controller.signal,
        // The core enforces the timeouts of attempts; the library's timer may fire half a second early.
        headersTimeout: 0,
        highWaterMark: unlimitedBodyBytes,
        onInfo: limitInterimResponses(() => {
          this.#failForInterimResponses(run, controller);
        }),
      });
      holdBackConnection(connection, response.body);
      const {dialect} = this.#options;
      const {statusCode, headers} = response;
      const classification = dialect.classifyResponse(statusCode, headers, run.notRunHeader);
      // A second copy of a refusal that names no attempt would look like the refusal of the next request on the
      // connection, which may have run.
      const isAnonymousRefusal =
        classification.reportsNotRun && headers[dialect.requestNameHeader] === undefined;
      response.body.once('close', () => {
        this.#running.delete(attemptKey);
        const isWhole = response.body.readableEnded;
        if (isWhole && !isAnonymousRefusal) {
          pool.release(connection);
        } else {
          pool.discard(connection);
        }
        this.#reportIdleConnections();
      });
      await this.#onResponse(run, response, classification, connection);
    } catch (error) {
      this.#running.delete(attemptKey);
      pool.discard(connection);
      if (error instanceof RepeatedResponseError) {
        pool.reportStrayBytes();
      }
      if (!controller.signal.aborted) {
        this.#reportFailed(run, connection, error);
      }
    }
  }

  /** Reports an attempt to the core that an error ended, and counts what was wrong with its response. */
  #reportFailed(run: RunAttempt, connection: ServerConnection, error: unknown): void {
    const {requestId, attempt} = run;
    const {count, postToCore} = this.#options;
    const reason = failureReasonOf(error);
    if (reason !== undefined) {
      count('server.malformed', {reason});
    }
    const failed = classifyFailure(error, connection, run);
    postToCore({type: 'attemptFailed', requestId, attempt, ...failed, reason});
  }

  /** Ends an attempt whose server sends interim responses without end, and reports it to the core as malformed. */
  #failForInterimResponses(run: RunAttempt, controller: AbortController): void {
    if (controller.signal.aborted) {
      return;
    }
    controller.abort(new InterimResponsesError(`more than ${maxInterimResponses} of them`));
    this.#reportMalformed(run, 'interim');
  }

  /** Counts a response that is not passed on, and reports its attempt to the core as failed. */
  #reportMalformed({requestId, attempt}: RunAttempt, reason: FailureReason): void {
    const {count, postToCore} = this.#options;
    count('server.malformed', {reason});
    postToCore({
      type: 'attemptFailed',
      requestId,
      attempt,
      failure: 'malformed',
      reason,
      mayHaveRun: true,
    });
  }

  /**
   * Passes a response to the caller task and reports its status to the core. A response that echoes the name
   * of another attempt, or none although its server always does, or that the dialect finds malformed, is
   * dropped and reported as failed.
   */
  async #onResponse(
    run: RunAttempt,
    response: Dispatcher.ResponseData,
    classification: ResponseClassification,
    connection: ServerConnection,
  ): Promise<void> {
    const {requestId, attempt, notRunHeader} = run;
    const {dialect} = this.#options;
    const {statusCode: status, body} = response;
    if (run.relayHostId !== undefined && response.headers[relayNotSentHeader] !== undefined) {
      body.on('error', () => undefined).destroy();
      this.#options.postToCore({
        type: 'attemptFailed',
        requestId,
        attempt,
        failure: 'relay',
        mayHaveRun: false,
      });
      return;
    }
    const echoedName = response.headers[dialect.requestNameHeader];
    const isOfOtherAttempt =
      echoedName === undefined ? run.mustEchoName === true : echoedName !== run.attemptName;
    if (isOfOtherAttempt || classification.isMalformed) {
      body.on('error', () => undefined).destroy();
      this.#reportMalformed(run, isOfOtherAttempt ? 'foreign' : 'unsigned');
      return;
    }
    if (!classification.isMisdirected) {
      const notice = dialect.serverNotice(status, response.headers);
      this.#options.postToCore({
        type: 'serverNoticed',
        requestId,
        serverId: run.serverId,
        notice,
      });
    }
    const dropped = [...dialect.droppedResponseHeaders(notRunHeader), undeclaredEndHeader];
    if (status === noContentStatus) {
      // RFC 9110, section 8.6.
      dropped.push('content-length');
    }
    const headers = endToEndHeaders(response.headers, dropped);
    const framing = framingOf(run, response);
    this.#options.count('server.response', {framing});
    const received = await this.#readBody(body, framing, connection);
    const bodyBytes = received.wholeBytes;
    this.#options.answer(requestId, {
      attempt,
      status,
      headers,
      body: received.body,
      framing,
      bodyBytes,
    });
    const {reportsNotRun, isMisdirected} = classification;
    this.#options.postToCore({
      type: 'attemptAnswered',
      requestId,
      attempt,
      status,
      reportsNotRun,
      isMisdirected,
      framing,
      bodyBytes,
    });
  }

  /** Reads the start of a body, or all of it where its end is not declared, so that it can be passed on. */
  async #readBody(
    body: Readable,
    framing: BodyFraming,
    connection: ServerConnection,
  ): Promise<BufferedResponse> {
    const {timers, bufferedResponseBytes, maxUndeclaredBytes, responseMemory} = this.#options;
    const options = {
      ...this.#checksOf(framing, connection),
      memory: responseMemory.open(),
    };
    return framing === 'close'
      ? readUndeclaredBody(body, {...options, timers, maxBytes: maxUndeclaredBytes})
      : bufferResponse(body, {...options, maxBytes: bufferedResponseBytes});
  }

  /** How the chunks of a body that arrives on a connection are checked. */
  #checksOf(framing: BodyFraming, connection: ServerConnection): SoundChunksOptions {
    return {
      framing,
      wasReset: () => connection.wasReset,
      onRead: () => connection.socket?.resumeReads(),
      repeats: new RepeatedResponseDetector({
        requestNameHeader: this.#options.dialect.requestNameHeader,
        attemptNames: connection.attemptNames,
      }),
    };
  }

  /** Reports to the core the servers to which an idle connection is open, where that changed; drops empty pools. */
  #reportIdleConnections(): void {
    const idleServerIds: string[] = [];
    for (const [origin, pool] of this.#poolByOrigin) {
      const serverId = this.#serverIdByOrigin.get(origin);
      if (pool.hasIdle && serverId !== undefined) {
        idleServerIds.push(serverId);
      }
      if (pool.isEmpty) {
        this.#poolByOrigin.delete(origin);
        this.#serverIdByOrigin.delete(origin);
      }
    }
    const idleServerList = idleServerIds.join(' ');
    if (idleServerList !== this.#reportedIdleServers) {
      this.#reportedIdleServers = idleServerList;
      this.#options.postToCore({type: 'serverConnections', idleServerIds});
    }
  }

  /** Sends a health probe and reports its result and latency to the core. */
  async #probe({serverId, origin, path, timeoutMs}: SendProbe): Promise<void> {
    const {timers, postToCore} = this.#options;
    const startedAtMs = timers.nowMs();
    const pool = this.#poolOf(origin);
    const connection = pool.acquire();
    let isHealthy = false;
    try {
      const response = await connection.client.request({
        method: 'GET',
        path,
        headersTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const framing = bodyFramingOf({method: 'GET', ...response});
      await discardBody(response.body, this.#checksOf(framing, connection));
      isHealthy = response.statusCode < 400;
      pool.release(connection);
    } catch (error) {
      pool.discard(connection);
      this.#options.count('probe.failed', {code: errorCode(error)});
    }
    postToCore({
      type: 'probeAnswered',
      serverId,
      isHealthy,
      latencyMs: timers.nowMs() - startedAtMs,
    });
  }
}
