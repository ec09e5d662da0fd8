import type {FleetDocument} from '@godwitspring/document';
import {responseTable} from '../errors/responseTable.ts';
import type {ErrorKind} from '../errors/errorKinds.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {ShutdownAnnounced} from '../messages/hostMessages.ts';
import type {StoredResponse} from '../messages/peerMessages.ts';
import type {
  AttemptAnswered,
  AttemptFailed,
  HeadArrived,
  RequestArrived,
} from '../messages/requestMessages.ts';
import {screenHead} from '../intake/screenHead.ts';
import type {ScreeningContext} from '../intake/screenHead.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import {ExpiringKeySet} from './expiringKeySet.ts';
import {DocumentIndex} from '../routing/documentIndex.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {SeededRandom} from '../random/seededRandom.ts';
import {requestKey} from '../poison-requests/requestIdentity.ts';
import type {RequestIdentity} from '../poison-requests/requestIdentity.ts';
import {admitRequest} from './admitRequest.ts';
import {
  retryCauseByOutcome,
  outcomeOfErrorStatus,
  errorKindByFailure,
  outcomeByFailure,
} from './attemptOutcomes.ts';
import {cancelDelivery, cancelOtherAttempts, endRequest} from './endRequest.ts';
import {releaseServer, withdrawRequest} from './releaseServer.ts';
import type {AttemptState, GrantedServer, RequestState} from './requestState.ts';
import {
  countForRoute,
  refusalMessages,
  reportAnswered,
  reportAttemptFailed,
  reportCallerLeft,
  reportDelivering,
  reportIncompleteResponse,
  reportNotAdmitted,
  reportRefused,
  reportStarted,
} from './requestReport.ts';
import type {RefusalOptions} from './requestReport.ts';
import {RetryBudgets} from './retryBudgets.ts';
import type {RetryCause, RetryPolicy} from './retryPolicy.ts';
import {startAttempt} from './startAttempt.ts';

/** Limits and policies of the request task. */
export interface RequestTaskOptions {
  /** Largest number of servers that one request is sent to, unless its route sets a limit. Default: 3. */
  readonly maxAttempts: number;
  /** Least time left before the deadline for an attempt to be started, in ms. Default: 5. */
  readonly minAttemptMs: number;
  /** Decides on retries. Default: retry budgets of this host. */
  readonly retryPolicy: RetryPolicy;
  /** True where requests of routes without a key (`openToAll`) are also refused without a fresh view. Default: true. */
  readonly requiresFreshViewForOpenRoutes: boolean;
  /**
   * True to refuse a request as soon as the caller's time budget is used up. False to let a running attempt
   * go on until the timeout of its route: the server and the caller both know the budget and can end the
   * attempt themselves. Default: true.
   */
  readonly endsAtCallerDeadline: boolean;
  /** Source of the random choice among the backends of a route. Default: a fixed seed. */
  readonly random: RandomSource;
}

const deadlineTimerPrefix = 'request:';
const hedgeTimerPrefix = 'second:';
const shutdownTimerId = 'shutdown';
/** Number of lost connections to servers after which a request is refused as a poison request. */
const maxLostConnections = 2;
/**
 * Number of servers that one request may fail to reach before it is refused.
 *
 * They do not count towards the limit of attempts, because half of the network paths may be cut.
 */
const maxUnreachedAttempts = 4;

function identityOfRequest({
  customerId = '',
  route: {id: routeId},
  requestDigest,
}: RequestState): RequestIdentity {
  return {customerId, routeId, requestDigest};
}

/** Reports that a request got a successful response. */
function reportSucceeded(request: RequestState): readonly CoreMessage[] {
  return request.requestDigest === ''
    ? []
    : [{type: 'requestSucceeded', ...identityOfRequest(request)}];
}

/**
 * Runs the life cycle of every request on its entry host, from arrival to response or refusal.
 *
 * Requests a claim on the idempotency key, a server and a permit from other tasks, starts the attempts, and
 * decides on retries and hedged attempts.
 */
export class RequestTask implements CoreTask {
  readonly accepts = [
    'requestArrived',
    'headArrived',
    'claimGranted',
    'claimRefused',
    'poisonRequestBlocked',
    'poisonRequestCleared',
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
    'shutdownAnnounced',
    'relayChanged',
    'statusWanted',
  ] as const;

