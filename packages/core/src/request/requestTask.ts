import type {FleetDocument} from '@godwitspring/document';
import {answerTable} from '../errors/answerTable.ts';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {KeptAnswer} from '../messages/peerMessages.ts';
import type {AttemptFailure, RequestArrived} from '../messages/requestMessages.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import {RequestNames} from '../repeats/requestNames.ts';
import {DocumentIndex} from '../routing/documentIndex.ts';
import type {RandomSource} from '../time/randomSource.ts';
import {SeededRandom} from '../time/seededRandom.ts';
import {admitRequest, requestKey} from './admitRequest.ts';
import {
  causeByOutcome,
  failureOutcome,
  kindByFailure,
  workOutcomeByFailure,
} from './attemptEnds.ts';
import {cancelOthers, endRequest} from './endRequest.ts';
import {releaseServer, withdrawRequest} from './releaseServer.ts';
import type {AttemptState, GrantedServer, RequestState} from './requestState.ts';
import {
  countFor,
  refuseAtOnce,
  reportAnswered,
  reportAttemptFailed,
  reportCallerLeft,
  reportDelivering,
  reportNotAdmitted,
  reportRefused,
  reportStarted,
} from './requestReport.ts';
import type {RefusalOptions} from './requestReport.ts';
import {RetryBudgets} from './retryBudgets.ts';
import type {RetryCause, RetryGuard} from './retryGuard.ts';
import {startAttempt} from './startAttempt.ts';

export interface RequestTaskOptions {
  /** Servers to which one request may be sent where its route does not say. Default: 3. */
  readonly maxAttempts: number;
  /** Least time left in which an attempt is worth its start, in ms. Default: 5. */
  readonly minAttemptMs: number;
  /** Who decides on retries. Default: budgets of this host. */
  readonly retryGuard: RetryGuard;
  /** True where routes that are open to all need a fresh view too. Default: true. */
  readonly isFreshnessForAll: boolean;
  /**
   * True where a request is refused as soon as the time that its caller gave is over. False leaves it to
   * server and caller, which both know that time, to end an attempt that runs. Default: true.
   */
  readonly endsAtCallerDeadline: boolean;
  /** Divides requests among the backends of a route. Default: a fixed seed. */
  readonly random: RandomSource;
}

