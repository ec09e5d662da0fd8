import type {FleetDocument} from '@godwitspring/document';
import {answerTable} from '../errors/answerTable.ts';
import type {ErrorKind, Outcome} from '../errors/errorKinds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {KeptAnswer} from '../messages/peerMessages.ts';
import type {AttemptFailure, RequestArrived, WorkOutcome} from '../messages/requestMessages.ts';
import {DocumentIndex} from '../routing/documentIndex.ts';
import {RequestNames} from '../repeats/requestNames.ts';
import {admitRequest, requestName} from './admitRequest.ts';
import {endRequest} from './endRequest.ts';
import {releaseServer} from './releaseServer.ts';
import {DEFAULT_RETRY_BUDGETS_OPTIONS, RetryBudgets} from './retryBudgets.ts';
import type {RetryBudgetsOptions, RetryCause} from './retryBudgets.ts';
import type {RequestState} from './requestState.ts';
import {startAttempt} from './startAttempt.ts';

export interface RequestTaskOptions {
  /** Attempts at one request in all. Default: 3. */
  readonly maxAttempts: number;
  /** Least time left in which an attempt is worth its start, in ms. Default: 5. */
  readonly minAttemptMs: number;
  readonly retryBudgets: RetryBudgetsOptions;
}

export const DEFAULT_REQUEST_TASK_OPTIONS: RequestTaskOptions = {
  maxAttempts: 3,
  minAttemptMs: 5,
  retryBudgets: DEFAULT_RETRY_BUDGETS_OPTIONS,
};

const timerPrefix = 'request:';
/** Time for which a request that may have crashed a server is watched for a good answer, in ms. */
const watchAnswerMs = 60_000;
/** Connections that one request may break before it is not sent again. */
const maxLosses = 2;

interface RefusalOptions {
  readonly retryAfterMs?: number | undefined;
  readonly outcome?: Outcome | undefined;
}

const kindByFailure: Readonly<Record<AttemptFailure, ErrorKind>> = {
  connect: 'connect-failed',
  lost: 'answer-lost',
  timeout: 'answer-timeout',
  malformed: 'answer-malformed',
  caller: 'caller-too-slow',
  'body-limit': 'body-too-large',
};

const workOutcomeByFailure: Readonly<Record<AttemptFailure, WorkOutcome>> = {
  connect: 'unreachable',
  lost: 'lost',
  timeout: 'timeout',
  malformed: 'lost',
  caller: 'cancelled',
  'body-limit': 'cancelled',
};

const causeByOutcome: Readonly<Partial<Record<WorkOutcome, RetryCause>>> = {
  unreachable: 'unreachable',
  shed: 'shed',
};

/** Leads each request from its arrival to its answer or refusal; decides on retries. */
export class RequestTask implements CoreTask {
  readonly accepts = [
    'requestArrived',
    'claimGranted',
    'claimRefused',
    'repeatsBlocked',
    'answerWatched',
    'serverGranted',
    'serverRefused',
    'permitGranted',
    'permitRefused',
    'attemptAnswered',
    'attemptFailed',
    'attemptFinished',
    'callerLeft',
    'timerFired',
    'documentInForce',
    'freshUntil',
    'shutdownWanted',
    'statusWanted',
  ] as const;

  readonly #options: RequestTaskOptions;
  readonly #budgets: RetryBudgets;
  readonly #requests = new Map<number, RequestState>();
  readonly #blocked = new RequestNames();
  readonly #watched = new RequestNames();
  #index: DocumentIndex | undefined;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #isShuttingDown = false;

  constructor(options: Partial<RequestTaskOptions> = {}) {
    this.#options = {...DEFAULT_REQUEST_TASK_OPTIONS, ...options};
    this.#budgets = new RetryBudgets(this.#options.retryBudgets);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'requestArrived':
        return this.#onArrived(message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'freshUntil':
        this.#freshUntilMs = message.untilMs;
        return [];
      case 'repeatsBlocked': {
        const {customerId, routeId, requestDigest, untilMs} = message;
        this.#blocked.add(requestName(customerId, routeId, requestDigest), untilMs);
        return [];
      }
      case 'answerWatched': {
        const {customerId, routeId, requestDigest} = message;
        this.#watched.add(requestName(customerId, routeId, requestDigest), nowMs + watchAnswerMs);
        return [];
      }
      case 'shutdownWanted':
        this.#isShuttingDown = true;
        return [];
      case 'timerFired':
        return this.#onTimer(message.timerId, nowMs);
      case 'statusWanted': {
        const value = {
          inProgress: this.#requests.size,
          isReady:
            this.#index !== undefined && nowMs <= this.#freshUntilMs && !this.#isShuttingDown,
          freshForMs: Math.max(0, this.#freshUntilMs - nowMs),
        };
        return [{type: 'statusTold', askId: message.askId, section: 'requests', value}];
      }
      default:
        return this.#onProgress(message, nowMs);
    }
  }

