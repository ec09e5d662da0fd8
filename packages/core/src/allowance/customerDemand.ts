/** Tokens that a home granted, and how many of them were spent. */
interface TokenGrant {
  readonly homeId: string;
  readonly grantId: number;
  readonly expiresAtMs: number;
  readonly lifeMs: number;
  unused: number;
  used: number;
}

/** A grant that is used up or expired, for the report to its home. */
export interface EndedGrant {
  readonly homeId: string;
  readonly grantId: number;
  readonly used: number;
  /** Lifetime of the tokens, in ms. */
  readonly lifeMs: number;
}

/** Half-life of the arrivals in the estimate of the request rate, in ms. */
const arrivalRateHalfLifeMs = 500;

/**
 * Demand of one customer at an entry host, the host that received the callers' requests: tokens granted by the
 * customer's home, requests that need a token, and an estimate of the request rate.
 */
export class CustomerDemand {
  /** Requests that will need a token soon, with the moments of their arrival, in ms. */
  readonly expected = new Map<number, number>();
  /** Requests that need a token now, with the moments of their arrival, in ms. */
  readonly waiting = new Map<number, number>();
  /** Moment until which the home is assumed to have no token for the customer and is not queried, in ms. */
  noTokensUntilMs = Number.NEGATIVE_INFINITY;
  /** Id of the query that awaits its reply, if any. */
  pendingQueryId: number | undefined;
  readonly #grants: TokenGrant[] = [];
  #decayedArrivals = 0;
  #decayedAtMs = 0;
  #lastGrantLifeMs = 0;

  /** Counts an arrival for the estimate of the request rate. */
  recordArrival(nowMs: number): void {
    this.#decay(nowMs);
    this.#decayedArrivals += 1;
  }

  /** Adds tokens that a home granted; their lifetime counts from the query. */
  addGrant(
    homeId: string,
    grant: {grantId: number; count: number; lifeMs: number},
    querySentAtMs: number,
  ): void {
    const {grantId, count, lifeMs} = grant;
    this.#lastGrantLifeMs = lifeMs;
    if (count > 0) {
      this.#grants.push({
        homeId,
        grantId,
        expiresAtMs: querySentAtMs + lifeMs,
        lifeMs,
        unused: count,
        used: 0,
      });
    }
  }

  /** Returns the number of tokens that can be spent now. */
  available(nowMs: number): number {
    let available = 0;
    for (const {unused, expiresAtMs} of this.#grants) {
      available += nowMs < expiresAtMs ? unused : 0;
    }
    return available;
  }

  /** Spends one token; returns the moment at which it expires, or undefined if there is none. */
  spendToken(nowMs: number): number | undefined {
    for (const grant of this.#grants) {
      if (grant.unused > 0 && nowMs < grant.expiresAtMs) {
        grant.unused -= 1;
        grant.used += 1;
        return grant.expiresAtMs;
      }
    }
    return undefined;
  }

  /** Removes and returns the grants that are used up or expired. */
  removeEndedGrants(nowMs: number): EndedGrant[] {
    const ended: EndedGrant[] = [];
    const remaining: TokenGrant[] = [];
    for (const grant of this.#grants) {
      const isEnded = grant.unused === 0 || nowMs >= grant.expiresAtMs;
      if (isEnded) {
        const {homeId, grantId, used, lifeMs} = grant;
        ended.push({homeId, grantId, used, lifeMs});
        continue;
      }
      remaining.push(grant);
    }
    this.#grants.splice(0, this.#grants.length, ...remaining);
    return ended;
  }

  /** Whether any grant has not been removed as ended. */
  get hasGrants(): boolean {
    return this.#grants.length > 0;
  }

  /** Estimates how many requests arrive within the lifetime of a grant; 0 before the first grant. */
  expectedAhead(nowMs: number): number {
    this.#decay(nowMs);
    const ratePerMs = (this.#decayedArrivals * Math.LN2) / arrivalRateHalfLifeMs;
    return Math.floor(ratePerMs * this.#lastGrantLifeMs);
  }

  /** Returns whether there is neither a request, a grant nor a query, and no shortage to remember. */
  isIdle(nowMs: number): boolean {
    const isNeeded = this.expected.size > 0 || this.waiting.size > 0 || this.hasGrants;
    return !isNeeded && this.pendingQueryId === undefined && nowMs >= this.noTokensUntilMs;
  }

  /** Applies the exponential decay to the counted arrivals. */
  #decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#decayedAtMs);
    this.#decayedArrivals *= 0.5 ** (elapsedMs / arrivalRateHalfLifeMs);
    this.#decayedAtMs = nowMs;
  }
}
