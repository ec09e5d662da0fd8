import type {DiscoveredServer} from '@godwitspring/document';
import {healthyBelowRisk, unusedAfterMs} from './floorPolicy.ts';
import {RecentFigure} from './recentFigure.ts';
import type {ServerRisk, ShareAbove} from './serverRisk.ts';

/** Time for which the lowest risk is used again, in ms. */
const bestRiskValidityMs = 5;
/** Risk below which a server's slots count when estimating how long requests wait. */
const usableBelowRisk = 0.5;

/** What the survey needs to know of the backend. */
export interface RiskSurveyOptions {
  readonly riskOf: (serverId: string) => ServerRisk;
  readonly shareAbove: ShareAbove;
}

/** Figures over all servers in service of a backend, with or without a free slot. */
export class RiskSurvey {
  readonly #options: RiskSurveyOptions;
  readonly #bestRisk = new RecentFigure(bestRiskValidityMs, (nowMs) =>
    this.#computeBestRisk(nowMs),
  );
  #servers: readonly DiscoveredServer[] = [];

  constructor(options: RiskSurveyOptions) {
    this.#options = options;
  }

  /** Sets the servers in service. */
  setServers(servers: readonly DiscoveredServer[]): void {
    this.#servers = servers;
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

  /** Slots of the servers that are likelier to succeed than to fail, at least one. */
  usableSlots(nowMs: number): number {
    let slots = 0;
    for (const server of this.#servers) {
      slots += this.#riskAt(server.id, nowMs) < usableBelowRisk ? server.slots : 0;
    }
    return Math.max(1, slots);
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
