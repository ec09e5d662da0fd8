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
  HeadScreened,
  RequestArrived,
  StartAttempt,
} from '@godwitspring/core';
import type {CallerLimits} from '@godwitspring/document';
import {Hono} from 'hono';
import type {BackendCommand} from '../backends/backendMessages.ts';
import {failureReasonOf} from '../backends/failureReasonOf.ts';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';
import {ResponseRecorder} from './responseRecorder.ts';
import {applyFraming} from './applyFraming.ts';
import {BodyLimiter} from './bodyLimiter.ts';
import {breakOff, isCloseDelimited} from './breakOff.ts';
import type {Exchange, PendingResponse} from './exchange.ts';
import type {HostIntake} from '../intake/hostIntake.ts';
import type {HttpDialect} from '../dialect/httpDialect.ts';
import {endToEndHeaders} from './headers.ts';
import {declaredBodyBytes, requestDigest} from './requestHead.ts';
import {readRequestTarget} from './requestTarget.ts';
import {BodyReader} from './readWholeBody.ts';
import {headBytes, responseBytes} from './heldBytes.ts';
import {sliceChunks} from './sliceChunks.ts';
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
      {
        type:
          | 'headScreened'
          | 'startAttempt'
          | 'deliverAnswer'
          | 'discardAnswer'
          | 'refuseRequest'
          | 'replayAnswer';
      }
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
  /** Bounds on what the host holds for its callers. */
  readonly intake: HostIntake;
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
  /** Requests whose heads the core checks before their bodies are read. */
  readonly #screenings = new Map<number, (screened: HeadScreened) => void>();
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
    this.#options.intake.attach(server, 'callers', (incoming, outgoing) => {
      const name = this.#options.dialect.requestName(incoming, `${this.#options.selfId}-head`);
      this.#refuseBeforeCore(incoming, outgoing, 'head-too-large', name, undefined);
    });
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
    this.#options.intake.breakOffResponses();
    this.#server?.closeAllConnections();
  }

  async #onRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const {dialect} = this.#options;
    this.#announceClose(outgoing);
    const requestName = dialect.requestName(incoming, `${this.#options.selfId}-${requestId}`);
    const target = readRequestTarget(incoming.url ?? '', incoming.headers.host, dialect);
    if (target.isErr()) {
      this.#refuseBeforeCore(incoming, outgoing, 'malformed-request', requestName, target.error);
      return;
    }
    const {host, path, pathAndQuery} = target.value;
    const arrivedAtMs = this.#options.timers.nowMs();
    const head = {
      requestId,
      host,
      path,
      method: incoming.method ?? 'GET',
      keyDigest: dialect.keyDigest(incoming),
      bodyBytes: declaredBodyBytes(incoming),
    };
    const body = await this.#takeBody(incoming, outgoing, requestName, head);
    if (body === 'refused') {
      return;
    }
    const bufferedBody = body === 'unread' ? undefined : body;
    const isReplayable = bufferedBody !== undefined;
    this.#exchanges.set(requestId, {
      requestId,
      requestName,
      incoming,
      outgoing,
      pathAndQuery,
      bufferedBody,
      hasStreamedBody: !isReplayable,
      responses: new Map(),
      arrivedAtMs,
    });
    outgoing.once('close', () => {
      this.#onClosed(requestId);
    });
    this.#options.postToCore({
      type: 'requestArrived',
      ...head,
      idempotencyKey: dialect.idempotencyKey(incoming),
      isReplayable,
      budgetMs: dialect.budgetMs(incoming),
      requestDigest: requestDigest(incoming, bufferedBody),
      requestName,
    });
  }

  /**
   * Reads a body that is small enough to be buffered. It stays unread where it is to be streamed, or where the core
   * will refuse the request by its head; nothing of it was sent to a server where the request is refused here.
   */
  async #takeBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    requestName: string,
    head: Pick<
      RequestArrived,
      'requestId' | 'host' | 'path' | 'method' | 'keyDigest' | 'bodyBytes'
    >,
  ): Promise<Buffer | 'unread' | 'refused'> {
    const {intake, maxReplayableBytes} = this.#options;
    const refuse = (): 'refused' => {
      intake.countRefused('memory');
      this.#refuseBeforeCore(
        incoming,
        outgoing,
        'overloaded',
        requestName,
        'the host is short of memory',
      );
      return 'refused';
    };
    const {bodyBytes} = head;
    if (!intake.tryHold(outgoing, headBytes(incoming))) {
      return refuse();
    }
    if (bodyBytes === undefined || bodyBytes > maxReplayableBytes) {
      return intake.tryHoldStream(outgoing) ? 'unread' : refuse();
    }
    if (bodyBytes > 0) {
      const {isAcceptable, customerId} = await this.#screen(head);
      if (!isAcceptable) {
        return 'unread';
      }
      if (!intake.tryHold(outgoing, bodyBytes, customerId)) {
        return refuse();
      }
    }
    return (await this.#readBody(incoming, outgoing, requestName, bodyBytes)) ?? 'refused';
  }

  /** Asks the core whether the head of a request gives a reason to refuse it. */
  async #screen(
    head: Pick<
      RequestArrived,
      'requestId' | 'host' | 'path' | 'method' | 'keyDigest' | 'bodyBytes'
    >,
  ): Promise<HeadScreened> {
    return new Promise((resolve) => {
      this.#screenings.set(head.requestId, resolve);
      this.#options.postToCore({type: 'headArrived', ...head});
    });
  }

  /** Makes a response close its connection while the host shuts down; called again for requests that ran before. */
  #announceClose(outgoing: ServerResponse): void {
    if (this.#isShuttingDown) {
      outgoing.shouldKeepAlive = false;
    }
  }

  /** Reads a body that is small enough to be buffered; refuses the request where that fails. */
  async #readBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    requestName: string,
    declaredBytes: number,
  ): Promise<Buffer | undefined> {
    const {timers, intake, bodyIdleTimeoutMs} = this.#options;
    const reader = new BodyReader(incoming, {declaredBytes, timers, idleMs: bodyIdleTimeoutMs});
    intake.onTooSlow(outgoing, () => {
      reader.giveUp();
    });
    try {
      return await reader.read();
    } catch {
      this.#options.count('caller.bodyBroken');
      this.#refuseBeforeCore(incoming, outgoing, 'caller-too-slow', requestName, undefined);
      return undefined;
    } finally {
      intake.onTooSlow(outgoing, undefined);
    }
  }

  #handleCommand(command: CallerCommand): void {
    if (command.type === 'headScreened') {
      this.#screenings.get(command.requestId)?.(command);
      this.#screenings.delete(command.requestId);
      return;
    }
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
      outgoing.setHeader(this.#requestNameHeader, requestName);
      applyFraming(response, outgoing);
      outgoing.writeHead(response.status, response.headers);
      // A length or chunks show by themselves that a response is incomplete, also where this process is killed.
      if (isCloseDelimited(outgoing)) {
        resetIfBrokenOff(response, outgoing);
      }
      const recorder = new ResponseRecorder(response);
      this.#options.intake.hold(outgoing, responseBytes(response));
      await (this.#mustRecordResponse(exchange)
        ? pipeline(response.body, recorder, sliceChunks, outgoing)
        : pipeline(response.body, sliceChunks, outgoing));
      this.#forget(exchange);
      this.#options.postToCore({
        type: 'attemptFinished',
        requestId,
        attempt,
        answer: recorder.answer,
      });
    } catch (error) {
      this.#forget(exchange);
      breakOff(outgoing);
      this.#options.count('caller.answerBroken');
      this.#options.postToCore({
        type: 'attemptFailed',
        requestId,
        attempt,
        failure: 'lost',
        reason: failureReasonOf(error),
        mayHaveRun: true,
      });
    }
  }

  /** True where a duplicate of the request may have to be given the same response. */
  #mustRecordResponse({incoming}: Exchange): boolean {
    return incoming.headers['idempotency-key'] !== undefined;
  }

  /** Ends an exchange, and releases what its responses hold. */
  #forget({requestId, responses}: Exchange): void {
    this.#exchanges.delete(requestId);
    for (const {body} of responses.values()) {
      body.on('error', () => undefined).destroy();
    }
    responses.clear();
  }

  /** Sends the stored response to an earlier request with the same idempotency key. */
  #replayResponse(
    {requestId, outgoing, requestName}: Exchange,
    {status, contentType, body, isEndUndeclared}: StoredResponse,
  ): void {
    this.#exchanges.delete(requestId);
    const headers: Record<string, string> = {
      [this.#requestNameHeader]: requestName,
      'idempotent-replay': 'true',
    };
    if (contentType !== undefined) {
      headers['content-type'] = contentType;
    }
    applyFraming(
      {framing: isEndUndeclared === true ? 'close' : 'chunks', bodyBytes: body.length},
      outgoing,
    );
    outgoing.writeHead(status, headers);
    outgoing.end(body);
  }

  /** Refuses a request on command of the core; breaks the connection where the response has begun. */
  #refuse(exchange: Exchange, {kind, outcome, retryAfterMs}: RefuseRequest): void {
    const {outgoing, incoming, requestName} = exchange;
    if (outgoing.headersSent || outgoing.destroyed) {
      breakOff(outgoing);
      this.#forget(exchange);
      return;
    }
    this.#forget(exchange);
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
      this.#forget(exchange);
      const isBodyIncomplete = !exchange.incoming.complete;
      this.#options.postToCore({type: 'callerLeft', requestId, isBodyIncomplete});
    }
  }

  /**
   * Refuses a request that the HTTP parser rejected, or whose head did not arrive in time. Where another request of the
   * connection is in progress, the connection is closed instead: the refusal would be taken for the response to that
   * one, which may have run.
   */
  #onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const kind = clientErrorKind(error);
    this.#options.count('request.refused', {kind});
    const isSilent = socket.bytesRead === 0;
    if (!socket.writable || isSilent || this.#options.intake.hasRequests(socket)) {
      this.#options.intake.close(socket);
      return;
    }
    const {status, headers, body} = this.#options.dialect.refusal(kind, {outcome: 'not-run'});
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.end(
      `HTTP/1.1 ${status} Refused\r\n${lines.join('')}` +
        `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
    );
  }
}

/** Error kind of an error that the HTTP parser reports. */
function clientErrorKind({code}: NodeJS.ErrnoException): ErrorKind {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return 'head-too-large';
  }
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'caller-too-slow' : 'malformed-request';
}
