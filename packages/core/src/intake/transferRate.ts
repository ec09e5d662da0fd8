/** Least rate of a transfer. */
export interface TransferRateOptions {
  readonly minBytesPerSecond: number;
  /** Waiting time for which the rate does not hold yet, in ms. */
  readonly graceMs: number;
}

/**
 * Mean rate of a transfer in the time in which the other side was waited for. Addresses callers that send or read just
 * enough never to be idle.
 */
export class TransferRate {
  readonly #options: TransferRateOptions;
  #waitedMs = 0;
  #bytes = 0;

  constructor(options: TransferRateOptions) {
    this.#options = options;
  }

  /** True where the transfer is slower than the least rate, after the time of grace. */
  get isTooSlow(): boolean {
    const {minBytesPerSecond, graceMs} = this.#options;
    const countedMs = this.#waitedMs - graceMs;
    return countedMs > 0 && this.#bytes < (countedMs / 1_000) * minBytesPerSecond;
  }

  /** Adds a period in which the other side was waited for, and what it transferred in that period. */
  record(waitedMs: number, bytes: number): void {
    this.#waitedMs += waitedMs;
    this.#bytes += bytes;
  }

  /** Starts again, for the next transfer of the connection. */
  reset(): void {
    this.#waitedMs = 0;
    this.#bytes = 0;
  }
}
