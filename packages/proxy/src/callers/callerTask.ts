import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {createAdaptorServer} from '@hono/node-server';
import type {HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {
  ErrorKind,
  HostEffect,
  HostEvent,
  StoredResponse,
  RefuseRequest,
  StartAttempt,
} from '@godwitspring/core';
import type {CallerLimits} from '@godwitspring/document';
import {Hono} from 'hono';
import type {BackendCommand} from '../backends/backendMessages.ts';
import {endByClose} from '../backends/endsByClose.ts';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';
import {ResponseRecorder} from './responseRecorder.ts';
import {BodyLimiter} from './bodyLimiter.ts';
import type {Exchange, PendingResponse} from './exchange.ts';
import type {HttpDialect} from '../dialect/httpDialect.ts';
import {endToEndHeaders} from './headers.ts';
import {declaredBodyBytes, requestDigest} from './requestHead.ts';
import {readRequestTarget} from './requestTarget.ts';
import {readWholeBody} from './readWholeBody.ts';
import {resetIfBrokenOff} from './resetIfBrokenOff.ts';
import {writeProblem} from './writeProblem.ts';
import {drainServer} from '../task/drainServer.ts';
import {listenOn} from '../task/listenOn.ts';

/**
 * Messages to the caller task: effects of the core that concern callers, and responses of backend servers.
 */
export type CallerCommand =
  | Extract<
      HostEffect,
      {type: 'startAttempt' | 'deliverAnswer' | 'discardAnswer' | 'refuseRequest' | 'replayAnswer'}
    >
  | {
      readonly type: 'answerArrived';
      readonly requestId: number;
      readonly answer: PendingResponse;
    };

/** Settings and collaborators of the caller task. */
export interface CallerTaskOptions {
  /** Id of this host; it starts the names of requests. */
  readonly selfId: string;
  readonly listenHost: string;
  readonly listenPort: number;
  /** Header names and form of refusals that callers and servers use. */
  readonly dialect: HttpDialect;
  /** Request bodies up to this size are buffered, in bytes, so that an attempt can be repeated. Default: 65,536. */
  readonly maxReplayableBytes: number;
  /** Largest request head, in bytes. */
  readonly maxHeadBytes: number;
  /** Longest time for receiving a request head, in ms. */
  readonly headTimeoutMs: number;
  /** Time after which an idle connection is closed, in ms. */
  readonly idleTimeoutMs: number;
  /** Longest pause of a caller within a request body, in ms. */
  readonly bodyIdleTimeoutMs: number;
  readonly timers: TimerService;
  readonly postToCore: (event: HostEvent) => void;
  /** Passes a command to the backend task. */
  readonly postToBackends: (command: BackendCommand) => void;
  readonly count: (name: string, tags?: Record<string, string>) => void;
}

export const DEFAULT_CALLER_TASK_OPTIONS = {maxReplayableBytes: 65_536} as const;

type RequiredCallerTaskOptions = Omit<CallerTaskOptions, keyof typeof DEFAULT_CALLER_TASK_OPTIONS>;

/**
 * Owns the sockets to callers: reads requests, reports them to the core, starts attempts on its command and
 * sends responses and refusals back.
 */
export class CallerTask {
  readonly #options: CallerTaskOptions;
  readonly #exchanges = new Map<number, Exchange>();
  readonly #mailbox = new Mailbox<CallerCommand>((command) => {
    this.#handleCommand(command);
  });
  #server: Server | undefined;
  #nextRequestId = 1;
  #isShuttingDown = false;

  constructor(options: Partial<CallerTaskOptions> & RequiredCallerTaskOptions) {
    this.#options = {...DEFAULT_CALLER_TASK_OPTIONS, ...options};
  }

  /**
   * Changes the limits on callers. Heads may always be as large as the options allow, so that callers of an earlier
   * version are not refused; a larger limit holds for new connections.
   */
  setLimits({
    maxHeadBytes,
    idleTimeoutMs,
    headTimeoutMs,
  }: Omit<CallerLimits, 'maxBodyBytes'>): void {
    if (this.#server === undefined) {
      return;
    }
    this.#server.keepAliveTimeout = idleTimeoutMs;
    this.#server.headersTimeout = headTimeoutMs;
    // `node:http` reads the property for each new connection, but its types leave it out.
    const server: Server & {maxHeaderSize?: number} = this.#server;
    server.maxHeaderSize = Math.max(this.#options.maxHeadBytes, maxHeadBytes);
  }

  /** From now on, responses to further requests close their connection. */
  closeConnectionsAfterResponses(): void {
    this.#isShuttingDown = true;
  }

  /** Queues a message for this task. */
  post(command: CallerCommand): void {
    this.#mailbox.post(command);
  }

  /** Opens the port for callers; fails where the address is in use. */
  async start(): Promise<void> {
    const app = new Hono<{Bindings: HttpBindings}>();
    app.all('*', async (context) => {
      await this.#onRequest(context.env.incoming, context.env.outgoing);
      return RESPONSE_ALREADY_SENT;
    });
    const {maxHeadBytes, headTimeoutMs, idleTimeoutMs, listenHost, listenPort} = this.#options;
    const server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
      serverOptions: {
        maxHeaderSize: maxHeadBytes,
        headersTimeout: headTimeoutMs,
        keepAliveTimeout: idleTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: 1_000,
      },
    }) as Server;
    this.#server = server;
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.#onClientError(error, socket);
    });
    await listenOn(server, {listenHost, listenPort});
  }

  get #requestNameHeader(): string {
    return this.#options.dialect.requestNameHeader;
  }

  /** Number of requests in progress. */
  get inProgress(): number {
    return this.#exchanges.size;
  }

  /**
   * Accepts no more connections, and closes each connection after the request that runs on it. Resolves once
   * all connections are closed.
   */
  async drain(): Promise<void> {
    if (this.#server !== undefined) {
      await drainServer(this.#server);
    }
  }

  /** Closes all connections at once. */
  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  async #onRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const {dialect, maxReplayableBytes} = this.#options;
    this.#announceClose(outgoing);
    const requestName = dialect.requestName(incoming, `${this.#options.selfId}-${requestId}`);
    const target = readRequestTarget(incoming.url ?? '', incoming.headers.host, dialect);
    if (target.isErr()) {
      this.#refuseBeforeCore(incoming, outgoing, 'malformed-request', requestName, target.error);
      return;
    }
    const {host, path, pathAndQuery} = target.value;
    const arrivedAtMs = this.#options.timers.nowMs();
    const bodyBytes = declaredBodyBytes(incoming);
    const isSmall = bodyBytes !== undefined && bodyBytes <= maxReplayableBytes;
    const bufferedBody = isSmall
      ? await this.#readReplayableBody(incoming, outgoing, requestName)
      : undefined;
    if (isSmall && bufferedBody === undefined) {
      return;
    }
    this.#exchanges.set(requestId, {
      requestId,
      requestName,
      incoming,
      outgoing,
      pathAndQuery,
      bufferedBody,
      hasStreamedBody: !isSmall,
      responses: new Map(),
      arrivedAtMs,
    });
    outgoing.once('close', () => {
      this.#onClosed(requestId);
    });
    this.#options.postToCore({
      type: 'requestArrived',
      requestId,
      host,
      path,
      method: incoming.method ?? 'GET',
      keyDigest: dialect.keyDigest(incoming),
      idempotencyKey: dialect.idempotencyKey(incoming),
      bodyBytes,
      isReplayable: isSmall,
      budgetMs: dialect.budgetMs(incoming),
      requestDigest: requestDigest(incoming, bufferedBody),
      requestName,
    });
  }

  /** Makes a response close its connection while the host shuts down; called again for requests that ran before. */
  #announceClose(outgoing: ServerResponse): void {
    if (this.#isShuttingDown) {
      outgoing.shouldKeepAlive = false;
    }
  }

  /** Reads a body that is small enough to be buffered; refuses the request where that fails. */
  async #readReplayableBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    requestName: string,
  ): Promise<Buffer | undefined> {
    const {timers, bodyIdleTimeoutMs} = this.#options;
    try {
      return await readWholeBody(incoming, {timers, idleMs: bodyIdleTimeoutMs});
    } catch {
      this.#options.count('caller.bodyBroken');
      this.#refuseBeforeCore(incoming, outgoing, 'caller-too-slow', requestName, undefined);
      return undefined;
    }
  }

  #handleCommand(command: CallerCommand): void {
    const exchange = this.#exchanges.get(command.requestId);
    if (exchange === undefined) {
      if (command.type === 'answerArrived') {
        command.answer.body.destroy();
      }
      return;
    }
    switch (command.type) {
      case 'startAttempt':
        this.#startAttempt(exchange, command);
        return;
      case 'answerArrived':
        exchange.responses.set(command.answer.attempt, command.answer);
        return;
      case 'discardAnswer':
        this.#discardResponse(exchange, command.attempt);
        return;
      case 'deliverAnswer':
        void this.#deliverResponse(exchange, command.attempt);
        return;
      case 'refuseRequest':
        this.#refuse(exchange, command);
        return;
      case 'replayAnswer':
        this.#replayResponse(exchange, command.answer);
        return;
    }
  }

  #startAttempt(exchange: Exchange, command: StartAttempt): void {
    const {incoming, requestName, pathAndQuery, bufferedBody, hasStreamedBody} = exchange;
    const {dialect} = this.#options;
    const attemptName = dialect.attemptName(requestName, command.attempt);
    const {serverId, timeoutMs, customerId} = command;
    const headers = {
      ...endToEndHeaders(incoming.headers, dialect.droppedHeaders),
      ...dialect.attemptHeaders({attemptName, serverId, timeoutMs, customerId}),
    };
    const body = hasStreamedBody ? this.#limitBody(incoming, command.maxBodyBytes) : bufferedBody;
    this.#options.postToBackends({
      type: 'run',
      requestId: exchange.requestId,
      attempt: command.attempt,
      attemptName,
      serverId: command.serverId,
      origin: command.origin,
      method: incoming.method ?? 'GET',
      pathAndQuery,
      headers,
      body: body instanceof Buffer && body.length === 0 ? undefined : body,
      timeoutMs: command.timeoutMs,
      notRunHeader: command.notRunHeader,
      mustEchoName: command.mustEchoName,
      needsNewConnection: command.needsNewConnection,
      relayHostId: command.relayHostId,
    });
  }

  /** Wraps a streamed request body in limits on its size and on pauses of the caller. */
  #limitBody(incoming: IncomingMessage, maxBodyBytes: number): BodyLimiter {
    const {timers, bodyIdleTimeoutMs} = this.#options;
    const limiter = new BodyLimiter({timers, maxBodyBytes, idleMs: bodyIdleTimeoutMs});
    pipeline(incoming, limiter).catch(() => {
      // The backend task observes the failed stream and reports it.
    });
    return limiter;
  }

  #discardResponse(exchange: Exchange, attempt: number): void {
    exchange.responses
      .get(attempt)
      ?.body.on('error', () => undefined)
      .destroy();
    exchange.responses.delete(attempt);
  }

  /** Streams the response to an attempt to the caller and reports to the core how that ended. */
  async #deliverResponse(exchange: Exchange, attempt: number): Promise<void> {
    const {requestId, outgoing, requestName} = exchange;
    const response = exchange.responses.get(attempt);
    if (response === undefined) {
      return;
    }
    try {
      this.#announceClose(outgoing);
      if (response.endsByClose) {
        endByClose(outgoing);
      }
      outgoing.writeHead(response.status, {
        ...response.headers,
        [this.#requestNameHeader]: requestName,
      });
      // A length or chunks show by themselves that a response is incomplete, also where this process is killed.
      const isFramed = outgoing.chunkedEncoding || response.headers['content-length'] !== undefined;
      if (!isFramed) {
        resetIfBrokenOff(response, outgoing);
      }
      const recorder = new ResponseRecorder(response.status, response.headers['content-type']);
      await (this.#mustRecordResponse(exchange)
        ? pipeline(response.body, recorder, outgoing)
        : pipeline(response.body, outgoing));
      this.#exchanges.delete(requestId);
      this.#options.postToCore({
        type: 'attemptFinished',
        requestId,
        attempt,
        answer: recorder.answer,
      });
    } catch {
      this.#exchanges.delete(requestId);
      outgoing.destroy();
      this.#options.count('caller.answerBroken');
      this.#options.postToCore({
        type: 'attemptFailed',
        requestId,
        attempt,
        failure: 'lost',
        mayHaveRun: true,
      });
    }
  }

  /** True where a duplicate of the request may have to be given the same response. */
  #mustRecordResponse({incoming}: Exchange): boolean {
    return incoming.headers['idempotency-key'] !== undefined;
  }

  /** Sends the stored response to an earlier request with the same idempotency key. */
  #replayResponse(
    {requestId, outgoing, requestName}: Exchange,
    {status, contentType, body}: StoredResponse,
  ): void {
    this.#exchanges.delete(requestId);
    const headers: Record<string, string> = {
      [this.#requestNameHeader]: requestName,
      'idempotent-replay': 'true',
    };
    if (contentType !== undefined) {
      headers['content-type'] = contentType;
    }
    outgoing.writeHead(status, headers);
    outgoing.end(body);
  }

  /** Refuses a request on command of the core; breaks the connection where the response has begun. */
  #refuse(exchange: Exchange, {requestId, kind, outcome, retryAfterMs}: RefuseRequest): void {
    this.#exchanges.delete(requestId);
    const {outgoing, incoming, requestName} = exchange;
    if (outgoing.headersSent || outgoing.destroyed) {
      outgoing.destroy();
      return;
    }
    const {dialect, timers} = this.#options;
    this.#announceClose(outgoing);
    writeProblem(incoming, outgoing, kind, {
      dialect,
      timers,
      outcome,
      retryAfterMs,
      requestName,
    });
  }

  /** Refuses a request that was not reported to the core. */
  #refuseBeforeCore(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    kind: ErrorKind,
    requestName: string,
    detail: string | undefined,
  ): void {
    this.#options.count('request.refused', {kind});
    if (!outgoing.destroyed) {
      const {dialect, timers} = this.#options;
      writeProblem(incoming, outgoing, kind, {
        dialect,
        timers,
        outcome: 'not-run',
        requestName,
        detail,
      });
    }
  }

  /** Reports that the caller disconnected, unless the response had been sent completely. */
  #onClosed(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange !== undefined && !exchange.outgoing.writableFinished) {
      this.#exchanges.delete(requestId);
      this.#options.postToCore({type: 'callerLeft', requestId});
    }
  }

  /** Refuses a request that the HTTP parser rejected. */
  #onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const kind = error.code === 'HPE_HEADER_OVERFLOW' ? 'head-too-large' : 'malformed-request';
    this.#options.count('request.refused', {kind});
    if (!socket.writable) {
      return;
    }
    const {status, headers, body} = this.#options.dialect.refusal(kind, {});
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.end(
      `HTTP/1.1 ${status} Refused\r\n${lines.join('')}` +
        `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
    );
  }
}