  #onProgress(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    const request = 'requestId' in message ? this.#requests.get(message.requestId) : undefined;
    if (request === undefined) {
      return [];
    }
    switch (message.type) {
      case 'claimGranted':
        return request.phase === 'claim' ? this.#begin(request) : [];
      case 'claimRefused':
        return this.#onClaimRefused(request, message.kind, message.answer);
      case 'serverGranted':
        return this.#onServer(request, message.serverId, message.origin, nowMs);
      case 'serverRefused':
        return this.#refuse(request, message.kind);
      case 'permitGranted':
        return this.#onPermit(request, message.usableUntilMs, nowMs);
      case 'permitRefused':
        return this.#onPermitRefused(request, message.kind, message.retryAfterMs);
      case 'attemptAnswered':
        return this.#onAnswered(request, message, nowMs);
      case 'attemptFailed':
        return this.#onFailed(request, message, nowMs);
      case 'attemptFinished':
        return this.#onFinished(request, message.attempt, message.answer, nowMs);
      case 'callerLeft':
        return this.#onCallerLeft(request);
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#index = new DocumentIndex(document);
    return [];
  }

  #onArrived(message: RequestArrived, nowMs: number): readonly CoreMessage[] {
    const {requestId} = message;
    const request = admitRequest(message, {
      index: this.#index,
      isFresh: nowMs <= this.#freshUntilMs,
      isShuttingDown: this.#isShuttingDown,
      minAttemptMs: this.#options.minAttemptMs,
      isBlocked: (name) => this.#blocked.has(name, nowMs),
      nowMs,
    });
    if (typeof request === 'string') {
      return this.#refuseAtOnce(requestId, request);
    }
    this.#requests.set(requestId, request);
    this.#budgets.earn();
    const timerId = `${timerPrefix}${requestId}`;
    return [
      {type: 'timerWanted', timerId, atMs: request.deadlineAtMs},
      ...(this.#claim(request) ?? this.#begin(request)),
    ];
  }

