import type {DiscoveredServer} from '@godwitspring/document';
import {healthyBelowRisk, unusedAfterMs} from './floorPolicy.ts';
import {RecentFigure} from './recentFigure.ts';
import type {ServerRisk, ShareAbove} from './serverRisk.ts';

/** Time for which figures over all servers are used again, in ms: risks are as old. */
const surveyValidityMs = 10;
/** Risk below which a server's slots count when estimating how long requests wait. */
const usableBelowRisk = 0.5;

/** What the survey needs to know of the backend. */
export interface RiskSurveyOptions {
  readonly riskOf: (serverId: string) => ServerRisk;
  readonly shareAbove: ShareAbove;
  /** Requests per second that a server accepts; undefined where it names no limit. */
  readonly limitPerSecond: (serverId: string) => number | undefined;
}

/** A usable server that names a limit. */
interface LimitedServer {
  readonly slots: number;
  readonly limitPerSecond: number;
}

/** What the servers that are likelier to succeed than to fail can run. */
interface UsableCapacity {
  /** Slots of the servers that name no limit. */
  readonly unlimitedSlots: number;
  readonly limitedServers: readonly LimitedServer[];
}

/** Figures over all servers in service of a backend, with or without a free slot. */
export class RiskSurvey {
  readonly #options: RiskSurveyOptions;
  readonly #bestRisk = new RecentFigure(surveyValidityMs, (nowMs) => this.#computeBestRisk(nowMs));
  readonly #usableCapacity = new RecentFigure(surveyValidityMs, (nowMs) =>
    this.#computeUsableCapacity(nowMs),
  );
  #servers: readonly DiscoveredServer[] = [];

  constructor(options: RiskSurveyOptions) {
    this.#options = options;
  }

  /** Sets the servers in service. */
  setServers(servers: readonly DiscoveredServer[]): void {
    this.#servers = servers;
    this.#bestRisk.invalidate();
    this.#usableCapacity.invalidate();
  }

  /** Lowest risk of any server. */
  bestRisk(nowMs: number): number {
    return this.#bestRisk.at(nowMs);
  }

  /** Share of the healthy servers on which an attempt started recently; 1 where none is healthy. */
  usedHealthyShare(nowMs: number): number {
    let healthy = 0;
    let used = 0;
    for (const {id} of this.#servers) {
      if (this.#riskAt(id, nowMs) < healthyBelowRisk) {
        healthy += 1;
        used += nowMs - this.#options.riskOf(id).lastStartMs < unusedAfterMs ? 1 : 0;
      }
    }
    return healthy === 0 ? 1 : used / healthy;
  }

  /**
   * Attempts of the given duration that the servers which are likelier to succeed than to fail start per ms, by
   * their slots and limits; at least as many as one slot starts.
   */
  usableStartsPerMs(durationMs: number, nowMs: number): number {
    const {unlimitedSlots, limitedServers} = this.#usableCapacity.at(nowMs);
    let startsPerMs = unlimitedSlots / durationMs;
    for (const {slots, limitPerSecond} of limitedServers) {
      startsPerMs += Math.min(slots / durationMs, limitPerSecond / 1_000);
    }
    return Math.max(1 / durationMs, startsPerMs);
  }

  /** Slots of the servers that are likelier to succeed than to fail. */
  usableSlots(nowMs: number): number {
    const {unlimitedSlots, limitedServers} = this.#usableCapacity.at(nowMs);
    return limitedServers.reduce((sum, {slots}) => sum + slots, unlimitedSlots);
  }

  #computeUsableCapacity(nowMs: number): UsableCapacity {
    let unlimitedSlots = 0;
    const limitedServers: LimitedServer[] = [];
    for (const {id, slots} of this.#servers) {
      if (this.#riskAt(id, nowMs) >= usableBelowRisk) {
        continue;
      }
      const limitPerSecond = this.#options.limitPerSecond(id);
      if (limitPerSecond === undefined) {
        unlimitedSlots += slots;
      } else {
        limitedServers.push({slots, limitPerSecond});
      }
    }
    return {unlimitedSlots, limitedServers};
  }

  #computeBestRisk(nowMs: number): number {
    let best = 1;
    for (const {id} of this.#servers) {
      best = Math.min(best, this.#riskAt(id, nowMs));
    }
    return best;
  }

  #riskAt(serverId: string, nowMs: number): number {
    const {riskOf, shareAbove} = this.#options;
    return riskOf(serverId).risk(nowMs, shareAbove);
  }
}
