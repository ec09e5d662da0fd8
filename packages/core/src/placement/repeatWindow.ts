/** Parts into which the window is divided. */
const slotsPerWindow = 20;
/** Part of the slack that one home uses: two homes may act at once after a partition. */
const usedSlack = 0.5;

export interface RepeatWindowOptions {
  readonly windowMs: number;
  /** Repeats allowed, as a share of the requests. */
  readonly ratio: number;
  /** Repeats allowed beyond the share. */
  readonly slack: number;
}

interface Counts {
  requests: number;
  repeats: number;
}

/**
 * Bounds repeats to a share of the requests in a sliding window, as the home of a backend counts them.
 *
 * Load pattern: many servers fail at once and each failure asks for a repeat, while callers repeat too.
 */
export class RepeatWindow {
  readonly #options: RepeatWindowOptions;
  readonly #slots = new Map<number, Counts>();

  constructor(options: RepeatWindowOptions) {
    this.#options = options;
  }

  noteRequest(nowMs: number): void {
    this.#slot(nowMs).requests += 1;
  }

  noteRepeat(nowMs: number): void {
    this.#slot(nowMs).repeats += 1;
  }

  /** Part of the allowed repeats that is used, 0 to 1 and above. */
  use(nowMs: number): number {
    const {ratio, slack} = this.#options;
    let requests = 0;
    let repeats = 0;
    const oldest = this.#slotNumber(nowMs) - slotsPerWindow;
    for (const [number, counts] of this.#slots) {
      if (number < oldest) {
        this.#slots.delete(number);
        continue;
      }
      requests += counts.requests;
      repeats += counts.repeats;
    }
    return repeats / (requests * ratio + slack * usedSlack);
  }

  #slotNumber(nowMs: number): number {
    return Math.floor((nowMs * slotsPerWindow) / this.#options.windowMs);
  }

  #slot(nowMs: number): Counts {
    const number = this.#slotNumber(nowMs);
    const slot = this.#slots.get(number) ?? {requests: 0, repeats: 0};
    this.#slots.set(number, slot);
    return slot;
  }
}