  /** Asks the keepers of the idempotency key first, where a second run would do harm. */
  #claim(request: RequestState): readonly CoreMessage[] | undefined {
    const {requestId, customerId, idempotencyKey, requestDigest, deadlineAtMs} = request;
    if (request.isIdempotent || idempotencyKey === undefined || customerId === undefined) {
      return undefined;
    }
    const wanted = {requestId, customerId, idempotencyKey, requestDigest, deadlineAtMs};
    return [{type: 'claimWanted', ...wanted}];
  }

  #begin(request: RequestState): readonly CoreMessage[] {
    const {requestId, customerId} = request;
    const server = this.#wantServer(request);
    return customerId === undefined
      ? [server]
      : [{type: 'permitForeseen', requestId, customerId}, server];
  }

  #wantServer(request: RequestState): CoreMessage {
    request.phase = 'server';
    return {
      type: 'serverWanted',
      requestId: request.requestId,
      backendId: request.backend.id,
      customerId: request.customerId,
      isRepeatable: request.isIdempotent && request.isReplayable,
      excludedServerIds: [...request.excludedServerIds],
      deadlineAtMs: request.deadlineAtMs,
    };
  }

  #onServer(
    request: RequestState,
    serverId: string,
    origin: string,
    nowMs: number,
  ): readonly CoreMessage[] {
    request.serverId = serverId;
    request.origin = origin;
    if (nowMs > this.#freshUntilMs) {
      return this.#refuse(request, 'host-not-current');
    }
    if (request.isPermitted || request.customerId === undefined) {
      return [startAttempt(request, nowMs)];
    }
    request.phase = 'permit';
    const {requestId, customerId, deadlineAtMs} = request;
    return [{type: 'permitWanted', requestId, customerId, deadlineAtMs}];
  }

  #onPermit(request: RequestState, usableUntilMs: number, nowMs: number): readonly CoreMessage[] {
    if (request.phase !== 'permit' || request.customerId === undefined) {
      return [];
    }
    if (nowMs > this.#freshUntilMs) {
      return this.#refuse(request, 'host-not-current');
    }
    const {requestId, customerId, deadlineAtMs} = request;
    if (nowMs > usableUntilMs) {
      return [{type: 'permitWanted', requestId, customerId, deadlineAtMs}];
    }
    if (this.#index?.customer(customerId) === undefined) {
      return this.#refuse(request, 'key-unknown');
    }
    request.isPermitted = true;
    return [startAttempt(request, nowMs)];
  }

  #onPermitRefused(
    request: RequestState,
    kind: ErrorKind,
    retryAfterMs: number | undefined,
  ): readonly CoreMessage[] {
    const isWaiting = request.phase === 'permit' || request.phase === 'server';
    return isWaiting && !request.isPermitted ? this.#refuse(request, kind, {retryAfterMs}) : [];
  }

  #onAnswered(
    request: RequestState,
    message: {attempt: number; status: number; saidNotRun: boolean},
    nowMs: number,
  ): readonly CoreMessage[] {
    if (request.phase !== 'attempt' || message.attempt !== request.attempt) {
      return [];
    }
    request.headLatencyMs = nowMs - request.attemptStartedAtMs;
    if (message.saidNotRun) {
      return this.#retryOr(request, 'shed', 'server-shed', nowMs);
    }
    const isFailure = message.status >= 500;
    if (isFailure && request.isIdempotent && this.#canRetry(request, 'failure', nowMs)) {
      request.hasBeenInDoubt = true;
      return this.#retry(request, 'error', 'server-error');
    }
    request.phase = 'delivering';
    request.hasServerFailed = isFailure;
    const {requestId, attempt} = request;
    const deliver: CoreMessage = {type: 'deliverAnswer', requestId, attempt};
    return isFailure ? [deliver, this.#count('server.error', request)] : [deliver];
  }

  #onFailed(
    request: RequestState,
    message: {attempt: number; failure: AttemptFailure; mayHaveRun: boolean},
    nowMs: number,
  ): readonly CoreMessage[] {
    if (message.attempt !== request.attempt) {
      return [];
    }
    request.ranForMs = nowMs - request.attemptStartedAtMs;
    const outcome = workOutcomeByFailure[message.failure];
    if (request.phase === 'delivering') {
      return this.#end(request, outcome);
    }
    const kind = kindByFailure[message.failure];
    if (outcome === 'cancelled') {
      return this.#refuse(request, kind, {outcome: 'unknown'}, outcome);
    }
    if (!message.mayHaveRun) {
      return this.#retryOr(request, outcome, kind, nowMs);
    }
    request.hasBeenInDoubt = true;
    const hasCrashedServers = message.failure === 'lost' && request.losses.length + 1 >= maxLosses;
    if (hasCrashedServers) {
      return this.#refuse(request, 'request-crashes-servers', {}, outcome);
    }
    if (request.isIdempotent) {
      return this.#retryOr(request, outcome, kind, nowMs);
    }
    return this.#refuse(request, kind, {}, outcome);
  }

  /** Retries where allowed; otherwise refuses. */
  #retryOr(
    request: RequestState,
    outcome: WorkOutcome,
    kind: ErrorKind,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (this.#canRetry(request, causeByOutcome[outcome] ?? 'failure', nowMs)) {
      return this.#retry(request, outcome, kind);
    }
    return this.#refuse(request, kind, {}, outcome);
  }

  #canRetry(request: RequestState, cause: RetryCause, nowMs: number): boolean {
    if (!request.isReplayable || request.attempt >= this.#options.maxAttempts) {
      return false;
    }
    if (request.deadlineAtMs - nowMs < this.#options.minAttemptMs) {
      return false;
    }
    return this.#budgets.spend(cause);
  }

  #retry(request: RequestState, outcome: WorkOutcome, reason: string): readonly CoreMessage[] {
    const {requestId, attempt} = request;
    const released = releaseServer(request, outcome);
    return [
      {type: 'discardAnswer', requestId, attempt},
      ...released,
      this.#count(`retry.${reason}`, request),
      this.#wantServer(request),
    ];
  }

  /** Tells that a request that may have crashed a server was answered well. */
  #clear(
    {customerId = '', route, requestDigest}: RequestState,
    nowMs: number,
  ): readonly CoreMessage[] {
    const name = requestName(customerId, route.id, requestDigest);
    if (!this.#watched.has(name, nowMs)) {
      return [];
    }
    this.#watched.delete(name);
    return [{type: 'crashDisproved', customerId, routeId: route.id, requestDigest}];
  }

  #onFinished(
    request: RequestState,
    attempt: number,
    answer: KeptAnswer | undefined,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (request.phase !== 'delivering' || attempt !== request.attempt) {
      return [];
    }
    const {requestId, hasServerFailed} = request;
    return [
      {type: 'claimSettled', requestId, state: 'answered', answer},
      ...this.#end(request, hasServerFailed ? 'error' : 'ok'),
      ...(hasServerFailed ? [] : this.#clear(request, nowMs)),
      this.#count('request.answered', request),
    ];
  }

  #onClaimRefused(
    request: RequestState,
    kind: ErrorKind,
    answer: KeptAnswer | undefined,
  ): readonly CoreMessage[] {
    if (request.phase !== 'claim') {
      return [];
    }
    if (answer === undefined) {
      return this.#refuse(request, kind);
    }
    const {requestId} = request;
    const count = this.#count('request.replayed', request);
    return [...this.#end(request, 'cancelled'), {type: 'replayAnswer', requestId, answer}, count];
  }

  #onCallerLeft(request: RequestState): readonly CoreMessage[] {
    const {requestId, attempt, phase} = request;
    const ended = this.#end(request, 'cancelled');
    const isRunning = phase === 'attempt' || phase === 'delivering';
    return isRunning ? [{type: 'cancelAttempt', requestId, attempt}, ...ended] : ended;
  }

  #onTimer(timerId: string, nowMs: number): readonly CoreMessage[] {
    if (!timerId.startsWith(timerPrefix)) {
      return [];
    }
    const request = this.#requests.get(Number(timerId.slice(timerPrefix.length)));
    if (request === undefined || nowMs < request.deadlineAtMs) {
      return [];
    }
    return this.#onDeadline(request);
  }

  #onDeadline(request: RequestState): readonly CoreMessage[] {
    const {requestId, attempt} = request;
    const cancel: CoreMessage = {type: 'cancelAttempt', requestId, attempt};
    switch (request.phase) {
      case 'claim':
        return this.#refuse(request, 'repeat-unknown');
      case 'server':
        return this.#refuse(request, 'overloaded');
      case 'permit':
        return this.#refuse(request, 'allowance-unavailable');
      case 'attempt':
        request.hasBeenInDoubt = true;
        return [cancel, ...this.#refuse(request, 'answer-timeout', {}, 'timeout')];
      case 'delivering':
        return [cancel, ...this.#end(request, 'timeout')];
    }
  }

  #end(request: RequestState, outcome: WorkOutcome): readonly CoreMessage[] {
    this.#requests.delete(request.requestId);
    return endRequest(request, outcome);
  }

  #refuse(
    request: RequestState,
    kind: ErrorKind,
    {retryAfterMs, outcome}: RefusalOptions = {},
    workOutcome: WorkOutcome = 'cancelled',
  ): readonly CoreMessage[] {
    const ended = this.#end(request, workOutcome);
    const told = request.hasBeenInDoubt ? 'unknown' : (outcome ?? answerTable[kind].outcome);
    return [
      ...ended,
      ...this.#refuseAtOnce(request.requestId, kind, {retryAfterMs, outcome: told}),
    ];
  }

  #refuseAtOnce(
    requestId: number,
    kind: ErrorKind,
    options: RefusalOptions = {},
  ): readonly CoreMessage[] {
    const {outcome, retryAfterMs} = options;
    const answer = answerTable[kind];
    return [
      {
        type: 'refuseRequest',
        requestId,
        kind,
        outcome: outcome ?? answer.outcome,
        retryAfterMs: retryAfterMs ?? answer.retryAfterMs,
      },
      {type: 'count', name: 'request.refused', tags: {kind}},
    ];
  }

  #count(name: string, request: RequestState): CoreMessage {
    return {type: 'count', name, tags: {route: request.route.id}};
  }
}
