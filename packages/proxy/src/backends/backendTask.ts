import type {AttemptFailure, HostEvent, SendProbe} from '@godwitspring/core';
import {errors} from 'undici';
import type {Dispatcher} from 'undici';
import type {PendingAnswer} from '../callers/exchange.ts';
import {endToEndHeaders} from '../callers/headers.ts';
import type {HttpDialect} from '../dialect/httpDialect.ts';
import {BodyLimitError, SlowCallerError} from '../errors/hostErrors.ts';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';
import type {BackendCommand, RunAttempt} from './backendMessages.ts';
import {bufferAnswer} from './bufferAnswer.ts';
import {ServerConnections} from './serverConnections.ts';
import type {ServerConnection} from './serverConnections.ts';

export interface BackendTaskOptions {
  readonly timers: TimerService;
  /** How servers spell what they answer. */
  readonly dialect: HttpDialect;
  /** Idle connections kept to one server. Default: 4. */
  readonly idlePerServer: number;
  /** Longest wait for a new connection, in ms. Default: 1,000. */
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, in ms. Default: 4,000, below the usual 5 s of servers. */
  readonly idleMs: number;
  /** Answers up to this size are read whole before they are handed on, in bytes. Default: 0. */
  readonly bufferedAnswerBytes: number;
  readonly tell: (event: HostEvent) => void;
  readonly answer: (requestId: number, answer: PendingAnswer) => void;
  readonly count: (name: string, tags?: Record<string, string>) => void;
}

export const DEFAULT_BACKEND_TASK_OPTIONS = {
  idlePerServer: 4,
  connectTimeoutMs: 1_000,
  idleMs: 4_000,
  bufferedAnswerBytes: 0,
} as const;

type RequiredBackendTaskOptions = Omit<
  BackendTaskOptions,
  keyof typeof DEFAULT_BACKEND_TASK_OPTIONS
>;

function codeOf(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

function failureOf(
  error: unknown,
  {hasConnected}: ServerConnection,
): {failure: AttemptFailure; mayHaveRun: boolean} {
  if (error instanceof BodyLimitError) {
    return {failure: 'body-limit', mayHaveRun: true};
  }
  if (error instanceof SlowCallerError) {
    return {failure: 'caller', mayHaveRun: true};
  }
  if (!hasConnected) {
    return {failure: 'connect', mayHaveRun: false};
  }
  if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) {
    return {failure: 'timeout', mayHaveRun: true};
  }
  return {
    failure: codeOf(error).startsWith('HPE_') ? 'malformed' : 'lost',
    mayHaveRun: true,
  };
}

