/** Limits on the memory of responses that are read completely before they are passed on. */
export interface ResponseMemoryBudgetOptions {
  /** Memory that all responses of the process may take together beyond their free parts, in bytes. Default: 16 MiB. */
  readonly limitBytes: number;
  /**
   * First part of each response, which is always granted and not counted, in bytes. Default: 65,536, so that small
   * responses are read completely also while large ones hold the whole budget.
   */
  readonly freeBytesPerResponse: number;
}

export const DEFAULT_RESPONSE_MEMORY_BUDGET_OPTIONS: ResponseMemoryBudgetOptions = {
  limitBytes: 16_777_216,
  freeBytesPerResponse: 65_536,
};

/** Memory of one response that is being read. */
export interface ResponseMemory {
  /**
   * Takes memory for bytes that arrived; false where the budget does not hold them. Nothing is taken then, and what
   * was taken before stays taken.
   */
  readonly tryTake: (bytes: number) => boolean;
  /** Returns everything that was taken, once the response has ended; has no effect when called again. */
  readonly release: () => void;
}

/**
 * Bounds the memory of the responses that a process reads completely before it passes them on. Addresses many servers
 * that send bytes without end at the same time: each response alone stays within its own bound.
 *
 * `MemoryBudget` counts what is held for callers, by customer and in reservations of known size. A response without a
 * length has no known size, so it takes its memory as it arrives.
 */
export class ResponseMemoryBudget {
  readonly #options: ResponseMemoryBudgetOptions;
  #usedBytes = 0;

  constructor(options: Partial<ResponseMemoryBudgetOptions> = {}) {
    this.#options = {...DEFAULT_RESPONSE_MEMORY_BUDGET_OPTIONS, ...options};
  }

  /** Memory taken by all responses beyond their free parts, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Starts to count the memory of one response. */
  open(): ResponseMemory {
    const {freeBytesPerResponse} = this.#options;
    let receivedBytes = 0;
    let countedBytes = 0;
    let isReleased = false;
    return {
      tryTake: (bytes) => {
        const nextCountedBytes = Math.max(0, receivedBytes + bytes - freeBytesPerResponse);
        if (isReleased || !this.#tryTake(nextCountedBytes - countedBytes)) {
          return false;
        }
        receivedBytes += bytes;
        countedBytes = nextCountedBytes;
        return true;
      },
      release: () => {
        isReleased = true;
        this.#usedBytes -= countedBytes;
        countedBytes = 0;
      },
    };
  }

  #tryTake(bytes: number): boolean {
    if (bytes === 0) {
      return true;
    }
    if (this.#usedBytes + bytes > this.#options.limitBytes) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }
}
