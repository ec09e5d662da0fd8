import type {RandomSource} from '@godwitspring/core';

/** Faults that the network applies to every message between hosts. */
export interface NetworkFaults {
  /** Lost messages per 1,000. */
  lossPerMille: number;
  /** Messages per 1,000 that arrive twice. */
  duplicatePerMille: number;
  /** Upper limit of the additional random delay, in ms. */
  maxExtraDelayMs: number;
}

/**
 * Simulates the network: decides whether, how often and after which delay a message arrives. Links can be
 * cut in one direction.
 */
export class SimulatedNetwork {
  readonly faults: NetworkFaults = {
    lossPerMille: 0,
    duplicatePerMille: 0,
    maxExtraDelayMs: 0,
  };
  readonly #random: RandomSource;
  readonly #cuts = new Set<string>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Cuts the link from one node to another; the opposite direction keeps working. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Restores all links that were cut. */
  heal(): void {
    this.#cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /** Delays after which a message arrives, in ms: empty where it is lost, two where it is duplicated. */
  deliveryDelaysMs(from: string, to: string, baseDelayMs: number): number[] {
    const {lossPerMille, duplicatePerMille} = this.faults;
    if (this.isCut(from, to) || this.#random.nextInt(1_000) < lossPerMille) {
      return [];
    }
    const delays = [this.#randomDelayMs(baseDelayMs)];
    if (this.#random.nextInt(1_000) < duplicatePerMille) {
      delays.push(this.#randomDelayMs(baseDelayMs));
    }
    return delays;
  }

  #randomDelayMs(baseDelayMs: number): number {
    const {maxExtraDelayMs} = this.faults;
    return baseDelayMs + (maxExtraDelayMs > 0 ? this.#random.nextInt(maxExtraDelayMs) : 0);
  }
}
