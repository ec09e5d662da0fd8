import type {DiscoveredServer, FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {BackendHedging} from '../hedging/backendHedging.ts';
import {countSlots} from '../hedging/countSlots.ts';
import type {HedgeDecision, HedgeWithheldReason} from '../hedging/hedgingPolicy.ts';
import type {RegisteredServersChanged} from '../messages/hostMessages.ts';
import type {PlaceAsk, PlaceEnded, PlaceHello, PlaceSummary} from '../messages/peerMessages.ts';
import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import type {ServerNotice} from '../messages/serverNotice.ts';
import {ServerAvailability} from './serverAvailability.ts';
import {ServerNotices} from './serverNotices.ts';
import {QueueAdmission} from './queueAdmission.ts';
import {FloorPolicy, isFloorDue, unusedAfterMs} from './floorPolicy.ts';
import {summariseFreeServers} from './freeServerSummary.ts';
import type {FreeServerSummary} from './freeServerSummary.ts';
import {minServers} from './homeScope.ts';
import {NewServerPolicy} from './newServerPolicy.ts';
import {NewServers} from './newServers.ts';
import {RiskCalibration} from './riskCalibration.ts';
import {RiskSurvey} from './riskSurvey.ts';
import {RecentOutcomes} from './recentOutcomes.ts';
import type {
  EntryHost,
  GrantedPlacement,
  PlacementDecision,
  QueueDecision,
} from './placementDecision.ts';
import type {PlacementCandidate, PlacementPolicy, PlacementContext} from './placementPolicy.ts';
import {SuspectPaths} from './suspectPaths.ts';
import {RecentFigure} from './recentFigure.ts';
import {RequestForwarder} from './requestForwarder.ts';
import {RefreshPolicy} from './refreshPolicy.ts';
import {RetryTokenBucket} from './retryTokenBucket.ts';
import {expectedFailure} from './expectedFailure.ts';
import {ExplorationPolicy} from './explorationPolicy.ts';
import {isNoServerUsable, isRiskAccepted} from './riskAcceptance.ts';
import {RouteDurations} from './routeDurations.ts';
import {ServerCandidate} from './serverCandidate.ts';
import {ServerIndex} from './serverIndex.ts';
import {ServerSpeeds} from './serverSpeed.ts';
import {ServerRisk} from './serverRisk.ts';
import type {RunningAttempt} from './serverRisk.ts';
import {LowestRiskPolicy} from './lowestRiskPolicy.ts';
import {UsualFailures} from './usualFailures.ts';
import type {SiblingSummaries} from './siblingSummaries.ts';
import {TrialPolicy} from './trialPolicy.ts';

/** A running attempt with its server. */
interface PlacedAttempt extends RunningAttempt {
  readonly serverId: string;
  /** Attempts that ran on the server when it started; undefined where another home placed it. */
  readonly runningAtStart: number | undefined;
  /** True where it was sent to a server of which nothing was known. */
  readonly isExploration: boolean;
}

/** A candidate that a policy chose, with the name of the policy. */
type ChosenServer = Pick<PlacementCandidate, 'serverId' | 'risk'> & {readonly policy: string};

/**
 * Retry-after sent to callers while every server is above the risk limit, in ms: half of the half-life of
 * suspicion.
 */
const unusableRetryMs = 1_000;
/** Retry-after sent to callers while a backend has no server in service, in ms. */
const noServerRetryMs = 1_000;
/** Used share of the retry budget above which no trial requests are sent. */
const maxRetryUseForTrials = 0.6;
/** Time after its route's timeout at which an attempt whose end was never reported is dropped, in ms. */
const lostOutcomeGraceMs = 500;
/** Time for which figures over all running attempts are used again, in ms: their weights decay over 2 s. */
const overdueValidityMs = 20;
/**
 * Queries in a row that find no acceptable server before the rest of the queue waits for the next sweep. Each end of an
 * attempt serves the queue, so that its cost must not grow with the number that wait.
 */
const maxFailedPlacements = 16;

/** What decides which queries of the queue are worth a look at the single servers. */
interface QueueSummary extends FreeServerSummary {
  readonly isTrialDue: boolean;
  readonly isFloorDue: boolean;
}

/** Customers that a summary lists at most. */
const maxServedCustomers = 32;
/** Share of the wait accepted by a request that has just arrived. */
const justArrived = 0;

/** What a home reports about itself to the other homes of its backend. */
export type HomeSummary = Omit<PlaceSummary, 'type' | 'backendId' | 'dataCentre' | 'isReply'>;

/** The backend and the fleet-wide bounds that its home enforces. */
export interface BackendHomeOptions {
  readonly backendId: string;
  readonly bounds: FleetBounds;
  /** What the backend's homes in other data centres reported; absent where the backend is not divided. */
  readonly siblings?: SiblingSummaries | undefined;
}

/**
 * Home of one backend, which owns it by rendezvous hashing: decides for all hosts of the fleet where each
 * attempt runs, whether it waits, or that it is refused.
 */
export class BackendHome {
  readonly #options: BackendHomeOptions;
  readonly #lowestRiskPolicy: PlacementPolicy = new LowestRiskPolicy();
  readonly #trialPolicy = new TrialPolicy();
  readonly #newServerPolicy: PlacementPolicy = new NewServerPolicy();
  readonly #floorPolicy: PlacementPolicy = new FloorPolicy();
  readonly #explorationPolicy = new ExplorationPolicy();
  readonly #refreshPolicy: PlacementPolicy = new RefreshPolicy();
  readonly #risks = new Map<string, ServerRisk>();
  /** Running attempts by `hostId/askId`, the key of the query that was granted. */
  readonly #attempts = new Map<string, PlacedAttempt>();
  readonly #durations = new RouteDurations();
  readonly #hedging: BackendHedging;
  readonly #recentOutcomes = new RecentOutcomes();
  readonly #retries: RetryTokenBucket;
  readonly #suspectPaths = new SuspectPaths();
  readonly #usualFailures = new UsualFailures();
  readonly #availability: ServerAvailability;
  readonly admission = new QueueAdmission();
  /** Servers in service that are not known to leave. */
  readonly #index = new ServerIndex();
  /** Servers in service by the registry. */
  #registeredServers: readonly DiscoveredServer[] = [];
  /** Departures that servers stated; the registry may tell later, or not at all. */
  readonly #departures = new ServerNotices();
  #lapsedIds: ReadonlySet<string> = new Set();
  readonly #newServers = new NewServers();
  readonly #speeds = new ServerSpeeds();
  readonly #survey: RiskSurvey;
  readonly #calibration: RiskCalibration;
  readonly #forwarder: RequestForwarder;
  readonly #unservedShare: RecentFigure<number>;
  #examinedCandidates = 0;
  /** Attempts granted to each customer since the last summary. */
  readonly #servedByCustomer = new Map<string, number>();
  /** Hosts with an overdue attempt, as of the newest `#unservedShare`. */
  readonly #overdueHostIds = new Set<string>();

  constructor(options: BackendHomeOptions) {
    this.#options = options;
    this.#hedging = new BackendHedging(options.backendId, this.#durations);
    this.#availability = new ServerAvailability(options.bounds);
    const {retryRatio, retryWindowMs, retrySlack} = options.bounds;
    this.#survey = new RiskSurvey({
      riskOf: (serverId) => this.#riskOf(serverId),
      shareAbove: this.#durations.shareAbove,
      limitPerSecond: (serverId) => this.#availability.limitPerSecond(serverId),
    });
    this.#calibration = new RiskCalibration({
      bestLogOdds: (nowMs) => this.#bestLogOdds(nowMs),
      outcomes: (nowMs) => ({
        ended: this.#recentOutcomes.ended(nowMs),
        failedShare: this.#recentOutcomes.failed,
      }),
    });
    this.#unservedShare = new RecentFigure(overdueValidityMs, (nowMs) =>
      this.#recentOutcomes.unservedShare(
        this.#countOverdue(nowMs),
        options.siblings?.outcomes(nowMs),
      ),
    );
    this.#retries = new RetryTokenBucket({
      ratio: retryRatio,
      windowMs: retryWindowMs,
      slack: retrySlack,
    });
    this.#forwarder = new RequestForwarder({
      siblings: options.siblings,
      durations: this.#durations,
      survey: this.#survey,
      recentOutcomes: this.#recentOutcomes,
      hedging: this.#hedging,
      retries: this.#retries,
      index: this.#index,
      admission: this.admission,
    });
  }

  /**
   * Sets the part of the fleet that this home serves, 0 to 1; rates of the whole fleet are used in that
   * proportion.
   */
  setFleetShare(share: number): void {
    this.#availability.setFleetShare(share);
  }

  /** Sets the number of hosts in the fleet, among which the slack of the retry budget is divided. */
  setKnownHosts(count: number): void {
    this.#retries.setKnownHosts(count);
  }

  /** Applies a new version of the configuration document. */
  setDocument(document: FleetDocument): void {
    const backend = document.backends.find(({id}) => id === this.#options.backendId);
    this.#availability.setBackend(backend);
    this.#durations.setDocument(document);
    this.#hedging.setDocument(document);
  }

  /** Applies a new list of servers and drops the state of servers that no longer exist. */
  setServers(
    {servers, lapsedServerIds, outOfService}: RegisteredServersChanged,
    nowMs: number,
  ): void {
    const {backendId} = this.#options;
    this.#lapsedIds = new Set(lapsedServerIds);
    const own = servers.filter((server) => server.backendId === backendId);
    this.#registeredServers = own.filter(
      ({state, dataCentre}) => state === 'in-service' && !outOfService.includes(dataCentre),
    );
    this.#departures.setServers(own, nowMs);
    this.#updateServersInService(nowMs);
    const ownIds = new Set(own.map(({id}) => id));
    for (const [serverId, serverRisk] of this.#risks) {
      if (!ownIds.has(serverId) && serverRisk.runningCount === 0) {
        this.#risks.delete(serverId);
      }
    }
    this.#suspectPaths.retainServers(ownIds);
    this.#speeds.retainServers(ownIds);
    this.#usualFailures.retainServers(ownIds);
    this.#availability.setServers(own, nowMs);
  }

  #updateServersInService(nowMs: number): void {
    const servers = this.#registeredServers.filter(({id}) => !this.#departures.isLeaving(id));
    this.#newServers.setServers(servers, (serverId) => this.#risks.has(serverId), nowMs);
    this.#index.setServers(servers, (serverId) => this.#riskOf(serverId));
    this.#survey.setServers(servers);
  }

  /**
   * Takes a server that said that it leaves out of service. What was said before the server started again under the
   * same id is about the earlier process.
   */
  #recordDeparture(
    serverId: string,
    {isLeaving = false}: ServerNotice,
    statedAtMs: number,
    nowMs: number,
  ): void {
    const isOfEarlierProcess = statedAtMs < this.#departures.restartedAtMs(serverId);
    if (isLeaving && !isOfEarlierProcess && this.#departures.record(serverId, {isLeaving}, nowMs)) {
      this.#updateServersInService(nowMs);
    }
  }

  /** Number of servers in service, for logs and status. */
  get serverCount(): number {
    return this.#index.size;
  }

  /** Attempts that hold a slot of a server, for status. */
  get runningCount(): number {
    return this.#attempts.size;
  }

  /** Servers examined as candidates since this home started: its work for placements. */
  get examinedCandidates(): number {
    return this.#examinedCandidates;
  }

  /** Retries that this home may still grant, for logs. */
  get retriesLeft(): number {
    return this.#retries.left;
  }

  /** Share of the recent attempts that failed, 0 to 1. */
  get failedShare(): number {
    return this.#recentOutcomes.failed;
  }

  /** Places a new query, queues it or refuses it. */
  handleQuery(
    key: string,
    query: PlaceAsk,
    entryHost: EntryHost,
    nowMs: number,
  ): PlacementDecision {
    const reports = query.notices ?? [];
    this.#availability.recordReports(reports, nowMs);
    for (const {serverId, notice, ageMs} of reports) {
      this.#recordDeparture(serverId, notice, nowMs - ageMs, nowMs);
    }
    const isForwarded = query.isForwarded ?? false;
    const hedge = isForwarded ? 'allowed' : this.#decideHedge(query, entryHost, nowMs);
    if (hedge !== 'allowed') {
      return this.#withholdHedge(query, hedge);
    }
    if (this.#exceedsRetryBudget(query)) {
      return this.#refuseRetry(query);
    }
    if (!query.isRepeat && !isForwarded && query.isCounted !== true) {
      this.#retries.recordRequest(entryHost.hostId, nowMs);
      this.#explorationPolicy.recordRequest(query, nowMs);
    }
    if (this.#index.size === 0) {
      const elsewhere = this.#forwarder.tryElsewhere(query, Number.POSITIVE_INFINITY, nowMs);
      return elsewhere ?? {state: 'refused', kind: 'no-server', retryAfterMs: noServerRetryMs};
    }
    const granted = this.admission.mayStartOnArrival(query.priority, nowMs)
      ? this.#tryPlace(key, query, entryHost, nowMs, nowMs)
      : undefined;
    return (
      granted ??
      this.#forwarder.tryElsewhere(query, this.#forwarder.localWaitMs(query, nowMs), nowMs) ??
      this.#withholdWaitingHedge(query) ??
      this.#enqueue(key, query, entryHost, nowMs)
    );
  }

  /**
   * Forwards waiting queries to the homes of other data centres that have free slots, as far as those reach. Called
   * when a summary arrives.
   */
  forwardWaiting(nowMs: number): QueueDecision[] {
    return this.#forwarder.forwardWaiting(nowMs);
  }

  /** True for a retry, other than one that another home allowed, for which the budget has no room. */
  #exceedsRetryBudget({isRepeat, isForwarded}: PlaceAsk): boolean {
    return isRepeat && isForwarded !== true && !this.#retries.hasRoom;
  }

  #refuseRetry({routeId}: PlaceAsk): Extract<PlacementDecision, {state: 'refused'}> {
    return {
      state: 'refused',
      kind: 'overloaded',
      retryAfterMs: this.#durations.medianMs(routeId),
    };
  }

  /** What this home reports to the other homes of its backend; the count of served customers starts anew. */
  takeSummary(nowMs: number): HomeSummary {
    const oldestWaitMs = nowMs - (this.admission.queue.oldestArrivedAtMs ?? nowMs);
    const bestRisk = this.#survey.bestRisk(nowMs);
    let freeSlots = 0;
    let riskSum = 0;
    for (const {server, serverRisk} of this.#index.freeServers) {
      const risk = serverRisk.risk(nowMs, this.#durations.shareAbove);
      const sinceLastStartMs = nowMs - serverRisk.lastStartMs;
      const terms = {risk, sinceLastStartMs, bestRisk, isRepeatable: false};
      const isFree =
        !isNoServerUsable(bestRisk) &&
        isRiskAccepted({...terms, waitedShare: justArrived}) &&
        this.#availability.mayStart(server, serverRisk, nowMs);
      const free = isFree ? server.slots - serverRisk.runningCount : 0;
      freeSlots += free;
      riskSum += free * risk;
    }
    const served = [...this.#servedByCustomer].sort(([, one], [, other]) => other - one);
    this.#servedByCustomer.clear();
    return {
      freeSlots,
      ...(freeSlots === 0 ? {} : {freeRisk: riskSum / freeSlots}),
      usableSlots: this.#survey.usableSlots(nowMs),
      waitingByPriority: this.admission.waitingByPriority,
      oldestWaitMs: Math.round(oldestWaitMs),
      ...this.#recentOutcomes.figures(this.#countOverdue(nowMs), nowMs),
      served: served.slice(0, maxServedCustomers),
    };
  }

  /** Decides whether a hedged attempt may start; `allowed` for other attempts. */
  #decideHedge(query: PlaceAsk, {hostId}: EntryHost, nowMs: number): HedgeDecision {
    if (query.isHedge !== true) {
      return 'allowed';
    }
    const load = {
      retryUsedShare: this.#retries.usedShare(),
      waiting: this.admission.queue.size,
      countSlots: () =>
        countSlots(this.#index.servers, ({server, serverRisk}) => ({
          slots: server.slots,
          risk: serverRisk.risk(nowMs, this.#durations.shareAbove),
          running: serverRisk.runningCount,
          mayStart: this.#availability.mayStart(server, serverRisk, nowMs),
        })),
    };
    return this.#hedging.decide(query, hostId, load, nowMs);
  }

  #withholdHedge({routeId}: PlaceAsk, withheld: HedgeWithheldReason): PlacementDecision {
    const retryAfterMs = this.#durations.medianMs(routeId);
    return {state: 'refused', kind: 'overloaded', retryAfterMs, withheld};
  }

  /** Withholds a hedged attempt that found no server where it may not wait for one; undefined where it may. */
  #withholdWaitingHedge(query: PlaceAsk): PlacementDecision | undefined {
    return query.isHedge === true && !this.#hedging.mayWait(query.routeId)
      ? this.#withholdHedge(query, 'busy')
      : undefined;
  }

  /**
   * Decides on the queue: refuses the queries that can no longer be served in time, and places those for which a
   * server is free now. A sweep looks at all queries; other calls end once several in a row find no acceptable server.
   */
  serveQueue(nowMs: number, {isSweep = false} = {}): QueueDecision[] {
    const maxFailed = isSweep ? Number.POSITIVE_INFINITY : maxFailedPlacements;
    const decisions: QueueDecision[] = [];
    for (const expired of this.admission.removeExpired(nowMs)) {
      const {retryAfterMs, ...queued} = expired;
      decisions.push({...queued, decision: {state: 'refused', kind: 'overloaded', retryAfterMs}});
    }
    let failedInRow = 0;
    let summary = this.#summariseFreeServers(nowMs);
    for (const [key, {entryHost, query, arrivedAtMs}] of this.admission.queue.inOrder(nowMs)) {
      if (this.#index.freeCount === 0 || failedInRow >= maxFailed) {
        break;
      }
      if (!this.#mayFindServer(query, arrivedAtMs, summary, nowMs)) {
        continue;
      }
      if (this.#exceedsRetryBudget(query)) {
        // Others that waited, too, have used what was left of the budget.
        this.admission.remove(key, nowMs);
        decisions.push({
          key,
          entryHost,
          query,
          waitedMs: nowMs - arrivedAtMs,
          decision: this.#refuseRetry(query),
        });
        continue;
      }
      const decision = this.#tryPlace(key, query, entryHost, arrivedAtMs, nowMs);
      if (decision === undefined) {
        failedInRow += 1;
        continue;
      }
      failedInRow = 0;
      summary = this.#summariseFreeServers(nowMs);
      this.admission.remove(key, nowMs);
      decisions.push({key, entryHost, query, waitedMs: nowMs - arrivedAtMs, decision});
    }
    return decisions;
  }

  #summariseFreeServers(nowMs: number): QueueSummary {
    const context = this.#backendContext(nowMs);
    const summary = summariseFreeServers(
      this.#index.freeServers,
      this.#durations.shareAbove,
      nowMs,
    );
    return {
      ...summary,
      isTrialDue: summary.hasTrialServer && this.#trialPolicy.isDue(summary.lowRiskCount, context),
      isFloorDue: summary.longestIdleMs >= unusedAfterMs && isFloorDue(context),
    };
  }

  /** False where none of the free servers suits a query, whichever host sent it. */
  #mayFindServer(
    query: PlaceAsk,
    arrivedAtMs: number,
    summary: QueueSummary,
    nowMs: number,
  ): boolean {
    const isPreferred =
      this.#newServers.isAnyUntried ||
      (summary.isTrialDue && query.isRepeatable && !query.isRepeat) ||
      summary.isFloorDue;
    const best = {risk: summary.lowestRisk, lastStartMs: nowMs - summary.longestIdleMs};
    return isPreferred || this.#isAccepted(best, query, arrivedAtMs, nowMs);
  }

  /** Places a query if a server with an acceptable risk is free. */
  #tryPlace(
    key: string,
    query: PlaceAsk,
    entryHost: EntryHost,
    arrivedAtMs: number,
    nowMs: number,
  ): PlacementDecision | undefined {
    const candidates = this.#candidates(query, entryHost, nowMs);
    const context = this.#context(query, nowMs);
    const isNontrivial = !this.#durations.isTrivial(this.#durations.medianMs(query.routeId));
    const isTrialAllowed = query.isRepeatable && !query.isRepeat && isNontrivial;
    const preferringPolicies = [
      ...(isTrialAllowed ? [this.#trialPolicy] : []),
      ...(query.isRepeat ? [] : [this.#newServerPolicy, this.#explorationPolicy]),
    ];
    for (const policy of preferringPolicies) {
      const preferred = policy.select(candidates, context);
      if (preferred !== undefined) {
        return this.#grant(key, query, entryHost, {...preferred, policy: policy.name}, nowMs);
      }
    }
    const unused = this.#floorPolicy.select(candidates, context);
    if (unused !== undefined && !this.#isPathUncertain(entryHost.hostId, unused.serverId, nowMs)) {
      // The host may not have used its path to the server for long: a new connection shows whether it works.
      const {name: policy} = this.#floorPolicy;
      const decision = this.#grant(key, query, entryHost, {...unused, policy}, nowMs);
      return {...decision, needsNewConnection: !query.isRepeatable};
    }
    for (const policy of [this.#refreshPolicy, this.#lowestRiskPolicy]) {
      const chosen = policy.select(candidates, context);
      if (chosen !== undefined && this.#isAccepted(chosen, query, arrivedAtMs, nowMs)) {
        return (
          this.#forwarder.trySafer(query, chosen.risk, nowMs) ??
          this.#grant(key, query, entryHost, {...chosen, policy: policy.name}, nowMs)
        );
      }
    }
    return undefined;
  }

  /**
   * True where the path from a host to a server may be cut: a server is or was lately silent to the host, or
   * was silent to it while it answered others.
   */
  #isPathUncertain(hostId: string, serverId: string, nowMs: number): boolean {
    return (
      this.#overdueHostIds.has(hostId) ||
      this.#suspectPaths.hadRecentSilence(hostId, nowMs) ||
      this.#suspectPaths.isSuspect(hostId, serverId, nowMs)
    );
  }

  /** True where the attempt should start on this server rather than wait for another one. */
  #isAccepted(
    {risk, lastStartMs}: Pick<PlacementCandidate, 'risk' | 'lastStartMs'>,
    query: PlaceAsk,
    arrivedAtMs: number,
    nowMs: number,
  ): boolean {
    const {isRepeatable, routeId, leftMs, priority} = query;
    // In a congested priority class no request waits for long: one that does not start now is refused.
    const waitedShare = this.admission.isCongested(priority)
      ? 1
      : (nowMs - arrivedAtMs) / this.#durations.maxWaitInTargetMs(routeId, leftMs);
    const sinceLastStartMs = nowMs - lastStartMs;
    const bestRisk = this.#survey.bestRisk(nowMs);
    return isRiskAccepted({risk, sinceLastStartMs, bestRisk, isRepeatable, waitedShare});
  }

  /**
   * Number of running attempts that nearly all responses on their route are faster than. A divided backend counts the
   * others by how likely they are to fail: with work of a long tail, attempts are late only after seconds, in which
   * the unserved share of a sudden failure would stay below the floor's threshold.
   */
  #countOverdue(nowMs: number): number {
    this.#overdueHostIds.clear();
    const isDivided = this.#options.siblings !== undefined;
    let count = 0;
    for (const attempt of this.#attempts.values()) {
      const {routeId, startedAtMs, hostId} = attempt;
      const isLate = this.#isLate(attempt, nowMs);
      if (isLate) {
        this.#overdueHostIds.add(hostId);
      }
      const slowerShare = isDivided ? this.#durations.shareAbove(routeId, nowMs - startedAtMs) : 1;
      count += isLate ? 1 : expectedFailure(slowerShare);
    }
    return count;
  }

  /** Records the end of an attempt; returns false where the attempt is unknown here. */
  finishAttempt(
    key: string,
    {outcome, ranForMs, notice, isInconclusive = false}: PlaceEnded,
    nowMs: number,
  ): boolean {
    const attempt = this.#attempts.get(key);
    if (attempt === undefined) {
      return false;
    }
    this.#attempts.delete(key);
    const {serverId, routeId} = attempt;
    const serverRisk = this.#riskOf(serverId);
    serverRisk.end(key);
    this.#index.update(serverId);
    if (outcome === 'cancelled' && ranForMs === 0) {
      serverRisk.cancelStart(attempt.startedAtMs);
      this.#availability.cancelStart(serverId);
      this.#hedging.cancelStart(key);
      this.#recentOutcomes.recordTurnedAway(nowMs);
      return true;
    }
    if (notice !== undefined) {
      this.#availability.recordNotice(serverId, notice, attempt.startedAtMs, nowMs);
      this.#recordDeparture(serverId, notice, attempt.startedAtMs, nowMs);
    }
    if (!isInconclusive) {
      this.#recordOutcome(serverId, attempt, outcome, ranForMs, nowMs);
    }
    if (attempt.isExploration && outcome !== 'cancelled') {
      this.#explorationPolicy.recordEnd(outcome === 'ok', nowMs);
    }
    this.#hedging.recordEnd(key, {routeId, serverId, outcome, ranForMs}, nowMs);
    this.#recentOutcomes.record(outcome, nowMs);
    if (outcome === 'ok') {
      this.#recordSpeed(attempt, ranForMs, nowMs);
      this.#durations.record(routeId, ranForMs);
    }
    if (outcome === 'misdirected') {
      this.#availability.recordMisdirected(serverId, nowMs);
    }
    return true;
  }

  /** True where speeds of servers decide: with fewer servers there is too little choice among the safe ones. */
  get #isSpeedUsed(): boolean {
    return this.#options.siblings !== undefined || this.#index.size >= minServers;
  }

  #recordSpeed(
    {serverId, routeId, runningAtStart}: PlacedAttempt,
    ranForMs: number,
    nowMs: number,
  ): void {
    const slots = this.#index.slotsOf(serverId);
    if (this.#isSpeedUsed && slots !== undefined && runningAtStart !== undefined) {
      const typicalMs = this.#durations.medianMs(routeId);
      this.#speeds.record(serverId, {ranForMs, typicalMs, runningAtStart, slots}, nowMs);
    }
  }

  /** Expected duration of an attempt that starts now, as a multiple of the typical one, where it is known. */
  #speedFactor(serverId: string, slots: number, nowMs: number): number | undefined {
    return this.#speeds.factor(serverId, this.#riskOf(serverId).runningCount, slots, nowMs);
  }

  /** Typical duration on a route as a share of the time that the target latency leaves beyond it. */
  #slownessWeight(routeId: string, leftMs: number): number {
    if (!this.#isSpeedUsed) {
      return 0;
    }
    return this.#durations.medianMs(routeId) / this.#durations.maxWaitInTargetMs(routeId, leftMs);
  }

  /** Applies the outcome of an attempt to the suspicion against its server and its network path. */
  #recordOutcome(
    serverId: string,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    ranForMs: number,
    nowMs: number,
  ): void {
    if (outcome === 'ok') {
      this.#suspectPaths.recordSuccess(serverId, attempt, nowMs);
    } else if (outcome === 'unreachable' || outcome === 'timeout' || this.#isLate(attempt, nowMs)) {
      this.#suspectPaths.recordSilence(serverId, attempt, nowMs);
    }
    if (outcome !== 'ok' || !this.#durations.isTrivial(ranForMs)) {
      this.#riskOf(serverId).recordOutcome(attempt, outcome, nowMs, this.#durations.shareAbove);
      this.#usualFailures.record(serverId, outcome, nowMs);
    }
    if (outcome !== 'ok') {
      this.#calibration.recordFailure();
    }
  }

  /** True where nearly all responses on the route take less time than this attempt has run. */
  #isLate({routeId, startedAtMs}: RunningAttempt, nowMs: number): boolean {
    return this.#durations.isLate(routeId, nowMs - startedAtMs);
  }

  /**
   * Adds the running attempts and recent outcomes that a host reports to this host as the new home of the
   * backend.
   */
  adoptAttempts(hostId: string, {running, recent}: PlaceHello, nowMs: number): void {
    for (const {askId, serverId, routeId, ageMs} of running) {
      const key = `${hostId}/${askId}`;
      const attempt = {hostId, routeId, startedAtMs: nowMs - ageMs};
      this.#attempts.set(key, {
        ...attempt,
        serverId,
        runningAtStart: undefined,
        isExploration: false,
      });
      this.#riskOf(serverId).start(key, attempt);
      this.#index.update(serverId);
    }
    for (const {serverId, outcome, startedAgoMs, ranForMs} of recent) {
      const attempt = {hostId, routeId: '', startedAtMs: nowMs - startedAgoMs};
      this.#recordOutcome(serverId, attempt, outcome, ranForMs, nowMs);
    }
  }

  /** Drops attempts whose host is gone or whose end was never reported; returns their keys. */
  removeLostAttempts(isAlive: (hostId: string) => boolean, nowMs: number): string[] {
    const lostKeys: string[] = [];
    for (const [key, attempt] of this.#attempts) {
      const {hostId, routeId, startedAtMs} = attempt;
      const overdueMs = this.#durations.timeoutMs(routeId) + lostOutcomeGraceMs;
      if (!isAlive(hostId) || nowMs - startedAtMs > overdueMs) {
        lostKeys.push(key);
        this.#attempts.delete(key);
        this.#hedging.recordLost(key, nowMs);
        this.#risks.get(attempt.serverId)?.end(key);
        this.#index.update(attempt.serverId);
      }
    }
    return lostKeys;
  }

  #grant(
    key: string,
    query: PlaceAsk,
    {hostId}: EntryHost,
    {serverId, risk, policy}: ChosenServer,
    nowMs: number,
  ): GrantedPlacement {
    const {routeId, leftMs} = query;
    const serverRisk = this.#riskOf(serverId);
    const provenAgoMs = nowMs - serverRisk.lastSuccessStartMs;
    const slots = this.#index.slotsOf(serverId) ?? 0;
    const speedFactor = this.#isSpeedUsed ? this.#speedFactor(serverId, slots, nowMs) : undefined;
    const runningAtStart = serverRisk.runningCount;
    const isExploration = policy === this.#explorationPolicy.name;
    const attempt = {
      hostId,
      routeId,
      startedAtMs: nowMs,
      serverId,
      runningAtStart,
      isExploration,
    };
    if (isExploration) {
      this.#explorationPolicy.recordStart();
    }
    this.#attempts.set(key, attempt);
    serverRisk.start(key, attempt);
    this.#index.update(serverId);
    this.#newServers.recordStart(serverId);
    this.#availability.recordStart(serverId, nowMs);
    this.admission.recordGrant(query, nowMs);
    this.#hedging.recordStart(key, query, hostId, nowMs);
    if (this.#options.siblings !== undefined) {
      const {customerId} = query;
      this.#servedByCustomer.set(customerId, (this.#servedByCustomer.get(customerId) ?? 0) + 1);
    }
    if (query.isRepeat && query.isForwarded !== true) {
      this.#retries.recordRetry();
    }
    return {
      state: 'granted',
      serverId,
      policy,
      limitPerSecond: this.#availability.limitPerSecond(serverId),
      risk,
      speedFactor,
      provenAgoMs,
      secondAfterMs: this.#hedging.delayMs({routeId, serverId, risk, leftMs}),
      isHedge: query.isHedge ?? false,
      needsNewConnection: !query.isRepeatable && this.#isPathUncertain(hostId, serverId, nowMs),
    };
  }

  /** Queues a query that found no server; refuses it where no server is usable or no time is left to wait. */
  #enqueue(key: string, query: PlaceAsk, entryHost: EntryHost, nowMs: number): PlacementDecision {
    if (isNoServerUsable(this.#survey.bestRisk(nowMs))) {
      return {state: 'refused', kind: 'no-server', retryAfterMs: unusableRetryMs};
    }
    const {routeId, leftMs} = query;
    const terms = {
      entryHost,
      query,
      maxWaitInTargetMs: this.#durations.maxWaitInTargetMs(routeId, leftMs),
      maxWaitBeforeDeadlineMs: this.#durations.maxWaitBeforeDeadlineMs(routeId, leftMs),
      expectedStartsPerMs: this.#survey.usableStartsPerMs(this.#durations.medianMs(routeId), nowMs),
    };
    const decision = this.admission.admit(key, terms, nowMs);
    return decision.state === 'refused' ? {...decision, kind: 'overloaded'} : decision;
  }

  /**
   * Servers with a free slot that may run the attempt. Servers whose registry entry lapsed are used only where no other may,
   * and those that the host avoids where it avoids all.
   */
  #candidates(
    query: PlaceAsk,
    {hostId, dataCentre}: EntryHost,
    nowMs: number,
  ): PlacementCandidate[] {
    const connectedIds = new Set(query.connectedIds);
    const avoidedIds = new Set(query.avoidedIds);
    this.#examinedCandidates += this.#index.freeCount;
    const usableCandidates: PlacementCandidate[] = [];
    const avoidedCandidates: PlacementCandidate[] = [];
    const lapsedCandidates: PlacementCandidate[] = [];
    for (const {server, serverRisk} of this.#index.freeServers) {
      const serverId = server.id;
      const isExcluded =
        avoidedIds.has(serverId) || !this.#availability.mayStart(server, serverRisk, nowMs);
      if (isExcluded) {
        continue;
      }
      const isPathSuspect = this.#suspectPaths.isSuspect(hostId, serverId, nowMs);
      const candidate = new ServerCandidate({
        serverId,
        serverRisk,
        risk: serverRisk.risk(nowMs, this.#durations.shareAbove),
        isConnected: connectedIds.has(serverId) && !isPathSuspect,
        isLocal: server.dataCentre === dataCentre,
        newForMs: this.#newServers.newForMs(serverId, nowMs),
        nowMs,
        readSpeedFactor: () => this.#speedFactor(serverId, server.slots, nowMs),
      });
      if (serverRisk.isAvoidedBy(hostId, nowMs)) {
        avoidedCandidates.push(candidate);
      } else {
        (this.#lapsedIds.has(serverId) ? lapsedCandidates : usableCandidates).push(candidate);
      }
    }
    if (usableCandidates.length > 0) {
      return usableCandidates;
    }
    return lapsedCandidates.length > 0 || !this.#avoidsAll(hostId, nowMs)
      ? lapsedCandidates
      : avoidedCandidates;
  }

  /**
   * True where a host avoids every server in service: then its paths are not what fails, or none is left to prefer.
   */
  #avoidsAll(hostId: string, nowMs: number): boolean {
    for (const {serverRisk} of this.#index.servers) {
      if (!serverRisk.isAvoidedBy(hostId, nowMs)) {
        return false;
      }
    }
    return true;
  }

  #context({bodyBytes, isRepeatable, routeId, leftMs}: PlaceAsk, nowMs: number): PlacementContext {
    const slownessWeight = this.#slownessWeight(routeId, leftMs);
    return {...this.#backendContext(nowMs), bodyBytes, isRepeatable, slownessWeight};
  }

  /** What a policy may consider of the backend as a whole. */
  #backendContext(nowMs: number): Omit<PlacementContext, 'bodyBytes' | 'isRepeatable'> {
    return {
      nowMs,
      unservedShare: this.#unservedShare.at(nowMs),
      usedHealthyShare: () => this.#survey.usedHealthyShare(nowMs),
      serverCount: this.#index.size,
      failedShare: this.#recentOutcomes.failed,
      hasSpareRetries: this.#retries.usedShare() < maxRetryUseForTrials,
    };
  }

  /** Lowest estimate of any server in service, as log-odds, before it is corrected. */
  #bestLogOdds(nowMs: number): number {
    let best = Number.POSITIVE_INFINITY;
    for (const {serverRisk} of this.#index.servers) {
      best = Math.min(best, serverRisk.logOdds(nowMs, this.#durations.shareAbove));
    }
    return best;
  }

  #riskOf(serverId: string): ServerRisk {
    let serverRisk = this.#risks.get(serverId);
    if (serverRisk === undefined) {
      serverRisk = new ServerRisk({
        correction: (nowMs) => this.#calibration.correction(nowMs),
        usualFailedShare: (nowMs) => this.#usualFailures.failedShare(nowMs),
        usualSilentShare: (nowMs) => this.#usualFailures.silentShare(nowMs),
      });
      this.#risks.set(serverId, serverRisk);
    }
    return serverRisk;
  }
}
