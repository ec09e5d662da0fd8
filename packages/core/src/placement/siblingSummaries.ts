import type {PlaceSummary} from '../messages/peerMessages.ts';
import {leavingCostMs, leavingRisk} from './leavingCost.ts';
import type {OutcomeFigures} from './recentOutcomes.ts';

/**
 * Age from which a summary counts as absent, in ms: five intervals between summaries. An older one says nothing
 * about free slots any more, and its home may be gone.
 */
const maxAgeMs = 1_000;
/**
 * Share of the usable slots of another home that is left free for the requests that arrive there before its next
 * summary.
 */
const reservedShare = 0.05;

/** Slots and queue of a home, from which the wait there is estimated. */
export interface HomeLoad {
  /** Slots of the servers that are likelier to succeed than to fail. */
  readonly usableSlots: number;
  /** Number of waiting requests of each priority class. */
  readonly waitingByPriority: readonly (readonly [priority: number, count: number])[];
}

/** A request that its home would have to queue or refuse. */
export interface LeavingRequest {
  /** Expected wait at its home, in ms; infinite where no server there can be used. */
  readonly localWaitMs: number;
  readonly priority: number;
  /** Median duration of an attempt on its route, in ms. */
  readonly durationMs: number;
  readonly bodyBytes: number;
}

/** A request that its home could place on a server. */
export interface RiskyRequest {
  /** Risk of that server, 0 to 1. */
  readonly risk: number;
  /**
   * Share of the home's recent attempts that failed, 0 to 1. Counts where it is above the risk: servers that fail
   * and recover within seconds fail more often than their last successes suggest.
   */
  readonly failedShare: number;
  readonly bodyBytes: number;
}

/** The newest summary of a sibling, with what was forwarded to it since. */
interface Sibling {
  readonly fromHostId: string;
  readonly summary: PlaceSummary;
  readonly atMs: number;
  forwarded: number;
}

/** Expected wait of one more request of a priority class, in ms; infinite where no slot is usable. */
export function expectedWaitMs(
  {usableSlots, waitingByPriority}: HomeLoad,
  priority: number,
  durationMs: number,
): number {
  let ahead = 0;
  for (const [waitingPriority, count] of waitingByPriority) {
    ahead += waitingPriority <= priority ? count : 0;
  }
  return usableSlots === 0 ? Number.POSITIVE_INFINITY : ((ahead + 1) * durationMs) / usableSlots;
}

/**
 * What the homes of one backend in other data centres (siblings) reported about themselves, as one home sees it.
 * Chooses the sibling to which a request is forwarded.
 *
 * Load pattern: the load of each data centre swings, out of phase with the others, so that one is short of slots
 * while others have free ones.
 */
export class SiblingSummaries {
  readonly #ownScope: string;
  readonly #siblings = new Map<string, Sibling>();
  /** Data centres whose summary was absent when changes were last taken. */
  readonly #absentScopes = new Set<string>();

  constructor(ownScope: string) {
    this.#ownScope = ownScope;
  }

  /**
   * Records a summary; returns false for one that does not count: of the own data centre, or of an idle home while
   * another host works as the home there.
   */
  record(fromHostId: string, summary: PlaceSummary, nowMs: number): boolean {
    const {dataCentre, isReply = false} = summary;
    const known = this.#fresh(dataCentre, nowMs);
    const isOutranked =
      isReply && known !== undefined && known.fromHostId !== fromHostId && !known.summary.isReply;
    if (dataCentre === this.#ownScope || isOutranked) {
      return false;
    }
    this.#siblings.set(dataCentre, {fromHostId, summary, atMs: nowMs, forwarded: 0});
    return true;
  }

  /** Drops the summaries of data centres that have no home of their own any more. */
  retain(scopes: readonly string[]): void {
    for (const scope of this.#siblings.keys()) {
      if (!scopes.includes(scope)) {
        this.#siblings.delete(scope);
        this.#absentScopes.delete(scope);
      }
    }
  }

  /** Data centres whose summary became absent, or arrived again, since the last call, for the logs. */
  takeChanges(nowMs: number): {readonly dataCentre: string; readonly isAbsent: boolean}[] {
    const changes = [];
    for (const dataCentre of this.#siblings.keys()) {
      const isAbsent = this.#fresh(dataCentre, nowMs) === undefined;
      if (isAbsent !== this.#absentScopes.has(dataCentre)) {
        changes.push({dataCentre, isAbsent});
      }
      if (isAbsent) {
        this.#absentScopes.add(dataCentre);
      } else {
        this.#absentScopes.delete(dataCentre);
      }
    }
    return changes;
  }

