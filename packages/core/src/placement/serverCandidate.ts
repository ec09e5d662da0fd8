import type {PlacementCandidate} from './placementPolicy.ts';
import type {ServerRisk} from './serverRisk.ts';

/** What is known of a candidate besides the estimate of its server. */
export interface ServerCandidateOptions {
  readonly serverId: string;
  readonly serverRisk: ServerRisk;
  /** Estimated probability that an attempt that starts now fails, 0 to 1. */
  readonly risk: number;
  readonly isConnected: boolean;
  readonly isLocal: boolean;
  readonly newForMs: number | undefined;
  readonly nowMs: number;
  /** Reads the expected duration of an attempt, as a multiple of the typical one. */
  readonly readSpeedFactor?: (() => number | undefined) | undefined;
}

/** A server with a free slot, as a candidate for one request. Figures that few policies need are read on demand. */
export class ServerCandidate implements PlacementCandidate {
  readonly serverId: string;
  readonly risk: number;
  readonly isConnected: boolean;
  readonly isLocal: boolean;
  readonly newForMs: number | undefined;
  readonly #serverRisk: ServerRisk;
  readonly #nowMs: number;
  readonly #readSpeedFactor: (() => number | undefined) | undefined;

  constructor({
    serverId,
    serverRisk,
    risk,
    isConnected,
    isLocal,
    newForMs,
    nowMs,
    readSpeedFactor,
  }: ServerCandidateOptions) {
    this.serverId = serverId;
    this.risk = risk;
    this.isConnected = isConnected;
    this.isLocal = isLocal;
    this.newForMs = newForMs;
    this.#serverRisk = serverRisk;
    this.#nowMs = nowMs;
    this.#readSpeedFactor = readSpeedFactor;
  }

  get running(): number {
    return this.#serverRisk.runningCount;
  }

  get speedFactor(): number | undefined {
    return this.#readSpeedFactor?.();
  }

  get recentStarts(): number {
    return this.#serverRisk.recentStarts(this.#nowMs);
  }

  get lastStartMs(): number {
    return this.#serverRisk.lastStartMs;
  }
}
