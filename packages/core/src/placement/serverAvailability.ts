import type {Backend, DiscoveredServer} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import type {NoticeReport, ServerNotice} from '../messages/serverNotice.ts';
import {ServerRateLimits} from './serverRateLimits.ts';
import type {ServerRisk} from './serverRisk.ts';

/**
 * Starts per second allowed on a warm server, as a multiple of the most that the bounds allow on a cold one.
 * A server that turned cold unnoticed runs at half speed, so its slots limit the rate as well.
 */
const warmStartsFactor = 1.75;
/** Time for which a server gets no attempts after another server answered at its address, in ms. */
const misdirectedAvoidanceMs = 5_000;

/**
 * Decides whether an attempt may start on a server of a backend now: by its free slots, the rate that it bears
 * while it is cold, and what it states about itself.
 */
export class ServerAvailability {
  readonly #bounds: FleetBounds;
  readonly #limits = new ServerRateLimits();
  readonly #misdirectedUntilMs = new Map<string, number>();
  #coldUntilMs = new Map<string, number>();
  #backend: Backend | undefined;
  #fleetShare = 1;

  constructor(bounds: FleetBounds) {
    this.#bounds = bounds;
  }

  /** Sets the part of the fleet that this home serves, 0 to 1; rates are used in that proportion. */
  setFleetShare(share: number): void {
    this.#fleetShare = share;
  }

  /** Applies the settings of the backend; undefined where the document does not have it. */
  setBackend(backend: Backend | undefined): void {
    this.#backend = backend;
  }

  /** Applies a new list of the backend's servers and drops what is known of servers that no longer exist. */
  setServers(servers: readonly DiscoveredServer[], nowMs: number): void {
    this.#coldUntilMs = new Map(servers.map(({id, coldForMs}) => [id, nowMs + coldForMs]));
    this.#limits.retainServers(new Set(this.#coldUntilMs.keys()));
    for (const [serverId, untilMs] of this.#misdirectedUntilMs) {
      if (untilMs <= nowMs) {
        this.#misdirectedUntilMs.delete(serverId);
      }
    }
  }

  /** Limit that a server names, in requests per second; undefined where it names none. */
  limitPerSecond(serverId: string): number | undefined {
    return this.#limits.perSecond(serverId);
  }

  /** Records that another server answered at the address of a server. */
  recordMisdirected(serverId: string, nowMs: number): void {
    this.#misdirectedUntilMs.set(serverId, nowMs + misdirectedAvoidanceMs);
  }

  /** Records what a host reports of the notices that it received from servers. */
  recordReports(reports: readonly NoticeReport[], nowMs: number): void {
    for (const {serverId, notice, ageMs} of reports) {
      this.#recordLimit(serverId, notice, nowMs - ageMs, nowMs);
    }
  }

  /** Records what a server stated in its response to an attempt that has just ended. */
  recordNotice(
    serverId: string,
    notice: ServerNotice,
    attemptStartedAtMs: number,
    nowMs: number,
  ): void {
    if (notice.limitPerSecond === undefined) {
      this.#limits.recordNoLimit(serverId, attemptStartedAtMs);
      return;
    }
    this.#recordLimit(serverId, notice, nowMs, nowMs);
  }

  #recordLimit(
    serverId: string,
    {limitPerSecond: perSecond}: ServerNotice,
    namedAtMs: number,
    nowMs: number,
  ): void {
    if (perSecond !== undefined && this.#coldUntilMs.has(serverId)) {
      const share = this.#fleetShare;
      this.#limits.recordLimit(serverId, {perSecond, namedAtMs, share}, nowMs);
    }
  }

  /** Counts an attempt that starts now. */
  recordStart(serverId: string, nowMs: number): void {
    this.#limits.recordStart(serverId, this.#fleetShare, nowMs);
  }

  /** Takes back an attempt that was counted but never ran. */
  cancelStart(serverId: string): void {
    this.#limits.cancelStart(serverId, this.#fleetShare);
  }

  /** True where an attempt may start on a server now. */
  mayStart({id, slots}: DiscoveredServer, serverRisk: ServerRisk, nowMs: number): boolean {
    return (
      serverRisk.runningCount < slots &&
      this.#isWithinWarmUpRate(id, serverRisk, nowMs) &&
      (this.#misdirectedUntilMs.get(id) ?? 0) <= nowMs &&
      this.#limits.mayStart(id, nowMs)
    );
  }

  #isWithinWarmUpRate(serverId: string, serverRisk: ServerRisk, nowMs: number): boolean {
    const startsPerSecond = this.#startsPerSecond(serverId, nowMs);
    return (
      startsPerSecond === Number.POSITIVE_INFINITY ||
      serverRisk.startsInSecond(nowMs) < startsPerSecond
    );
  }

  /** Attempts that may start on a server in one second, as far as its warm-up decides. */
  #startsPerSecond(serverId: string, nowMs: number): number {
    const rate = this.#backend?.coldRequestsPerSecond;
    if (rate === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const {coldOvershoot, coldSlack} = this.#bounds;
    const isCold = (this.#coldUntilMs.get(serverId) ?? 0) > nowMs;
    const bound = isCold ? rate : (rate * coldOvershoot + coldSlack - 1) * warmStartsFactor;
    return Math.max(1, Math.floor(bound * this.#fleetShare));
  }
}
