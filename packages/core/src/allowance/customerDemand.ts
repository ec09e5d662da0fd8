interface HeldTokens {
  readonly homeId: string;
  readonly grantId: number;
  readonly expiresAtMs: number;
  readonly lifeMs: number;
  left: number;
  used: number;
}

/** A grant that is used up or over, for the report to its home. */
export interface SettledGrant {
  readonly homeId: string;
  readonly grantId: number;
  readonly used: number;
  /** Life that the tokens had, in ms. */
  readonly lifeMs: number;
}

const rateHalfLifeMs = 500;

/** Tokens that an entry host holds of one customer, and the requests that wait for more. */
export class CustomerDemand {
  /** Requests that will want permission, with the moments of their arrival. */
  readonly expected = new Map<number, number>();
  /** Requests that want permission now, with the moments of their arrival. */
  readonly waiting = new Map<number, number>();
  /** Until when the home has no token for the customer. */
  dryUntilMs = Number.NEGATIVE_INFINITY;
  /** Ask that is on its way, if any. */
  pendingAskId: number | undefined;
  readonly #held: HeldTokens[] = [];
  #rateEvents = 0;
  #rateAtMs = 0;
  #lastLifeMs = 0;

  /** Counts an arrival for the estimate of the rate. */
  noteArrival(nowMs: number): void {
    this.#decay(nowMs);
    this.#rateEvents += 1;
  }

  hold(
    homeId: string,
    grant: {grantId: number; count: number; lifeMs: number},
    askedAtMs: number,
  ): void {
    const {grantId, count, lifeMs} = grant;
    this.#lastLifeMs = lifeMs;
    if (count > 0) {
      this.#held.push({
        homeId,
        grantId,
        expiresAtMs: askedAtMs + lifeMs,
        lifeMs,
        left: count,
        used: 0,
      });
    }
  }

  /** Tokens that can be used now. */
  available(nowMs: number): number {
    let available = 0;
    for (const {left, expiresAtMs} of this.#held) {
      available += nowMs < expiresAtMs ? left : 0;
    }
    return available;
  }

  /** Uses one token; gives the moment until which it may be used. */
  use(nowMs: number): number | undefined {
    for (const tokens of this.#held) {
      if (tokens.left > 0 && nowMs < tokens.expiresAtMs) {
        tokens.left -= 1;
        tokens.used += 1;
        return tokens.expiresAtMs;
      }
    }
    return undefined;
  }

  /** Takes out the grants that are used up or over. */
  takeSettled(nowMs: number): SettledGrant[] {
    const settled: SettledGrant[] = [];
    const kept: HeldTokens[] = [];
    for (const tokens of this.#held) {
      const isOver = tokens.left === 0 || nowMs >= tokens.expiresAtMs;
      if (isOver) {
        const {homeId, grantId, used, lifeMs} = tokens;
        settled.push({homeId, grantId, used, lifeMs});
        continue;
      }
      kept.push(tokens);
    }
    this.#held.splice(0, this.#held.length, ...kept);
    return settled;
  }

  get hasHeld(): boolean {
    return this.#held.length > 0;
  }

  /** Requests expected within the life of a grant. */
  expectedAhead(nowMs: number): number {
    this.#decay(nowMs);
    const ratePerMs = (this.#rateEvents * Math.LN2) / rateHalfLifeMs;
    return Math.floor(ratePerMs * this.#lastLifeMs);
  }

  isIdle(nowMs: number): boolean {
    const hasWork = this.expected.size > 0 || this.waiting.size > 0 || this.hasHeld;
    return !hasWork && this.pendingAskId === undefined && nowMs >= this.dryUntilMs;
  }

  #decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#rateAtMs);
    this.#rateEvents *= 0.5 ** (elapsedMs / rateHalfLifeMs);
    this.#rateAtMs = nowMs;
  }
}
