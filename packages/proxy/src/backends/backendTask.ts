import type {AttemptFailure, HostEvent, SendProbe} from '@godwitspring/core';
import {Pool, errors} from 'undici';
import type {PendingAnswer} from '../callers/exchange.ts';
import {endToEndHeaders, requestIdHeader} from '../callers/headers.ts';
import {BodyLimitError, SlowCallerError} from '../errors/hostErrors.ts';
import {Mailbox} from '../task/mailbox.ts';
import type {TimerService} from '../timer/timerService.ts';
import type {BackendCommand, RunAttempt} from './backendMessages.ts';

export interface BackendTaskOptions {
  readonly timers: TimerService;
  /** Connections to one server. Default: 4. */
  readonly connectionsPerServer: number;
  /** Longest wait for a new connection, in ms. Default: 1,000. */
  readonly connectTimeoutMs: number;
  readonly tell: (event: HostEvent) => void;
  readonly answer: (requestId: number, answer: PendingAnswer) => void;
}

export const DEFAULT_BACKEND_TASK_OPTIONS = {
  connectionsPerServer: 4,
  connectTimeoutMs: 1_000,
} as const;

type RequiredBackendTaskOptions = Pick<BackendTaskOptions, 'timers' | 'tell' | 'answer'>;

const unreachableCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const idleConnectionMs = 4_000;

function codeOf(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

function failureOf(error: unknown): {failure: AttemptFailure; mayHaveRun: boolean} {
  if (error instanceof BodyLimitError) {
    return {failure: 'body-limit', mayHaveRun: true};
  }
  if (error instanceof SlowCallerError) {
    return {failure: 'caller', mayHaveRun: true};
  }
  if (unreachableCodes.has(codeOf(error))) {
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
  readonly #pools = new Map<string, Pool>();
  readonly #running = new Map<string, AbortController>();
  readonly #mailbox = new Mailbox<BackendCommand>((command) => {
    this.#take(command);
  });

  constructor(options: Partial<BackendTaskOptions> & RequiredBackendTaskOptions) {
    this.#options = {...DEFAULT_BACKEND_TASK_OPTIONS, ...options};
  }

  post(command: BackendCommand): void {
    this.#mailbox.post(command);
  }

  /** Keeps pools to these servers only; running attempts end first. */
  setOrigins(origins: ReadonlySet<string>): void {
    for (const [origin, pool] of this.#pools) {
      if (!origins.has(origin)) {
        this.#pools.delete(origin);
        void pool.close();
      }
    }
  }

  async stop(): Promise<void> {
    for (const pool of this.#pools.values()) {
      await pool.destroy();
    }
    this.#pools.clear();
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

  #poolOf(origin: string): Pool {
    let pool = this.#pools.get(origin);
    if (pool === undefined) {
      const {connectionsPerServer, connectTimeoutMs} = this.#options;
      pool = new Pool(origin, {
        connections: connectionsPerServer,
        pipelining: 1,
        connect: {timeout: connectTimeoutMs},
        keepAliveTimeout: idleConnectionMs,
        keepAliveMaxTimeout: idleConnectionMs,
        bodyTimeout: 0,
      });
      this.#pools.set(origin, pool);
    }
    return pool;
  }

  async #run(run: RunAttempt): Promise<void> {
    const {requestId, attempt} = run;
    const name = `${requestId}.${attempt}`;
    const controller = new AbortController();
    this.#running.set(name, controller);
    try {
      const response = await this.#poolOf(run.origin).request({
        method: run.method as 'GET',
        path: run.pathAndQuery,
        headers: run.headers,
        body: run.body ?? null,
        signal: controller.signal,
        headersTimeout: Math.ceil(run.timeoutMs),
      });
      const body = response.body.once('close', () => {
        this.#running.delete(name);
      });
      const echoed = response.headers[requestIdHeader];
      if (echoed !== undefined && echoed !== run.attemptName) {
        body.on('error', () => undefined).destroy();
        this.#options.tell({
          type: 'attemptFailed',
          requestId,
          attempt,
          failure: 'malformed',
          mayHaveRun: true,
        });
        return;
      }
      const status = response.statusCode;
      const headers = endToEndHeaders(response.headers, [requestIdHeader, run.notRunHeader]);
      this.#options.answer(requestId, {attempt, status, headers, body});
      const saidNotRun = status >= 500 && response.headers[run.notRunHeader] !== undefined;
      this.#options.tell({
        type: 'attemptAnswered',
        requestId,
        attempt,
        status,
        saidNotRun,
      });
    } catch (error) {
      this.#running.delete(name);
      if (!controller.signal.aborted) {
        this.#options.tell({
          type: 'attemptFailed',
          requestId,
          attempt,
          ...failureOf(error),
        });
      }
    }
  }

  async #probe({serverId, origin, path, timeoutMs}: SendProbe): Promise<void> {
    const {timers, tell} = this.#options;
    const startedAtMs = timers.nowMs();
    let isHealthy = false;
    try {
      const {statusCode, body} = await this.#poolOf(origin).request({
        method: 'GET',
        path,
        headersTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      await body.dump();
      isHealthy = statusCode < 400;
    } catch {
      isHealthy = false;
    }
    tell({
      type: 'probeAnswered',
      serverId,
      isHealthy,
      latencyMs: timers.nowMs() - startedAtMs,
    });
  }
}