  readonly #options: RequestTaskOptions;
  readonly #requests = new Map<number, RequestState>();
  /** Poison requests: requests that crash servers and are refused. */
  readonly #blockedRequests = new ExpiringKeySet();
  #index: DocumentIndex | undefined;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  /** Host that relays the attempts; undefined where this host sends them itself. */
  #relayHostId: string | undefined;
  #isShuttingDown = false;
  /** The shutdown of this host; undefined before it is announced. */
  #shutdown: ShutdownAnnounced | undefined;

  constructor({
    maxAttempts = 3,
    minAttemptMs = 5,
    retryPolicy = new RetryBudgets(),
    requiresFreshViewForOpenRoutes = true,
    endsAtCallerDeadline = true,
    random = new SeededRandom(1),
  }: Partial<RequestTaskOptions> = {}) {
    this.#options = {
      maxAttempts,
      minAttemptMs,
      retryPolicy,
      requiresFreshViewForOpenRoutes,
      endsAtCallerDeadline,
      random,
    };
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'requestArrived':
        return this.#onArrived(message, nowMs);
      case 'headArrived':
        return [this.#screenHead(message, nowMs)];
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'freshUntil':
        this.#freshUntilMs = message.untilMs;
        return [];
      case 'poisonRequestBlocked':
        return this.#onPoisonRequest(message, message.untilMs, nowMs);
      case 'poisonRequestCleared':
        this.#blockedRequests.delete(requestKey(message));
        return [];
      case 'shutdownWanted':
        this.#isShuttingDown = true;
        return [];
      case 'shutdownAnnounced':
        this.#shutdown = message;
        return [{type: 'timerWanted', timerId: shutdownTimerId, atMs: message.endsAtMs}];
      case 'relayChanged':
        this.#relayHostId = message.relayHostId;
        return [];
      case 'timerFired':
        return this.#onTimer(message.timerId, nowMs);
      case 'statusWanted':
        return [this.#reportStatus(message.askId, nowMs)];
      default:
        return this.#onRequestMessage(message, nowMs);
    }
  }

  #reportStatus(askId: number, nowMs: number): CoreMessage {
    const isLeaving = this.#isShuttingDown || this.#shutdown !== undefined;
    const value = {
      inProgress: this.#requests.size,
      isReady: this.#index !== undefined && nowMs <= this.#freshUntilMs && !isLeaving,
      freshForMs: Math.max(0, this.#freshUntilMs - nowMs),
    };
    return {type: 'statusReported', askId, section: 'requests', value};
  }

  /** Handles messages that belong to a request in progress. */
  #onRequestMessage(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    const requestId = 'requestId' in message ? message.requestId : undefined;
    const request = requestId === undefined ? undefined : this.#requests.get(requestId);
    if (request === undefined) {
      return [];
    }
    switch (message.type) {
      case 'claimGranted':
        return request.phase === 'claim' ? this.#requestFirstServer(request) : [];
      case 'claimRefused':
        return this.#onClaimRefused(request, message.kind, message.answer, nowMs);
      case 'serverGranted': {
        const {serverId, origin, secondAfterMs, needsNewConnection = false} = message;
        const granted = {serverId, origin, secondAfterMs, needsNewConnection};
        return this.#onServerGranted(request, granted, nowMs);
      }
      case 'serverRefused':
        return this.#onServerRefused(request, message.kind, message.retryAfterMs, nowMs);
      case 'permitGranted':
        return this.#onPermitGranted(request, message.usableUntilMs, nowMs);
      case 'permitRefused':
        return this.#onPermitRefused(request, message.kind, message.retryAfterMs, nowMs);
      case 'attemptAnswered':
        return this.#onAttemptAnswered(request, message, nowMs);
      case 'attemptFailed':
        return this.#onAttemptFailed(request, message, nowMs);
      case 'attemptFinished':
        return this.#onAttemptFinished(request, message.attempt, message.answer, nowMs);
      case 'callerLeft':
        return this.#onCallerLeft(request, message.isBodyIncomplete ?? false, nowMs);
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#index = new DocumentIndex(document);
    const {callerLimits} = document;
    return callerLimits === undefined ? [] : [{type: 'limitCallers', limits: callerLimits}];
  }

  /** Tells the front end whether to read the body of a request. */
  #screenHead(message: HeadArrived, nowMs: number): CoreMessage {
    const {requestId} = message;
    const accepted = screenHead(message, this.#screeningContext(nowMs));
    return typeof accepted === 'string'
      ? {type: 'headScreened', requestId, isAcceptable: false}
      : {type: 'headScreened', requestId, isAcceptable: true, customerId: accepted.customer?.id};
  }

