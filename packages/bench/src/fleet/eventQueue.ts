/** A callback that is due at a moment of virtual time. */
interface QueuedEvent {
  readonly atMs: number;
  /** Position in the order of scheduling; breaks ties between events of one moment. */
  readonly sequence: number;
  readonly run: () => void;
}

function isEarlier(one: QueuedEvent, other: QueuedEvent): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.sequence < other.sequence);
}

/**
 * Scheduler of a discrete-event simulation: runs callbacks in virtual time, ordered by due time and,
 * for the same due time, by the order in which they were scheduled. A binary heap holds them.
 */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #nextSequence = 0;
  #nowMs = 0;

  /** Current virtual time, in ms. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules a callback; a due time in the past counts as now. */
  schedule(atMs: number, run: () => void): void {
    this.#heap.push({atMs: Math.max(atMs, this.#nowMs), sequence: this.#nextSequence, run});
    this.#nextSequence += 1;
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs every event that is due up to and at `untilMs`, then sets the clock to `untilMs`. */
  runUntil(untilMs: number): void {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined || first.atMs > untilMs) {
        break;
      }
      this.#removeFirst();
      this.#nowMs = first.atMs;
      first.run();
    }
    this.#nowMs = untilMs;
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) {
      return;
    }
    this.#heap[0] = last;
    this.#siftDown(0);
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#swapIfEarlier(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const smaller = this.#isEarlierAt(right, left) ? right : left;
      if (!this.#swapIfEarlier(smaller, index)) {
        return;
      }
      index = smaller;
    }
  }

  #isEarlierAt(one: number, other: number): boolean {
    const first = this.#heap[one];
    const second = this.#heap[other];
    return first !== undefined && second !== undefined && isEarlier(first, second);
  }

  #swapIfEarlier(child: number, parent: number): boolean {
    const one = this.#heap[child];
    const other = this.#heap[parent];
    if (one === undefined || other === undefined || !isEarlier(one, other)) {
      return false;
    }
    this.#heap[parent] = one;
    this.#heap[child] = other;
    return true;
  }
}