  /** Age and free slots of each summary, for the status of the host. */
  status(nowMs: number): Record<string, unknown> {
    const status: Record<string, unknown> = {};
    for (const [scope, {fromHostId, summary, atMs, forwarded}] of this.#siblings) {
      const {freeSlots, usableSlots} = summary;
      const ageMs = Math.round(nowMs - atMs);
      status[scope] = {homeId: fromHostId, ageMs, freeSlots, usableSlots, forwarded};
    }
    return status;
  }

  /** Host that sent the newest summary of a data centre; undefined where it is too old. */
  senderOf(scope: string, nowMs: number): string | undefined {
    return this.#fresh(scope, nowMs)?.fromHostId;
  }

  /** Sums of the siblings' figures about the outcomes of attempts. */
  outcomes(nowMs: number): OutcomeFigures {
    const sums = {failed: 0, turnedAway: 0, ended: 0, overdue: 0};
    for (const scope of this.#siblings.keys()) {
      const summary = this.#fresh(scope, nowMs)?.summary;
      sums.failed += summary?.failed ?? 0;
      sums.turnedAway += summary?.turnedAway ?? 0;
      sums.ended += summary?.ended ?? 0;
      sums.overdue += summary?.overdue ?? 0;
    }
    return sums;
  }

  /** True where any sibling has slots that may be used now. */
  hasFreeSlots(nowMs: number): boolean {
    for (const scope of this.#siblings.keys()) {
      const sibling = this.#fresh(scope, nowMs);
      if (sibling !== undefined && this.#freeSlots(sibling) > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Chooses the sibling to which a request is forwarded, and counts it there; undefined where it is better off at
   * its own home. A sibling with free slots is preferred to one with a queue.
   */
  choose(request: LeavingRequest, nowMs: number): string | undefined {
    let best: {scope: string; sibling: Sibling; waitMs: number; freeSlots: number} | undefined;
    for (const scope of this.#siblings.keys()) {
      const sibling = this.#fresh(scope, nowMs);
      if (sibling === undefined) {
        continue;
      }
      const freeSlots = this.#freeSlots(sibling);
      const waitMs = freeSlots > 0 ? 0 : this.#waitMs(sibling, request);
      const isBetter =
        best === undefined ||
        waitMs < best.waitMs ||
        (waitMs === best.waitMs && freeSlots > best.freeSlots);
      if (isBetter) {
        best = {scope, sibling, waitMs, freeSlots};
      }
    }
    if (
      best === undefined ||
      !Number.isFinite(best.waitMs) ||
      request.localWaitMs <= best.waitMs + leavingCostMs(best.waitMs, request.bodyBytes)
    ) {
      return undefined;
    }
    best.sibling.forwarded += 1;
    return best.scope;
  }

  /**
   * Chooses the sibling for a request that its home could place only on a risky server, and counts it there; undefined where no sibling has free slots on servers that are clearly likelier to succeed.
   *
   * Load pattern: many servers of one data centre fail, while their health probes pass.
   */
  chooseSafer({risk, failedShare, bodyBytes}: RiskyRequest, nowMs: number): string | undefined {
    let best: Sibling | undefined;
    let bestRisk = Math.max(risk, failedShare) - leavingRisk(bodyBytes);
    for (const scope of this.#siblings.keys()) {
      const sibling = this.#fresh(scope, nowMs);
      if (sibling === undefined || this.#freeSlots(sibling) <= 0) {
        continue;
      }
      const {freeRisk = 1, failed, ended} = sibling.summary;
      const siblingRisk = Math.max(freeRisk, ended < 1 ? 0 : failed / ended);
      if (siblingRisk < bestRisk) {
        best = sibling;
        bestRisk = siblingRisk;
      }
    }
    if (best === undefined) {
      return undefined;
    }
    best.forwarded += 1;
    return best.summary.dataCentre;
  }

  /** Slots of a sibling that may still be used, after those that stay reserved for its own requests. */
  #freeSlots({summary: {freeSlots, usableSlots}, forwarded}: Sibling): number {
    return freeSlots - forwarded - Math.ceil(usableSlots * reservedShare);
  }

  #waitMs({summary, forwarded}: Sibling, {priority, durationMs}: LeavingRequest): number {
    const {usableSlots, freeSlots} = summary;
    const queued = Math.max(0, forwarded - freeSlots);
    const waitingByPriority = [...summary.waitingByPriority, [priority, queued] as const];
    return expectedWaitMs({usableSlots, waitingByPriority}, priority, durationMs);
  }

  #fresh(scope: string, nowMs: number): Sibling | undefined {
    const sibling = this.#siblings.get(scope);
    return sibling !== undefined && nowMs - sibling.atMs <= maxAgeMs ? sibling : undefined;
  }
}