  #screeningContext(nowMs: number): ScreeningContext {
    return {
      index: this.#index,
      isFresh: nowMs <= this.#freshUntilMs,
      requiresFreshViewForOpenRoutes: this.#options.requiresFreshViewForOpenRoutes,
      isShuttingDown: this.#isShuttingDown,
    };
  }

  #onArrived(message: RequestArrived, nowMs: number): readonly CoreMessage[] {
    const {requestId} = message;
    const request = admitRequest(message, {
      ...this.#screeningContext(nowMs),
      shutdown: this.#shutdown,
      minAttemptMs: this.#options.minAttemptMs,
      isBlocked: (identity) => this.#blockedRequests.has(requestKey(identity), nowMs),
      random: this.#options.random,
      nowMs,
    });
    if (typeof request === 'string') {
      const view = {
        version: this.#index?.document.version,
        freshForMs: this.#freshUntilMs - nowMs,
      };
      return [...refusalMessages(requestId, request), reportNotAdmitted(message, request, view)];
    }
    this.#requests.set(requestId, request);
    this.#options.retryPolicy.recordRequest();
    const timerId = `${deadlineTimerPrefix}${requestId}`;
    return [
      {type: 'timerWanted', timerId, atMs: request.deadlineAtMs},
      ...(this.#requestClaim(request) ?? this.#requestFirstServer(request)),
    ];
  }

  /**
   * Requests a claim on the idempotency key, so that a request that is not idempotent runs only once.
   *
   * Returns undefined where the request needs no claim.
   */
  #requestClaim(request: RequestState): readonly CoreMessage[] | undefined {
    const {requestId, customerId, idempotencyKey, requestDigest, deadlineAtMs} = request;
    if (request.isIdempotent || idempotencyKey === undefined || customerId === undefined) {
      return undefined;
    }
    const claim = {requestId, customerId, idempotencyKey, requestDigest, deadlineAtMs};
    return [{type: 'claimWanted', ...claim}];
  }

  /** Requests a server for the first attempt and announces that a permit will be needed. */
  #requestFirstServer(request: RequestState): readonly CoreMessage[] {
    const {requestId, customerId, requestName} = request;
    request.phase = 'server';
    const server = this.#createServerWanted(request);
    return customerId === undefined
      ? [server]
      : [{type: 'permitExpected', requestId, customerId, requestName}, server];
  }

  #createServerWanted(request: RequestState): CoreMessage {
    const runningServerIds = [...request.running.values()].map(({serverId}) => serverId);
    return {
      type: 'serverWanted',
      requestId: request.requestId,
      backendId: request.backend.id,
      customerId: request.customerId,
      isRepeatable: request.isIdempotent && request.isReplayable,
      excludedServerIds: [...request.excludedServerIds, ...runningServerIds],
      deadlineAtMs: request.deadlineAtMs,
      routeId: request.route.id,
      isRepeat: request.isNextAttemptRetry || runningServerIds.length > 0,
      isCounted: request.attempt > 0 ? true : undefined,
      isHedge: runningServerIds.length > 0 ? true : undefined,
      priority: request.priority,
      requestDigest: request.requestDigest,
      requestName: request.requestName,
      bodyBytes: request.bodyBytes,
    };
  }

  #onServerGranted(
    request: RequestState,
    granted: GrantedServer,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (request.phase === 'attempt' && request.isHedgeRequested) {
      return this.#startAttempt(request, granted, nowMs);
    }
    request.granted = granted;
    if (request.phase !== 'server') {
      return withdrawRequest(request);
    }
    if (this.#isViewStale(request, nowMs)) {
      return this.#refuse(request, 'host-not-current', nowMs);
    }
    if (request.isPermitted || request.customerId === undefined) {
      return this.#startAttempt(request, granted, nowMs);
    }
    request.phase = 'permit';
    const {requestId, customerId, deadlineAtMs} = request;
    return [{type: 'permitWanted', requestId, customerId, deadlineAtMs}];
  }

  #isViewStale(request: RequestState, nowMs: number): boolean {
    const needsFreshView =
      this.#options.requiresFreshViewForOpenRoutes || request.customerId !== undefined;
    return needsFreshView && nowMs > this.#freshUntilMs;
  }

  #startAttempt(
    request: RequestState,
    granted: GrantedServer,
    nowMs: number,
  ): readonly CoreMessage[] {
    const started = startAttempt(request, granted, this.#relayHostId, nowMs);
    const {requestId, isIdempotent, isReplayable} = request;
    const messages: CoreMessage[] = [started, ...reportStarted(request, started, nowMs)];
    const {secondAfterMs} = granted;
    if (secondAfterMs !== undefined && isIdempotent && isReplayable && request.running.size === 1) {
      const timerId = `${hedgeTimerPrefix}${requestId}:${started.attempt}`;
      messages.push({type: 'timerWanted', timerId, atMs: nowMs + secondAfterMs});
    }
    return messages;
  }

  /** Refuses the request; where only a hedged attempt was refused a server, the first attempt goes on. */
  #onServerRefused(
    request: RequestState,
    kind: ErrorKind,
    retryAfterMs: number | undefined,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (request.running.size > 0 && request.isHedgeRequested) {
      request.isHedgeRequested = false;
      return [countForRoute('second.refused', request)];
    }
    if (request.isRetryByHedgeQuery) {
      // The limits on hedged attempts do not apply to the retry that the request needs now.
      request.isRetryByHedgeQuery = false;
      request.isNextAttemptRetry = true;
      return [this.#createServerWanted(request)];
    }
    return this.#refuse(request, kind, nowMs, {retryAfterMs});
  }

  #onPermitGranted(
    request: RequestState,
    usableUntilMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
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
    return this.#startAttempt(request, granted, nowMs);
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

  #onAttemptAnswered(
    request: RequestState,
    message: AttemptAnswered,
    nowMs: number,
  ): readonly CoreMessage[] {
    const running = request.running.get(message.attempt);
    if (request.phase !== 'attempt' || running === undefined) {
      return [];
    }
    running.headLatencyMs = nowMs - running.startedAtMs;
    if (message.reportsNotRun) {
      const outcome = message.isMisdirected === true ? 'misdirected' : 'shed';
      return this.#retryOrRefuse(request, running, outcome, 'server-shed', nowMs);
    }
    const isFailure = message.status >= 500;
    if (isFailure && request.isIdempotent) {
      if (request.running.size > 1 || this.#canRetry(request, 'failure', nowMs)) {
        request.mayHaveRun = true;
        return this.#retry(
          request,
          running,
          outcomeOfErrorStatus(message.status),
          'server-error',
          nowMs,
        );
      }
    }
    return this.#deliverResponse(request, running, message, nowMs);
  }

  #deliverResponse(
    request: RequestState,
    running: AttemptState,
    answered: AttemptAnswered,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {status} = answered;
    const {requestId} = request;
    const {attempt} = running;
    request.phase = 'delivering';
    request.serverFailure = status >= 500 ? outcomeOfErrorStatus(status) : undefined;
    running.isDelivered = true;
    const messages: CoreMessage[] = [
      ...(running.isHedge ? [countForRoute('hedge.won', request)] : []),
      ...cancelOtherAttempts(request, attempt, nowMs),
      ...(request.isHedgeRequested ? withdrawRequest(request) : []),
      {type: 'deliverAnswer', requestId, attempt},
      reportDelivering(request, running, answered, nowMs),
    ];
    request.isHedgeRequested = false;
    const isFailure = request.serverFailure !== undefined;
    return isFailure ? [...messages, countForRoute('server.error', request)] : messages;
  }

  #onAttemptFailed(
    request: RequestState,
    message: AttemptFailed,
    nowMs: number,
  ): readonly CoreMessage[] {
    const running = request.running.get(message.attempt);
    if (running === undefined) {
      return [];
    }
    const report = reportIncompleteResponse(request, running, message, nowMs);
    return [...report, ...this.#continueAfterFailure(request, running, message, nowMs)];
  }

  #continueAfterFailure(
    request: RequestState,
    running: AttemptState,
    message: AttemptFailed,
    nowMs: number,
  ): readonly CoreMessage[] {
    const outcome = outcomeByFailure[message.failure];
    if (request.phase === 'delivering') {
      return this.#endRequest(request, outcome, nowMs);
    }
    const kind = errorKindByFailure[message.failure];
    if (outcome === 'cancelled') {
      request.isInconclusive = true;
      const isOfCaller = message.failure === 'caller' || message.failure === 'body-limit';
      return isOfCaller || request.running.size === 1
        ? this.#refuse(request, kind, nowMs, {outcome: 'unknown'}, outcome)
        : this.#retry(request, running, outcome, kind, nowMs);
    }
    if (!message.mayHaveRun) {
      const {relayHostId} = running;
      const reports: CoreMessage[] =
        message.failure === 'relay' && relayHostId !== undefined
          ? [{type: 'relayFailed', hostId: relayHostId}]
          : [];
      return [...reports, ...this.#retryOrRefuse(request, running, outcome, kind, nowMs)];
    }
    request.mayHaveRun = true;
    if (request.running.size > 1) {
      return this.#retry(request, running, outcome, kind, nowMs);
    }
    const isPoisonRequest =
      message.failure === 'lost' && request.lossReports.length + 1 >= maxLostConnections;
    if (isPoisonRequest) {
      return this.#refuse(request, 'request-crashes-servers', nowMs, {}, outcome);
    }
    if (request.isIdempotent) {
      return this.#retryOrRefuse(request, running, outcome, kind, nowMs);
    }
    return this.#refuse(request, kind, nowMs, {}, outcome);
  }

  /** Ends a failed attempt: continues with another running attempt, else retries if allowed, else refuses. */
  #retryOrRefuse(
    request: RequestState,
    running: AttemptState,
    outcome: AttemptOutcome,
    kind: ErrorKind,
    nowMs: number,
  ): readonly CoreMessage[] {
    const cause = retryCauseByOutcome[outcome] ?? 'failure';
    if (request.running.size > 1 || this.#canRetry(request, cause, nowMs)) {
      return this.#retry(request, running, outcome, kind, nowMs);
    }
    return this.#refuse(request, kind, nowMs, {}, outcome);
  }

  #canRetry(request: RequestState, cause: RetryCause, nowMs: number): boolean {
    const {maxAttempts, minAttemptMs, retryPolicy} = this.#options;
    const {attempt, unreachedAttempts, route} = request;
    const reachedAttempts = attempt - unreachedAttempts - (cause === 'unreachable' ? 1 : 0);
    const isExhausted =
      reachedAttempts >= (route.maxAttempts ?? maxAttempts) ||
      unreachedAttempts >= maxUnreachedAttempts;
    if (!request.isReplayable || isExhausted) {
      return false;
    }
    if (request.deadlineAtMs - nowMs < minAttemptMs) {
      return false;
    }
    if (this.#blockedRequests.has(requestKey(identityOfRequest(request)), nowMs)) {
      return false;
    }
    return retryPolicy.tryAcquireRetry(cause);
  }

  /** Releases the server of a failed attempt; requests another unless an attempt runs or a hedge is requested. */
  #retry(
    request: RequestState,
    running: AttemptState,
    outcome: AttemptOutcome,
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
    if (!request.isHedgeRequested) {
      request.isNextAttemptRetry ||= outcome !== 'unreachable';
      messages.push({type: 'requestWithdrawn', requestId}, this.#createServerWanted(request));
    }
    request.isRetryByHedgeQuery = request.isHedgeRequested && request.backend.hedging !== undefined;
    request.isHedgeRequested = false;
    request.phase = 'server';
    return [...messages, countForRoute(`retry.${reason}`, request)];
  }

  /** Refuses duplicates of a poison request, and those that wait for a server. */
  #onPoisonRequest(
    identity: RequestIdentity,
    untilMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const key = requestKey(identity);
    this.#blockedRequests.add(key, untilMs);
    const messages: CoreMessage[] = [];
    for (const request of [...this.#requests.values()]) {
      const isWaiting = request.phase !== 'attempt' && request.phase !== 'delivering';
      if (isWaiting && requestKey(identityOfRequest(request)) === key) {
        messages.push(...this.#refuse(request, 'request-crashes-servers', nowMs));
      }
    }
    return messages;
  }

  #onAttemptFinished(
    request: RequestState,
    attempt: number,
    answer: StoredResponse | undefined,
    nowMs: number,
  ): readonly CoreMessage[] {
    const running = request.running.get(attempt);
    if (request.phase !== 'delivering' || running === undefined) {
      return [];
    }
    const {requestId, serverFailure} = request;
    return [
      {type: 'claimFinalized', requestId, state: 'answered', answer},
      ...releaseServer(request, running, serverFailure ?? 'ok', nowMs),
      ...this.#endRequest(request, 'ok', nowMs),
      ...(serverFailure === undefined ? reportSucceeded(request) : []),
      ...reportAnswered(request, running, nowMs),
    ];
  }

  #onClaimRefused(
    request: RequestState,
    kind: ErrorKind,
    answer: StoredResponse | undefined,
    nowMs: number,
  ): readonly CoreMessage[] {
    if (request.phase !== 'claim') {
      return [];
    }
    if (answer === undefined) {
      return this.#refuse(request, kind, nowMs);
    }
    const {requestId} = request;
    const count = countForRoute('request.replayed', request);
    return [
      ...this.#endRequest(request, 'cancelled', nowMs),
      {type: 'replayAnswer', requestId, answer},
      count,
    ];
  }

  #onCallerLeft(
    request: RequestState,
    isBodyIncomplete: boolean,
    nowMs: number,
  ): readonly CoreMessage[] {
    request.isInconclusive = isBodyIncomplete;
    const reports = reportCallerLeft(request, nowMs);
    const cancelled = cancelDelivery(request);
    return [...cancelled, ...this.#endRequest(request, 'cancelled', nowMs), ...reports];
  }

  #onTimer(timerId: string, nowMs: number): readonly CoreMessage[] {
    if (timerId === shutdownTimerId) {
      return [...this.#requests.values()].flatMap((request) => this.#onShutdownEnd(request, nowMs));
    }
    if (timerId.startsWith(hedgeTimerPrefix)) {
      const [requestId, attempt] = timerId.slice(hedgeTimerPrefix.length).split(':');
      return this.#onHedgeTimer(Number(requestId), Number(attempt), nowMs);
    }
    if (!timerId.startsWith(deadlineTimerPrefix)) {
      return [];
    }
    const request = this.#requests.get(Number(timerId.slice(deadlineTimerPrefix.length)));
    if (request === undefined || nowMs < request.deadlineAtMs) {
      return [];
    }
    return this.#onDeadline(request, nowMs);
  }

  /** Requests a server for a hedged attempt where the only running attempt is late and a retry is allowed. */
  #onHedgeTimer(requestId: number, attempt: number, nowMs: number): readonly CoreMessage[] {
    const request = this.#requests.get(requestId);
    const isOnlyAttempt = request?.running.has(attempt) === true && request.running.size === 1;
    if (
      request?.phase !== 'attempt' ||
      !isOnlyAttempt ||
      !this.#canRetry(request, 'failure', nowMs)
    ) {
      return [];
    }
    request.isHedgeRequested = true;
    return [this.#createServerWanted(request), countForRoute('second.late', request)];
  }

  /** Refuses or ends a request whose deadline has passed, by the phase that it is in. */
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
          const timerId = `${deadlineTimerPrefix}${request.requestId}`;
          return [{type: 'timerWanted', timerId, atMs: timeoutAtMs}];
        }
        request.mayHaveRun = true;
        return this.#refuse(request, 'answer-timeout', nowMs, {}, 'timeout');
      }
      case 'delivering':
        return this.#endRequest(request, 'timeout', nowMs);
    }
  }

  /** Refuses a request that did not end before the shutdown; a response that is being sent goes on. */
  #onShutdownEnd(request: RequestState, nowMs: number): readonly CoreMessage[] {
    switch (request.phase) {
      case 'claim':
      case 'server':
      case 'permit':
        return this.#refuse(request, 'shutting-down', nowMs);
      case 'attempt':
        request.mayHaveRun = true;
        return this.#refuse(request, 'answer-timeout', nowMs, {}, 'cancelled');
      case 'delivering':
        return [];
    }
  }

  #endRequest(
    request: RequestState,
    outcome: AttemptOutcome,
    nowMs: number,
  ): readonly CoreMessage[] {
    this.#requests.delete(request.requestId);
    return endRequest(request, outcome, nowMs);
  }

  /** Ends a request with a refusal to its caller, and reports it. */
  #refuse(
    request: RequestState,
    kind: ErrorKind,
    nowMs: number,
    {retryAfterMs, outcome}: RefusalOptions = {},
    attemptOutcome: AttemptOutcome = 'cancelled',
  ): readonly CoreMessage[] {
    const serverIds = [...request.running.values()].map(({serverId}) => serverId);
    const ended = this.#endRequest(request, attemptOutcome, nowMs);
    const reportedOutcome = request.mayHaveRun
      ? 'unknown'
      : (outcome ?? responseTable[kind].outcome);
    const refusal = {retryAfterMs, outcome: reportedOutcome};
    return [
      ...ended,
      ...refusalMessages(request.requestId, kind, refusal),
      ...reportRefused(request, kind, refusal, serverIds, nowMs),
    ];
  }
}