/** Owns the sockets to backend servers: runs attempts and sends probes. */
export class BackendTask {
  readonly #options: BackendTaskOptions;
  readonly #connections = new Map<string, ServerConnections>();
  readonly #serverIdByOrigin = new Map<string, string>();
  readonly #running = new Map<string, AbortController>();
  readonly #mailbox = new Mailbox<BackendCommand>((command) => {
    this.#take(command);
  });
  #toldIdle = '';

  constructor(options: Partial<BackendTaskOptions> & RequiredBackendTaskOptions) {
    this.#options = {...DEFAULT_BACKEND_TASK_OPTIONS, ...options};
  }

  post(command: BackendCommand): void {
    this.#mailbox.post(command);
  }

  async stop(): Promise<void> {
    for (const connections of this.#connections.values()) {
      await connections.destroy();
    }
    this.#connections.clear();
  }

  #take(command: BackendCommand): void {
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
    }
  }

  #connectionsTo(origin: string): ServerConnections {
    let connections = this.#connections.get(origin);
    if (connections === undefined) {
      const {idlePerServer, connectTimeoutMs, idleMs, timers} = this.#options;
      connections = new ServerConnections({
        origin,
        connectTimeoutMs,
        idleMs,
        maxIdle: idlePerServer,
        timers,
      });
      this.#connections.set(origin, connections);
    }
    return connections;
  }

  async #run(run: RunAttempt): Promise<void> {
    const {requestId, attempt, origin} = run;
    const name = `${requestId}.${attempt}`;
    const controller = new AbortController();
    this.#running.set(name, controller);
    this.#serverIdByOrigin.set(origin, run.serverId);
    const connections = this.#connectionsTo(origin);
    const connection = connections.acquire({isNew: run.needsNewConnection});
    this.#options.count(connection.hasConnected ? 'server.reused' : 'server.connected');
    this.#tellIdle();
    try {
      const response = await connection.client.request({
        method: run.method as 'GET',
        path: run.pathAndQuery,
        headers: run.headers,
        body: run.body ?? null,
        signal: controller.signal,
        // The core ends attempts in time; the library's timer may fire half a second early.
        headersTimeout: 0,
      });
      response.body.once('close', () => {
        this.#running.delete(name);
        const isWhole = response.body.readableEnded;
        if (isWhole) {
          connections.release(connection);
        } else {
          connections.discard(connection);
        }
        this.#tellIdle();
      });
      await this.#onAnswer(run, response, connection);
    } catch (error) {
      this.#running.delete(name);
      connections.discard(connection);
      if (!controller.signal.aborted) {
        const failed = failureOf(error, connection);
        this.#options.tell({type: 'attemptFailed', requestId, attempt, ...failed});
      }
    }
  }

  /** Checks that the answer belongs to the attempt and is one of a server, and hands it on. */
  async #onAnswer(
    run: RunAttempt,
    response: Dispatcher.ResponseData,
    connection: ServerConnection,
  ): Promise<void> {
    const {requestId, attempt, notRunHeader} = run;
    const {dialect, bufferedAnswerBytes} = this.#options;
    const {statusCode: status, body} = response;
    const verdict = dialect.judgeAnswer(status, response.headers, notRunHeader);
    const echoed = response.headers[dialect.requestNameHeader];
    const isForeign = echoed !== undefined && echoed !== run.attemptName;
    if (isForeign || verdict.isMalformed) {
      body.on('error', () => undefined).destroy();
      this.#options.count('server.malformed', {reason: isForeign ? 'foreign' : 'unsigned'});
      const failure = 'malformed';
      this.#options.tell({type: 'attemptFailed', requestId, attempt, failure, mayHaveRun: true});
      return;
    }
    const dropped = dialect.droppedAnswerHeaders(notRunHeader);
    const headers = endToEndHeaders(response.headers, dropped);
    const whole = await bufferAnswer(body, {
      maxBytes: bufferedAnswerBytes,
      wasBroken: () => connection.wasReset,
    });
    const isUnframed =
      response.headers['content-length'] === undefined &&
      response.headers['transfer-encoding'] === undefined;
    this.#options.answer(requestId, {attempt, status, headers, body: whole, isUnframed});
    const {saidNotRun, isMisdirected} = verdict;
    this.#options.tell({
      type: 'attemptAnswered',
      requestId,
      attempt,
      status,
      saidNotRun,
      isMisdirected,
    });
  }

  /** Tells the core to which servers an idle connection is open, where that changed. */
  #tellIdle(): void {
    const idleServerIds: string[] = [];
    for (const [origin, connections] of this.#connections) {
      const serverId = this.#serverIdByOrigin.get(origin);
      if (connections.hasIdle && serverId !== undefined) {
        idleServerIds.push(serverId);
      }
      if (connections.isEmpty) {
        this.#connections.delete(origin);
        this.#serverIdByOrigin.delete(origin);
      }
    }
    const told = idleServerIds.join(' ');
    if (told !== this.#toldIdle) {
      this.#toldIdle = told;
      this.#options.tell({type: 'serverConnections', idleServerIds});
    }
  }

  async #probe({serverId, origin, path, timeoutMs}: SendProbe): Promise<void> {
    const {timers, tell} = this.#options;
    const startedAtMs = timers.nowMs();
    const connections = this.#connectionsTo(origin);
    const connection = connections.acquire();
    let isHealthy = false;
    try {
      const {statusCode, body} = await connection.client.request({
        method: 'GET',
        path,
        headersTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      await body.dump();
      isHealthy = statusCode < 400;
      connections.release(connection);
    } catch (error) {
      connections.discard(connection);
      this.#options.count('probe.failed', {code: codeOf(error)});
    }
    tell({
      type: 'probeAnswered',
      serverId,
      isHealthy,
      latencyMs: timers.nowMs() - startedAtMs,
    });
  }
}