const timerPrefix = 'request:';
const secondPrefix = 'second:';
/** Time for which a request that may have crashed a server is watched for a good answer, in ms. */
const watchAnswerMs = 60_000;
/** Connections that one request may break before it is not sent again. */
const maxLosses = 2;
/** Servers that one request may fail to reach before it is refused, besides its attempts: half of the ways may be cut. */
const maxUnreached = 4;

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
    'leavingSoon',
    'statusWanted',
  ] as const;

  readonly #options: RequestTaskOptions;
  readonly #requests = new Map<number, RequestState>();
  readonly #blocked = new RequestNames();
  readonly #watched = new RequestNames();
  #index: DocumentIndex | undefined;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #isShuttingDown = false;
  #isLeaving = false;

  constructor({
    maxAttempts = 3,
    minAttemptMs = 5,
    retryGuard = new RetryBudgets(),
    isFreshnessForAll = true,
    endsAtCallerDeadline = true,
    random = new SeededRandom(1),
  }: Partial<RequestTaskOptions> = {}) {
    this.#options = {
      maxAttempts,
      minAttemptMs,
      retryGuard,
      isFreshnessForAll,
      endsAtCallerDeadline,
      random,
    };
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
        this.#blocked.add(requestKey(customerId, routeId, requestDigest), untilMs);
        return [];
      }
      case 'answerWatched': {
        const {customerId, routeId, requestDigest} = message;
        this.#watched.add(requestKey(customerId, routeId, requestDigest), nowMs + watchAnswerMs);
        return [];
      }
      case 'shutdownWanted':
        this.#isShuttingDown = true;
        return [];
      case 'leavingSoon':
        this.#isLeaving = true;
        return [];
      case 'timerFired':
        return this.#onTimer(message.timerId, nowMs);
      case 'statusWanted':
        return [this.#status(message.askId, nowMs)];
      default:
        return this.#onProgress(message, nowMs);
    }
  }

  #status(askId: number, nowMs: number): CoreMessage {
    const isLeaving = this.#isShuttingDown || this.#isLeaving;
    const value = {
      inProgress: this.#requests.size,
      isReady: this.#index !== undefined && nowMs <= this.#freshUntilMs && !isLeaving,
      freshForMs: Math.max(0, this.#freshUntilMs - nowMs),
    };
    return {type: 'statusTold', askId, section: 'requests', value};
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
        return this.#onClaimRefused(request, message.kind, message.answer, nowMs);
      case 'serverGranted': {
        const {serverId, origin, secondAfterMs, needsNewConnection = false} = message;
        const granted = {serverId, origin, secondAfterMs, needsNewConnection};
        return this.#onServer(request, granted, nowMs);
      }
      case 'serverRefused':
        return this.#onServerRefused(request, message.kind, message.retryAfterMs, nowMs);
      case 'permitGranted':
        return this.#onPermit(request, message.usableUntilMs, nowMs);
      case 'permitRefused':
        return this.#onPermitRefused(request, message.kind, message.retryAfterMs, nowMs);
      case 'attemptAnswered':
        return this.#onAnswered(request, message, nowMs);
      case 'attemptFailed':
        return this.#onFailed(request, message, nowMs);
      case 'attemptFinished':
        return this.#onFinished(request, message.attempt, message.answer, nowMs);
      case 'callerLeft':
        return this.#onCallerLeft(request, nowMs);
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#index = new DocumentIndex(document);
    const {callerLimits} = document;
    return callerLimits === undefined ? [] : [{type: 'limitCallers', limits: callerLimits}];
  }

  #onArrived(message: RequestArrived, nowMs: number): readonly CoreMessage[] {
    const {requestId} = message;
    const request = admitRequest(message, {
      index: this.#index,
      isFresh: nowMs <= this.#freshUntilMs,
      isFreshnessForAll: this.#options.isFreshnessForAll,
      isShuttingDown: this.#isShuttingDown,
      minAttemptMs: this.#options.minAttemptMs,
      isBlocked: (name) => this.#blocked.has(name, nowMs),
      random: this.#options.random,
      nowMs,
    });
    if (typeof request === 'string') {
      const view = {
        version: this.#index?.document.version,
        freshForMs: this.#freshUntilMs - nowMs,
      };
      return [...refuseAtOnce(requestId, request), reportNotAdmitted(message, request, view)];
    }
    this.#requests.set(requestId, request);
    this.#options.retryGuard.earn();
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
    const {requestId, customerId, requestName} = request;
    request.phase = 'server';
    const server = this.#wantServer(request);
    return customerId === undefined
      ? [server]
      : [{type: 'permitForeseen', requestId, customerId, requestName}, server];
  }

  #wantServer(request: RequestState): CoreMessage {
    const tried = [...request.running.values()].map(({serverId}) => serverId);
    return {
      type: 'serverWanted',
      requestId: request.requestId,
      backendId: request.backend.id,
      customerId: request.customerId,
      isRepeatable: request.isIdempotent && request.isReplayable,
      excludedServerIds: [...request.excludedServerIds, ...tried],
      deadlineAtMs: request.deadlineAtMs,
      routeId: request.route.id,
      isRepeat: request.isNextARepeat || tried.length > 0,
      priority: request.priority,
      requestDigest: request.requestDigest,
      requestName: request.requestName,
      bodyBytes: request.bodyBytes,
    };
  }

  #onServer(request: RequestState, granted: GrantedServer, nowMs: number): readonly CoreMessage[] {
    if (request.phase === 'attempt' && request.isSecondWanted) {
      return this.#start(request, granted, nowMs);
    }
    request.granted = granted;
    if (request.phase !== 'server') {
      return withdrawRequest(request);
    }
    if (this.#isStale(request, nowMs)) {
      return this.#refuse(request, 'host-not-current', nowMs);
    }
    if (request.isPermitted || request.customerId === undefined) {
      return this.#start(request, granted, nowMs);
    }
    request.phase = 'permit';
    const {requestId, customerId, deadlineAtMs} = request;
    return [{type: 'permitWanted', requestId, customerId, deadlineAtMs}];
  }

  #isStale(request: RequestState, nowMs: number): boolean {
    const isBound = this.#options.isFreshnessForAll || request.customerId !== undefined;
    return isBound && nowMs > this.#freshUntilMs;
  }

  #start(request: RequestState, granted: GrantedServer, nowMs: number): readonly CoreMessage[] {
    const started = startAttempt(request, granted, nowMs);
    const {requestId, isIdempotent, isReplayable} = request;
    const messages: CoreMessage[] = [started, ...reportStarted(request, started, nowMs)];
    const {secondAfterMs} = granted;
    if (secondAfterMs !== undefined && isIdempotent && isReplayable && request.running.size === 1) {
      const timerId = `${secondPrefix}${requestId}:${started.attempt}`;
      messages.push({type: 'timerWanted', timerId, atMs: nowMs + secondAfterMs});
    }
    return messages;
  }

  /** Without a server for a second attempt the first goes on alone. */
  #onServerRefused(
    request: RequestState,
    kind: ErrorKind,
    retryAfterMs: number | undefined,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (request.running.size > 0 && request.isSecondWanted) {
      request.isSecondWanted = false;
      return [countFor('second.refused', request)];
    }
    return this.#refuse(request, kind, nowMs, {retryAfterMs});
  }

  #onPermit(request: RequestState, usableUntilMs: number, nowMs: number): readonly CoreMessage[] {
    const {granted, requestId, customerId, deadlineAtMs} = request;
    if (request.phase !== 'permit' || customerId === undefined || granted === undefined) {
      return [];
    }
    if (nowMs > this.#freshUntilMs) {
      return this.#refuse(request, 'host-not-current', nowMs);
    }
    if (nowMs > usableUntilMs) {
      return [{type: 'permitWanted', requestId, customerId, deadlineAtMs}];
    }
    if (this.#index?.customer(customerId) === undefined) {
      return this.#refuse(request, 'key-unknown', nowMs);
    }
    request.isPermitted = true;
    return this.#start(request, granted, nowMs);
  }

  #onPermitRefused(
    request: RequestState,
    kind: ErrorKind,
    retryAfterMs: number | undefined,
    nowMs: number,
  ): readonly CoreMessage[] {
    const isWaiting = request.phase === 'permit' || request.phase === 'server';
    return isWaiting && !request.isPermitted
      ? this.#refuse(request, kind, nowMs, {retryAfterMs})
      : [];
  }

  #onAnswered(
    request: RequestState,
    message: {
      attempt: number;
      status: number;
      saidNotRun: boolean;
      isMisdirected?: boolean | undefined;
    },
    nowMs: number,
  ): readonly CoreMessage[] {
    const running = request.running.get(message.attempt);
    if (request.phase !== 'attempt' || running === undefined) {
      return [];
    }
    running.headLatencyMs = nowMs - running.startedAtMs;
    if (message.saidNotRun) {
      const outcome = message.isMisdirected === true ? 'misdirected' : 'shed';
      return this.#retryOr(request, running, outcome, 'server-shed', nowMs);
    }
    const isFailure = message.status >= 500;
    if (isFailure && request.isIdempotent) {
      if (request.running.size > 1 || this.#canRetry(request, 'failure', nowMs)) {
        request.hasBeenInDoubt = true;
        return this.#retry(request, running, failureOutcome(message.status), 'server-error', nowMs);
      }
    }
    return this.#deliver(request, running, message.status, nowMs);
  }

  #deliver(
    request: RequestState,
    running: AttemptState,
    status: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {requestId} = request;
    const {attempt} = running;
    request.phase = 'delivering';
    request.serverFailure = status >= 500 ? failureOutcome(status) : undefined;
    const messages: CoreMessage[] = [
      ...cancelOthers(request, attempt, nowMs),
      ...(request.isSecondWanted ? withdrawRequest(request) : []),
      {type: 'deliverAnswer', requestId, attempt},
      reportDelivering(request, running, status, nowMs),
    ];
    request.isSecondWanted = false;
    const isFailure = request.serverFailure !== undefined;
    return isFailure ? [...messages, countFor('server.error', request)] : messages;
  }

  #onFailed(
    request: RequestState,
    message: {attempt: number; failure: AttemptFailure; mayHaveRun: boolean},
    nowMs: number,
  ): readonly CoreMessage[] {
    const running = request.running.get(message.attempt);
    if (running === undefined) {
      return [];
    }
    const outcome = workOutcomeByFailure[message.failure];
    if (request.phase === 'delivering') {
      return this.#end(request, outcome, nowMs);
    }
    const kind = kindByFailure[message.failure];
    if (outcome === 'cancelled') {
      return this.#refuse(request, kind, nowMs, {outcome: 'unknown'}, outcome);
    }
    if (!message.mayHaveRun) {
      return this.#retryOr(request, running, outcome, kind, nowMs);
    }
    request.hasBeenInDoubt = true;
    if (request.running.size > 1) {
      return this.#retry(request, running, outcome, kind, nowMs);
    }
    const hasCrashedServers = message.failure === 'lost' && request.losses.length + 1 >= maxLosses;
    if (hasCrashedServers) {
      return this.#refuse(request, 'request-crashes-servers', nowMs, {}, outcome);
    }
    if (request.isIdempotent) {
      return this.#retryOr(request, running, outcome, kind, nowMs);
    }
    return this.#refuse(request, kind, nowMs, {}, outcome);
  }

  /** Lets another attempt go on, else retries where allowed, else refuses. */
  #retryOr(
    request: RequestState,
    running: AttemptState,
    outcome: WorkOutcome,
    kind: ErrorKind,
    nowMs: number,
  ): readonly CoreMessage[] {
    const cause = causeByOutcome[outcome] ?? 'failure';
    if (request.running.size > 1 || this.#canRetry(request, cause, nowMs)) {
      return this.#retry(request, running, outcome, kind, nowMs);
    }
    return this.#refuse(request, kind, nowMs, {}, outcome);
  }

  #canRetry(request: RequestState, cause: RetryCause, nowMs: number): boolean {
    const {maxAttempts, minAttemptMs, retryGuard} = this.#options;
    const {attempt, unreached, route} = request;
    const reached = attempt - unreached - (cause === 'unreachable' ? 1 : 0);
    const isSpent = reached >= (route.maxAttempts ?? maxAttempts) || unreached >= maxUnreached;
    if (!request.isReplayable || isSpent) {
      return false;
    }
    if (request.deadlineAtMs - nowMs < minAttemptMs) {
      return false;
    }
    return retryGuard.spend(cause);
  }

  /** Gives a failed attempt's server back; wants another one unless an attempt runs or is wanted. */
  #retry(
    request: RequestState,
    running: AttemptState,
    outcome: WorkOutcome,
    reason: string,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {requestId} = request;
    const messages: CoreMessage[] = [
      {type: 'discardAnswer', requestId, attempt: running.attempt},
      ...releaseServer(request, running, outcome, nowMs),
      reportAttemptFailed(request, running, outcome, nowMs),
    ];
    if (request.running.size > 0) {
      return messages;
    }
    if (!request.isSecondWanted) {
      request.isNextARepeat ||= outcome !== 'unreachable';
      messages.push({type: 'requestWithdrawn', requestId}, this.#wantServer(request));
    }
    request.isSecondWanted = false;
    request.phase = 'server';
    return [...messages, countFor(`retry.${reason}`, request)];
  }

  /** Tells that a request that may have crashed a server was answered well. */
  #clear(
    {customerId = '', route, requestDigest}: RequestState,
    nowMs: number,
  ): readonly CoreMessage[] {
    const name = requestKey(customerId, route.id, requestDigest);
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
    const running = request.running.get(attempt);
    if (request.phase !== 'delivering' || running === undefined) {
      return [];
    }
    const {requestId, serverFailure} = request;
    return [
      {type: 'claimSettled', requestId, state: 'answered', answer},
      ...releaseServer(request, running, serverFailure ?? 'ok', nowMs),
      ...this.#end(request, 'ok', nowMs),
      ...(serverFailure === undefined ? this.#clear(request, nowMs) : []),
      ...reportAnswered(request, running, nowMs),
    ];
  }

  #onClaimRefused(
    request: RequestState,
    kind: ErrorKind,
    answer: KeptAnswer | undefined,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (request.phase !== 'claim') {
      return [];
    }
    if (answer === undefined) {
      return this.#refuse(request, kind, nowMs);
    }
    const {requestId} = request;
    const count = countFor('request.replayed', request);
    return [
      ...this.#end(request, 'cancelled', nowMs),
      {type: 'replayAnswer', requestId, answer},
      count,
    ];
  }

  #onCallerLeft(request: RequestState, nowMs: number): readonly CoreMessage[] {
    const reports = reportCallerLeft(request, nowMs);
    return [...this.#end(request, 'cancelled', nowMs), ...reports];
  }

  #onTimer(timerId: string, nowMs: number): readonly CoreMessage[] {
    if (timerId.startsWith(secondPrefix)) {
      const [requestId, attempt] = timerId.slice(secondPrefix.length).split(':');
      return this.#onLate(Number(requestId), Number(attempt), nowMs);
    }
    if (!timerId.startsWith(timerPrefix)) {
      return [];
    }
    const request = this.#requests.get(Number(timerId.slice(timerPrefix.length)));
    if (request === undefined || nowMs < request.deadlineAtMs) {
      return [];
    }
    return this.#onDeadline(request, nowMs);
  }

  /** Joins an attempt that is late by a second one on another server. */
  #onLate(requestId: number, attempt: number, nowMs: number): readonly CoreMessage[] {
    const request = this.#requests.get(requestId);
    const isAlone = request?.running.has(attempt) === true && request.running.size === 1;
    if (request?.phase !== 'attempt' || !isAlone || !this.#canRetry(request, 'failure', nowMs)) {
      return [];
    }
    request.isSecondWanted = true;
    return [this.#wantServer(request), countFor('second.late', request)];
  }

  #onDeadline(request: RequestState, nowMs: number): readonly CoreMessage[] {
    switch (request.phase) {
      case 'claim':
        return this.#refuse(request, 'repeat-unknown', nowMs);
      case 'server':
        return this.#refuse(request, 'overloaded', nowMs);
      case 'permit':
        return this.#refuse(request, 'allowance-unavailable', nowMs);
      case 'attempt': {
        const timeoutAtMs = request.arrivedAtMs + request.route.timeoutMs;
        if (!this.#options.endsAtCallerDeadline && nowMs < timeoutAtMs) {
          const timerId = `${timerPrefix}${request.requestId}`;
          return [{type: 'timerWanted', timerId, atMs: timeoutAtMs}];
        }
        request.hasBeenInDoubt = true;
        return this.#refuse(request, 'answer-timeout', nowMs, {}, 'timeout');
      }
      case 'delivering':
        return this.#end(request, 'timeout', nowMs);
    }
  }

  #end(request: RequestState, outcome: WorkOutcome, nowMs: number): readonly CoreMessage[] {
    this.#requests.delete(request.requestId);
    return endRequest(request, outcome, nowMs);
  }

  #refuse(
    request: RequestState,
    kind: ErrorKind,
    nowMs: number,
    {retryAfterMs, outcome}: RefusalOptions = {},
    workOutcome: WorkOutcome = 'cancelled',
  ): readonly CoreMessage[] {
    const serverIds = [...request.running.values()].map(({serverId}) => serverId);
    const ended = this.#end(request, workOutcome, nowMs);
    const told = request.hasBeenInDoubt ? 'unknown' : (outcome ?? answerTable[kind].outcome);
    const refusal = {retryAfterMs, outcome: told};
    return [
      ...ended,
      ...refuseAtOnce(request.requestId, kind, refusal),
      ...reportRefused(request, kind, refusal, serverIds, nowMs),
    ];
  }
}
