interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function isEarlier(one: QueuedEvent, other: QueuedEvent): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
}

/** Events in virtual time, run in the order of their moments and, at the same moment, of their adding. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #nextOrder = 0;
  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  add(atMs: number, run: () => void): void {
    this.#heap.push({atMs: Math.max(atMs, this.#nowMs), order: this.#nextOrder, run});
    this.#nextOrder += 1;
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs every event up to and at `untilMs`. */
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
