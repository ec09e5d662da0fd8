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
  KeptAnswer,
  RefuseRequest,
  StartAttempt,
} from '@godwitspring/core';
import {Hono} from 'hono';
import type {BackendCommand} from '../backends/backendMessages.ts';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';
import {AnswerKeeper} from './answerKeeper.ts';
import {BodyGuard} from './bodyGuard.ts';
import type {Exchange, PendingAnswer} from './exchange.ts';
import type {HttpDialect} from '../dialect/httpDialect.ts';
import {endToEndHeaders} from './headers.ts';
import {announcedBytes, requestDigest} from './requestHead.ts';
import {readRequestTarget} from './requestTarget.ts';
import {readSmallBody} from './readSmallBody.ts';
import {writeProblem} from './writeProblem.ts';
import {listenOn} from '../task/listenOn.ts';

/** Effects of the core that concern callers, and answers of backend servers. */
export type CallerCommand =
  | Extract<
      HostEffect,
      {type: 'startAttempt' | 'deliverAnswer' | 'discardAnswer' | 'refuseRequest' | 'replayAnswer'}
    >
  | {
      readonly type: 'answerArrived';
      readonly requestId: number;
      readonly answer: PendingAnswer;
    };

export interface CallerTaskOptions {
  readonly selfId: string;
  readonly listenHost: string;
  readonly listenPort: number;
  /** How callers and servers spell requests and refusals. */
  readonly dialect: HttpDialect;
  /** Bodies up to this size are kept until the answer, so that they can be sent again, in bytes. Default: 65,536. */
  readonly maxReplayableBytes: number;
  readonly maxHeadBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly bodyIdleTimeoutMs: number;
  readonly timers: TimerService;
  readonly tell: (event: HostEvent) => void;
  readonly run: (command: BackendCommand) => void;
  readonly count: (name: string, tags?: Record<string, string>) => void;
}

export const DEFAULT_CALLER_TASK_OPTIONS = {maxReplayableBytes: 65_536} as const;

type RequiredCallerTaskOptions = Omit<CallerTaskOptions, keyof typeof DEFAULT_CALLER_TASK_OPTIONS>;

