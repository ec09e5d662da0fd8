/** What operators published last about a data centre. */
interface Outage {
  readonly isOut: boolean;
  /** Revision at which it was last taken out of service; undefined if unknown. */
  readonly outRevision: number | undefined;
  /** True if the registry lists it as out of service. */
  readonly isListed: boolean;
  /**
   * Until when this holds although the registry, which returned from a copy, says otherwise, on the own clock, in
   * ms; undefined once operators published it again.
   */
  readonly unconfirmedUntilMs: number | undefined;
}

/** An entry that takes a data centre out of service, or its removal. */
export interface OutageChange {
  readonly dataCentre: string;
  readonly isOut: boolean;
  /** Revision of the entry; undefined if unknown. */
  readonly revision: number | undefined;
}

/** Time in which operators publish again what a registry that returned from a copy lost, in ms. */
const restatementMs = 10_000;

/**
 * The data centres that operators took out of service.
 *
 * Where the registry returns from a copy, what was published last holds on until operators publish it again: the
 * copy is older. An entry that the copy has, and whose end is known, is told by its revision.
 */
export class DataCentreOutages {
  readonly #outages = new Map<string, Outage>();

  /** Data centres out of service. */
  get outOfService(): string[] {
    return [...this.#outages].filter(([, {isOut}]) => isOut).map(([dataCentre]) => dataCentre);
  }

  /** All data centres of which something was published. */
  list(): (OutageChange & {readonly isUnconfirmed: boolean})[] {
    return [...this.#outages].map(([dataCentre, outage]) => ({
      dataCentre,
      isOut: outage.isOut,
      revision: outage.outRevision,
      isUnconfirmed: outage.unconfirmedUntilMs !== undefined,
    }));
  }

  /** Begins a new epoch: the registry returned from a copy, and no longer vouches for any entry. */
  beginEpoch(nowMs: number): void {
    for (const [dataCentre, outage] of this.#outages) {
      const unconfirmedUntilMs = nowMs + restatementMs;
      this.#outages.set(dataCentre, {...outage, isListed: false, unconfirmedUntilMs});
    }
  }

  /** Applies what was published about a data centre; returns true if it goes out of service or back. */
  set({dataCentre, isOut, revision}: OutageChange): boolean {
    const current = this.#outages.get(dataCentre);
    const isUnconfirmed = current?.unconfirmedUntilMs !== undefined;
    if (
      current !== undefined &&
      isUnconfirmed &&
      isOut &&
      !current.isOut &&
      revision !== undefined &&
      revision === current.outRevision
    ) {
      // The entry of the copy, whose removal is lost.
      this.#outages.set(dataCentre, {...current, isListed: true});
      return false;
    }
    this.#outages.set(dataCentre, {
      isOut,
      outRevision: isOut ? revision : current?.outRevision,
      isListed: isOut,
      unconfirmedUntilMs: undefined,
    });
    return isOut !== (current?.isOut ?? false);
  }

  /** Adds what another host believes since the registry returned from a copy; returns true if a data centre goes out. */
  setUnconfirmed({dataCentre, isOut, revision}: OutageChange, nowMs: number): boolean {
    if (this.#outages.has(dataCentre)) {
      return false;
    }
    const unconfirmedUntilMs = nowMs + restatementMs;
    this.#outages.set(dataCentre, {
      isOut,
      outRevision: revision,
      isListed: false,
      unconfirmedUntilMs,
    });
    return isOut;
  }

  /** Takes back the data centres that a read of the whole registry does not list; returns true if there were any. */
  endUnlisted(listed: ReadonlySet<string>): boolean {
    let hasChanged = false;
    for (const [dataCentre, {isOut, unconfirmedUntilMs}] of this.#outages) {
      if (isOut && unconfirmedUntilMs === undefined && !listed.has(dataCentre)) {
        hasChanged = this.set({dataCentre, isOut: false, revision: undefined}) || hasChanged;
      }
    }
    return hasChanged;
  }

  /** Follows the registry where operators did not publish again in time; returns true if something changed. */
  endExpired(nowMs: number): boolean {
    let hasChanged = false;
    for (const [dataCentre, outage] of this.#outages) {
      const {isOut, isListed, outRevision, unconfirmedUntilMs} = outage;
      if (unconfirmedUntilMs !== undefined && unconfirmedUntilMs <= nowMs) {
        this.#outages.set(dataCentre, {
          isOut: isListed,
          outRevision,
          isListed,
          unconfirmedUntilMs: undefined,
        });
        hasChanged ||= isOut !== isListed;
      }
    }
    return hasChanged;
  }
}
