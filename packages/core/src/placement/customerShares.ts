/** Time constant with which earlier service of a customer loses weight, in ms. */
const servedDecayMs = 2_000;
/**
 * Time after which the counts are scaled anew, in ms: 100 time constants, well before the scale leaves the
 * range of a double (about 709).
 */
const rescaleAfterMs = 200_000;
/** Scaled count below which a customer counts as not served at all; keeps the map to recent customers. */
const forgottenBelow = 1e-9;

/**
 * How much each customer was served recently, with exponentially decaying counts.
 *
 * All counts decay by the same factor, so their order does not change over time. They are stored as if
 * nothing decayed and later service counted for more, and can be compared without computing an exponential.
 */
export class CustomerShares {
  /** Time over which starts are counted, in ms. */
  readonly windowMs = servedDecayMs;
  readonly #scaledByCustomer = new Map<string, number>();
  #weightByCustomer: ReadonlyMap<string, number> = new Map();
  /** Moment at which one start counts 1, in ms. */
  #baseMs: number | undefined;

  /** Sets the weights of the customers; a customer without one has weight 1. */
  setWeights(weightByCustomer: ReadonlyMap<string, number>): void {
    this.#weightByCustomer = weightByCustomer;
  }

  weightOf(customerId: string): number {
    return this.#weightByCustomer.get(customerId) ?? 1;
  }

  /** Counts starts of a customer. */
  recordServed(customerId: string, nowMs: number, count: number): void {
    this.#baseMs ??= nowMs;
    const added = count * this.#scaledStart(nowMs);
    this.#scaledByCustomer.set(customerId, this.#scaled(customerId) + added);
  }

  /** Scales the counts anew where that is due; returns true where all of them changed. */
  advance(nowMs: number): boolean {
    const sinceBaseMs = nowMs - (this.#baseMs ?? nowMs);
    if (sinceBaseMs < rescaleAfterMs) {
      return false;
    }
    this.#baseMs = nowMs;
    const factor = Math.exp(-sinceBaseMs / servedDecayMs);
    for (const [customerId, scaled] of this.#scaledByCustomer) {
      if (scaled * factor < forgottenBelow) {
        this.#scaledByCustomer.delete(customerId);
      } else {
        this.#scaledByCustomer.set(customerId, scaled * factor);
      }
    }
    return true;
  }

  /**
   * Recent service of a customer divided by its weight, scaled by a factor that is the same for all customers:
   * fit for comparisons between customers only.
   */
  relativeService(customerId: string): number {
    return this.#scaled(customerId) / this.weightOf(customerId);
  }

  /** Starts of a customer per ms, over the time in which earlier service loses weight. */
  startsPerMs(customerId: string, nowMs: number): number {
    return this.#scaled(customerId) / this.#scaledStart(nowMs) / servedDecayMs;
  }

  #scaledStart(nowMs: number): number {
    return Math.exp((nowMs - (this.#baseMs ?? nowMs)) / servedDecayMs);
  }

  #scaled(customerId: string): number {
    return this.#scaledByCustomer.get(customerId) ?? 0;
  }
}