/** Owns the sockets to callers: reads requests, sends answers and refusals. */
export class CallerTask {
  readonly #options: CallerTaskOptions;
  readonly #exchanges = new Map<number, Exchange>();
  readonly #mailbox = new Mailbox<CallerCommand>((command) => {
    this.#take(command);
  });
  #server: Server | undefined;
  #nextRequestId = 1;
  #onIdle: (() => void) | undefined;
  #isClosing = false;

  constructor(options: Partial<CallerTaskOptions> & RequiredCallerTaskOptions) {
    this.#options = {...DEFAULT_CALLER_TASK_OPTIONS, ...options};
  }

  /** Takes over how long an idle connection is kept and how long a head may take, in ms. */
  setTimeouts({
    idleTimeoutMs,
    headTimeoutMs,
  }: {
    idleTimeoutMs: number;
    headTimeoutMs: number;
  }): void {
    if (this.#server !== undefined) {
      this.#server.keepAliveTimeout = idleTimeoutMs;
      this.#server.headersTimeout = headTimeoutMs;
    }
  }

  /** Asks callers to close their connections after the answer that they wait for. */
  closeAfterAnswers(): void {
    this.#isClosing = true;
  }

  post(command: CallerCommand): void {
    this.#mailbox.post(command);
  }

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

  get #nameHeader(): string {
    return this.#options.dialect.requestNameHeader;
  }

  get inProgress(): number {
    return this.#exchanges.size;
  }

  /** Takes no new connections, and closes each connection after the request that runs on it. */
  async drain(): Promise<void> {
    this.#server?.close();
    this.#server?.closeIdleConnections();
    if (this.#exchanges.size === 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      this.#onIdle = resolve;
    });
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  async #onRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const {dialect, maxReplayableBytes} = this.#options;
    if (this.#isClosing) {
      outgoing.shouldKeepAlive = false;
    }
    const publicId = dialect.requestName(incoming, `${this.#options.selfId}-${requestId}`);
    const target = readRequestTarget(incoming.url ?? '', incoming.headers.host, dialect);
    if (target.isErr()) {
      this.#refuseRaw(incoming, outgoing, 'malformed-request', publicId, target.error);
      return;
    }
    const {host, path, pathAndQuery} = target.value;
    const arrivedAtMs = this.#options.timers.nowMs();
    const bodyBytes = announcedBytes(incoming);
    const isSmall = bodyBytes !== undefined && bodyBytes <= maxReplayableBytes;
    const bufferedBody = isSmall ? await this.#readBody(incoming, outgoing, publicId) : undefined;
    if (isSmall && bufferedBody === undefined) {
      return;
    }
    this.#exchanges.set(requestId, {
      requestId,
      publicId,
      incoming,
      outgoing,
      pathAndQuery,
      bufferedBody,
      hasStreamedBody: !isSmall,
      answers: new Map(),
      arrivedAtMs,
    });
    outgoing.once('close', () => {
      this.#onClosed(requestId);
    });
    this.#options.tell({
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
      requestName: publicId,
    });
  }

  async #readBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    publicId: string,
  ): Promise<Buffer | undefined> {
    const {timers, bodyIdleTimeoutMs} = this.#options;
    try {
      return await readSmallBody(incoming, {timers, idleMs: bodyIdleTimeoutMs});
    } catch {
      this.#options.count('caller.bodyBroken');
      this.#refuseRaw(incoming, outgoing, 'caller-too-slow', publicId, undefined);
      return undefined;
    }
  }

  #take(command: CallerCommand): void {
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
        exchange.answers.set(command.answer.attempt, command.answer);
        return;
      case 'discardAnswer':
        this.#discard(exchange, command.attempt);
        return;
      case 'deliverAnswer':
        void this.#deliver(exchange, command.attempt);
        return;
      case 'refuseRequest':
        this.#refuse(exchange, command);
        return;
      case 'replayAnswer':
        this.#replay(exchange, command.answer);
        return;
    }
  }

  #startAttempt(exchange: Exchange, command: StartAttempt): void {
    const {incoming, publicId, pathAndQuery, bufferedBody, hasStreamedBody} = exchange;
    const {dialect} = this.#options;
    const attemptName = dialect.attemptName(publicId, command.attempt);
    const {serverId, timeoutMs, customerId} = command;
    const headers = {
      ...endToEndHeaders(incoming.headers, dialect.droppedHeaders),
      ...dialect.attemptHeaders({attemptName, serverId, timeoutMs, customerId}),
    };
    const body = hasStreamedBody ? this.#guarded(incoming, command.maxBodyBytes) : bufferedBody;
    this.#options.run({
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
      needsNewConnection: command.needsNewConnection,
    });
  }

  #guarded(incoming: IncomingMessage, maxBodyBytes: number): BodyGuard {
    const {timers, bodyIdleTimeoutMs} = this.#options;
    const guard = new BodyGuard({timers, maxBodyBytes, idleMs: bodyIdleTimeoutMs});
    pipeline(incoming, guard).catch(() => {
      // The backend task sees the broken guard and reports it.
    });
    return guard;
  }

  #discard(exchange: Exchange, attempt: number): void {
    exchange.answers
      .get(attempt)
      ?.body.on('error', () => undefined)
      .destroy();
    exchange.answers.delete(attempt);
  }

  async #deliver(exchange: Exchange, attempt: number): Promise<void> {
    const {requestId, outgoing, publicId} = exchange;
    const answer = exchange.answers.get(attempt);
    if (answer === undefined) {
      return;
    }
    try {
      if (answer.isUnframed) {
        // Chunks would make an answer that broke off at the server look whole; pass on how it ends.
        outgoing.useChunkedEncodingByDefault = false;
        outgoing.shouldKeepAlive = false;
        // It ends with its connection, so that only a reset shows that it broke off.
        const {socket} = outgoing;
        answer.body.once('error', () => {
          socket?.resetAndDestroy();
        });
      }
      outgoing.writeHead(answer.status, {...answer.headers, [this.#nameHeader]: publicId});
      const keep = new AnswerKeeper(answer.status, answer.headers['content-type']);
      await (this.#mustKeep(exchange)
        ? pipeline(answer.body, keep, outgoing)
        : pipeline(answer.body, outgoing));
      this.#forget(requestId);
      this.#options.tell({type: 'attemptFinished', requestId, attempt, answer: keep.answer});
    } catch {
      // The head went out; only a broken connection tells the caller that the answer is not whole.
      this.#forget(requestId);
      outgoing.destroy();
      this.#options.count('caller.answerBroken');
      this.#options.tell({
        type: 'attemptFailed',
        requestId,
        attempt,
        failure: 'lost',
        mayHaveRun: true,
      });
    }
  }

  #mustKeep({incoming}: Exchange): boolean {
    return incoming.headers['idempotency-key'] !== undefined;
  }

  /** Gives the answer of an earlier request with the same idempotency key. */
  #replay(
    {requestId, outgoing, publicId}: Exchange,
    {status, contentType, body}: KeptAnswer,
  ): void {
    this.#forget(requestId);
    const headers: Record<string, string> = {
      [this.#nameHeader]: publicId,
      'idempotent-replay': 'true',
    };
    if (contentType !== undefined) {
      headers['content-type'] = contentType;
    }
    outgoing.writeHead(status, headers);
    outgoing.end(body);
  }

  #refuse(exchange: Exchange, {requestId, kind, outcome, retryAfterMs}: RefuseRequest): void {
    this.#forget(requestId);
    const {outgoing, incoming, publicId} = exchange;
    if (outgoing.headersSent || outgoing.destroyed) {
      outgoing.destroy();
      return;
    }
    const {dialect, timers} = this.#options;
    writeProblem(incoming, outgoing, kind, {
      dialect,
      timers,
      outcome,
      retryAfterMs,
      requestName: publicId,
    });
  }

  #refuseRaw(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    kind: ErrorKind,
    requestId: string,
    detail: string | undefined,
  ): void {
    this.#options.count('request.refused', {kind});
    if (!outgoing.destroyed) {
      const {dialect, timers} = this.#options;
      writeProblem(incoming, outgoing, kind, {
        dialect,
        timers,
        outcome: 'not-run',
        requestName: requestId,
        detail,
      });
    }
  }

  /** A connection that closes after the whole answer went out is no caller that left. */
  #onClosed(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange !== undefined && !exchange.outgoing.writableFinished) {
      this.#forget(requestId);
      this.#options.tell({type: 'callerLeft', requestId});
    }
  }

  #forget(requestId: number): void {
    this.#exchanges.delete(requestId);
    if (this.#exchanges.size === 0) {
      this.#onIdle?.();
    }
  }

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
