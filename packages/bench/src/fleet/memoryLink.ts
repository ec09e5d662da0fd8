import type {RandomSource} from '@godwitspring/core';

/** What the link does to messages from one host to another. */
export interface LinkFaults {
  /** Messages lost, as a part of 1,000. */
  lossPerMille: number;
  /** Messages that arrive twice, as a part of 1,000. */
  duplicatePerMille: number;
  /** Further delay drawn at random up to this, in ms. */
  maxExtraDelayMs: number;
}

/** Delays of a link that carries messages in memory, with cuts by direction. */
export class MemoryLink {
  readonly faults: LinkFaults = {
    lossPerMille: 0,
    duplicatePerMille: 0,
    maxExtraDelayMs: 0,
  };
  readonly #random: RandomSource;
  readonly #cuts = new Set<string>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Cuts one direction between two names; other directions stay. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  heal(): void {
    this.#cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /** Delays after which one message arrives; none where it is lost, two where it is doubled. */
  arrivals(from: string, to: string, baseDelayMs: number): number[] {
    const {lossPerMille, duplicatePerMille} = this.faults;
    if (this.isCut(from, to) || this.#random.below(1_000) < lossPerMille) {
      return [];
    }
    const delays = [this.#delay(baseDelayMs)];
    if (this.#random.below(1_000) < duplicatePerMille) {
      delays.push(this.#delay(baseDelayMs));
    }
    return delays;
  }

  #delay(baseDelayMs: number): number {
    const {maxExtraDelayMs} = this.faults;
    return baseDelayMs + (maxExtraDelayMs > 0 ? this.#random.below(maxExtraDelayMs) : 0);
  }
}
