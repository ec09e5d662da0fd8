import type {Backend, DiscoveredServer, FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import type {ServersKnown} from '../messages/hostMessages.ts';
import type {PlaceAsk, PlaceHello} from '../messages/peerMessages.ts';
import type {WorkOutcome} from '../messages/workOutcome.ts';
import {CrashSuspects} from './crashSuspects.ts';
import {LineAdmission} from './lineAdmission.ts';
import type {UselessAsk} from './lineAdmission.ts';
import {OutcomeShare} from './outcomeShare.ts';
import type {Asker, Placement} from './placement.ts';
import type {PlacementCandidate, PlacementPolicy, PlacementSituation} from './placementPolicy.ts';
import {PathDoubts} from './pathDoubts.ts';
import {RepeatWindow} from './repeatWindow.ts';
import {isHopeless, isRiskAccepted} from './riskAcceptance.ts';
import {RouteTimes} from './routeTimes.ts';
import {ServerTrust} from './serverTrust.ts';
import type {RunningAttempt} from './serverTrust.ts';
import {SurestServer} from './surestServer.ts';
import {TrialServer} from './trialServer.ts';

interface PlacedAttempt extends RunningAttempt {
  readonly serverId: string;
  readonly requestDigest: string;
}

/** Wait told to a caller where no server can be trusted, in ms: half of the time in which doubt halves. */
const hopelessRetryMs = 1_000;
/** Wait told to a caller where a backend has no server in service, in ms. */
const noServerRetryMs = 1_000;
/**
 * Starts a second on a server that is known to be warm, as a multiple of what it bears cold: a server
 * that turned cold unseen works at half speed, so that its slots hold the rate down.
 */
const warmStartsFactor = 1.75;
/** Part of the allowed repeats above which nothing is sent to servers that are not proven. */
const spareRepeatsBelow = 0.6;
/** Time after its route's timeout at which an attempt that nobody ended is forgotten, in ms. */
const lateEndMs = 500;
/** Time for which a server that said it is another one gets nothing, in ms. */
const misdirectedMs = 5_000;
/** Risk below which the slots of a server count for the length of a wait. */
const soundBelowRisk = 0.5;

export interface BackendHomeOptions {
  readonly backendId: string;
  readonly bounds: FleetBounds;
}

/** Decides for one backend, with the whole fleet's work in view, where each attempt runs, waits or ends. */
export class BackendHome {
  readonly #options: BackendHomeOptions;
  readonly #surest: PlacementPolicy = new SurestServer();
  readonly #trial: PlacementPolicy = new TrialServer();
  readonly #trusts = new Map<string, ServerTrust>();
  readonly #placed = new Map<string, PlacedAttempt>();
  readonly #times = new RouteTimes();
  readonly #outcomes = new OutcomeShare();
  readonly #repeats: RepeatWindow;
  readonly #crashes = new CrashSuspects();
  readonly #paths = new PathDoubts();
  readonly #misdirectedUntilMs = new Map<string, number>();
  readonly admission = new LineAdmission();
  #servers: readonly DiscoveredServer[] = [];
  #coldUntilMs = new Map<string, number>();
  #lapsed: ReadonlySet<string> = new Set();
  #backend: Backend | undefined;
  #fleetShare = 1;

  constructor(options: BackendHomeOptions) {
    this.#options = options;
    const {retryRatio, retryWindowMs, retrySlack} = options.bounds;
    this.#repeats = new RepeatWindow({
      ratio: retryRatio,
      windowMs: retryWindowMs,
      slack: retrySlack,
    });
  }

  /** Part of the fleet that this home hears of, 0 to 1; bounds of the fleet are used by that part. */
  setFleetShare(share: number): void {
    this.#fleetShare = share;
  }

  setDocument(document: FleetDocument): void {
    this.#backend = document.backends.find(({id}) => id === this.#options.backendId);
    this.#times.setDocument(document);
  }

  setServers({servers, lapsedServerIds, outOfService}: ServersKnown, nowMs: number): void {
    const {backendId} = this.#options;
    this.#lapsed = new Set(lapsedServerIds);
    const own = servers.filter((server) => server.backendId === backendId);
    this.#servers = own.filter(
      ({state, dataCentre}) => state === 'in-service' && !outOfService.includes(dataCentre),
    );
    const known = new Set(own.map(({id}) => id));
    for (const [serverId, trust] of this.#trusts) {
      if (!known.has(serverId) && trust.running.size === 0) {
        this.#trusts.delete(serverId);
      }
    }
    for (const [serverId, untilMs] of this.#misdirectedUntilMs) {
      if (untilMs <= nowMs) {
        this.#misdirectedUntilMs.delete(serverId);
      }
    }
    this.#paths.keepOnly(known);
    this.#coldUntilMs = new Map(own.map(({id, coldForMs}) => [id, nowMs + coldForMs]));
  }

  /** Servers in service, for the logs. */
  get serverCount(): number {
    return this.#servers.length;
  }

  get failedShare(): number {
    return this.#outcomes.failed;
  }

  /** Places a new ask, lets it wait or refuses it. */
  take(key: string, ask: PlaceAsk, asker: Asker, nowMs: number): Placement {
    if (ask.isRepeat) {
      if (this.#repeats.use(nowMs) >= 1) {
        return {
          state: 'refused',
          kind: 'overloaded',
          retryAfterMs: this.#times.typicalMs(ask.routeId),
        };
      }
    } else {
      this.#repeats.noteRequest(nowMs);
    }
    if (this.#crashes.isBlocked(ask.requestDigest, nowMs)) {
      return {state: 'refused', kind: 'request-crashes-servers', retryAfterMs: 0};
    }
    if (this.#servers.length === 0) {
      return {state: 'refused', kind: 'no-server', retryAfterMs: noServerRetryMs};
    }
    const granted = this.tryPlace(key, ask, asker, nowMs, nowMs);
    return granted ?? this.#wait(key, ask, asker, nowMs);
  }

  /** Places an ask if a server is free that is good enough for it. */
  tryPlace(
    key: string,
    ask: PlaceAsk,
    asker: Asker,
    arrivedAtMs: number,
    nowMs: number,
  ): Placement | undefined {
    const candidates = this.#candidates(ask, asker, nowMs);
    const situation = this.#situation(ask, nowMs);
    const isRealWork = !this.#times.isTrivial(this.#times.typicalMs(ask.routeId));
    const isTrialAllowed = ask.isRepeatable && !ask.isRepeat && isRealWork;
    const tried = isTrialAllowed ? this.#trial.choose(candidates, situation) : undefined;
    if (tried !== undefined) {
      return this.#grant(key, ask, asker, tried, nowMs);
    }
    const chosen = this.#surest.choose(candidates, situation);
    return chosen !== undefined && this.#isAccepted(chosen, ask, arrivedAtMs, nowMs)
      ? this.#grant(key, ask, asker, chosen, nowMs)
      : undefined;
  }

  /** True where work should start on this server rather than wait for another. */
  #isAccepted(
    {risk, lastStartMs}: PlacementCandidate,
    ask: PlaceAsk,
    arrivedAtMs: number,
    nowMs: number,
  ): boolean {
    const {isRepeatable, routeId, leftMs, priority} = ask;
    // In a crowded line nobody waits for long: what is not begun now is refused.
    const waitedShare = this.admission.isCrowded(priority)
      ? 1
      : (nowMs - arrivedAtMs) / this.#times.inTargetForMs(routeId, leftMs);
    const restedMs = nowMs - lastStartMs;
    const bestRisk = this.#bestRisk(nowMs);
    return isRiskAccepted({risk, restedMs, bestRisk, isRepeatable, waitedShare});
  }

  /** Least risk among the servers in service, with a free slot or without. */
  #bestRisk(nowMs: number): number {
    let best = 1;
    for (const {id} of this.#servers) {
      best = Math.min(best, this.#trust(id).risk(nowMs, this.#times.shareAbove));
    }
    return best;
  }

  /** Takes the end of an attempt; false where it is unknown here. */
  end(key: string, outcome: WorkOutcome, ranForMs: number, nowMs: number): boolean {
    const attempt = this.#placed.get(key);
    if (attempt === undefined) {
      return false;
    }
    this.#placed.delete(key);
    const {serverId, routeId, requestDigest} = attempt;
    const trust = this.#trust(serverId);
    trust.running.delete(key);
    if (outcome === 'cancelled' && ranForMs === 0) {
      trust.forgetStart(attempt.startedAtMs);
      return true;
    }
    this.#noteEnd(serverId, attempt, outcome, ranForMs, nowMs);
    this.#outcomes.note(outcome, nowMs);
    if (outcome === 'ok') {
      this.#times.note(routeId, ranForMs);
      this.#crashes.clear(requestDigest);
    }
    if (outcome === 'lost') {
      this.#crashes.note(requestDigest, serverId, nowMs);
    }
    if (outcome === 'misdirected') {
      this.#misdirectedUntilMs.set(serverId, nowMs + misdirectedMs);
    }
    return true;
  }

  #noteEnd(
    serverId: string,
    attempt: RunningAttempt,
    outcome: WorkOutcome,
    ranForMs: number,
    nowMs: number,
  ): void {
    if (outcome === 'ok') {
      this.#paths.noteAnswer(serverId, attempt, nowMs);
    } else if (outcome === 'unreachable' || outcome === 'timeout' || this.#isLate(attempt, nowMs)) {
      this.#paths.noteSilence(serverId, attempt, nowMs);
    }
    if (outcome !== 'ok' || !this.#times.isTrivial(ranForMs)) {
      this.#trust(serverId).end(attempt, outcome, nowMs, this.#times.shareAbove);
    }
  }

  /** True where most answers come sooner than this attempt ran. */
  #isLate({routeId, startedAtMs}: RunningAttempt, nowMs: number): boolean {
    return this.#times.isLate(routeId, nowMs - startedAtMs);
  }

  /** Takes what a host runs and saw, where this host has just become the home. */
  welcome(hostId: string, {running, recent}: PlaceHello, nowMs: number): void {
    for (const {askId, serverId, routeId, ageMs} of running) {
      const key = `${hostId}/${askId}`;
      const attempt = {hostId, routeId, startedAtMs: nowMs - ageMs};
      this.#placed.set(key, {...attempt, serverId, requestDigest: ''});
      this.#trust(serverId).start(key, attempt);
    }
    for (const {serverId, outcome, startedAgoMs, ranForMs} of recent) {
      const attempt = {hostId, routeId: '', startedAtMs: nowMs - startedAgoMs};
      this.#noteEnd(serverId, attempt, outcome, ranForMs, nowMs);
    }
  }

  /** Forgets attempts whose host is gone or whose end was lost on the way. */
  forgetLost(isAlive: (hostId: string) => boolean, nowMs: number): void {
    for (const [key, attempt] of this.#placed) {
      const {hostId, routeId, startedAtMs} = attempt;
      const overdueMs = this.#times.timeoutMs(routeId) + lateEndMs;
      if (!isAlive(hostId) || nowMs - startedAtMs > overdueMs) {
        this.#placed.delete(key);
        this.#trusts.get(attempt.serverId)?.running.delete(key);
      }
    }
  }

  /** Takes asks out of the line that can be served in time no more. */
  takeUseless(nowMs: number): UselessAsk[] {
    return this.admission.takeUseless(nowMs);
  }

  #grant(
    key: string,
    ask: PlaceAsk,
    {hostId}: Asker,
    {serverId, risk}: PlacementCandidate,
    nowMs: number,
  ): Placement {
    const {routeId, requestDigest} = ask;
    const trust = this.#trust(serverId);
    const provenAgoMs = nowMs - trust.provenAtMs;
    const attempt: PlacedAttempt = {hostId, routeId, startedAtMs: nowMs, serverId, requestDigest};
    this.#placed.set(key, attempt);
    trust.start(key, attempt);
    this.admission.noteGrant(ask, nowMs);
    if (ask.isRepeat) {
      this.#repeats.noteRepeat(nowMs);
    }
    return {
      state: 'granted',
      serverId,
      risk,
      provenAgoMs,
      secondAfterMs: this.#times.secondAfterMs(routeId, risk),
      needsNewConnection: !ask.isRepeatable && this.#paths.isInDoubt(hostId, serverId, nowMs),
    };
  }

  #wait(key: string, ask: PlaceAsk, asker: Asker, nowMs: number): Placement {
    if (isHopeless(this.#bestRisk(nowMs))) {
      return {state: 'refused', kind: 'no-server', retryAfterMs: hopelessRetryMs};
    }
    const {routeId, leftMs} = ask;
    const terms = {
      hostId: asker.hostId,
      ask,
      inTargetForMs: this.#times.inTargetForMs(routeId, leftMs),
      usefulForMs: this.#times.usefulForMs(routeId, leftMs),
      expectedPerMs: this.#soundSlots(nowMs) / this.#times.typicalMs(routeId),
    };
    const verdict = this.admission.admit(key, terms, nowMs);
    return verdict.state === 'refused' ? {...verdict, kind: 'overloaded'} : verdict;
  }

  /** Slots of the servers that would rather answer than fail, at least one. */
  #soundSlots(nowMs: number): number {
    let slots = 0;
    for (const server of this.#servers) {
      const risk = this.#trust(server.id).risk(nowMs, this.#times.shareAbove);
      slots += risk < soundBelowRisk ? server.slots : 0;
    }
    return Math.max(1, slots);
  }

  #candidates(ask: PlaceAsk, {hostId, dataCentre}: Asker, nowMs: number): PlacementCandidate[] {
    const usable: PlacementCandidate[] = [];
    const lapsed: PlacementCandidate[] = [];
    for (const server of this.#servers) {
      const trust = this.#trust(server.id);
      const isExcluded =
        ask.avoidedIds.includes(server.id) ||
        trust.running.size >= server.slots ||
        trust.startsInSecond(nowMs) >= this.#startsPerSecond(server.id, nowMs) ||
        (this.#misdirectedUntilMs.get(server.id) ?? 0) > nowMs ||
        trust.isAvoidedBy(hostId, nowMs);
      if (isExcluded) {
        continue;
      }
      const candidate: PlacementCandidate = {
        serverId: server.id,
        risk: trust.risk(nowMs, this.#times.shareAbove),
        running: trust.running.size,
        recentStarts: trust.recentStarts(nowMs),
        lastStartMs: trust.lastStartMs,
        isConnected:
          ask.connectedIds.includes(server.id) && !this.#paths.isInDoubt(hostId, server.id, nowMs),
        isLocal: server.dataCentre === dataCentre,
      };
      (this.#lapsed.has(server.id) ? lapsed : usable).push(candidate);
    }
    return usable.length > 0 ? usable : lapsed;
  }

  /** Requests that one server may get in a second. */
  #startsPerSecond(serverId: string, nowMs: number): number {
    const rate = this.#backend?.coldRequestsPerSecond;
    if (rate === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const {coldOvershoot, coldSlack} = this.#options.bounds;
    const isCold = (this.#coldUntilMs.get(serverId) ?? 0) > nowMs;
    const bound = isCold ? rate : (rate * coldOvershoot + coldSlack - 1) * warmStartsFactor;
    return Math.max(1, Math.floor(bound * this.#fleetShare));
  }

  #situation({bodyBytes}: PlaceAsk, nowMs: number): PlacementSituation {
    return {
      nowMs,
      bodyBytes,
      serverCount: this.#servers.length,
      failedShare: this.#outcomes.failed,
      hasSpareRepeats: this.#repeats.use(nowMs) < spareRepeatsBelow,
    };
  }

  #trust(serverId: string): ServerTrust {
    let trust = this.#trusts.get(serverId);
    if (trust === undefined) {
      trust = new ServerTrust();
      this.#trusts.set(serverId, trust);
    }
    return trust;
  }
}
