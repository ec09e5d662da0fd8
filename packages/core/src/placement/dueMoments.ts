/** An item with the moment at which it is due, in ms. */
interface DueItem<Item> {
  readonly item: Item;
  readonly dueAtMs: number;
}

/** Removed items that the heap may hold besides as many as it has present ones. */
const compactAbove = 16;

/**
 * Items by the moment at which they are due, in a binary heap. Removed items stay in the heap until they are
 * due, or until they outnumber the others.
 */
export class DueMoments<Item> {
  readonly #present = new Map<Item, DueItem<Item>>();
  #heap: DueItem<Item>[] = [];
  /** Number of comparisons between items, for tests. */
  comparisonCount = 0;

  get size(): number {
    return this.#present.size;
  }

  /** Adds an item, or changes the moment at which it is due. */
  set(item: Item, dueAtMs: number): void {
    const added = {item, dueAtMs};
    this.#present.set(item, added);
    this.#heap.push(added);
    this.#siftUp(this.#heap.length - 1);
    this.#compact();
  }

  delete(item: Item): void {
    if (this.#present.delete(item)) {
      this.#compact();
    }
  }

  /** Removes the item that is due first, if it is due by a moment, and returns it. */
  takeDue(nowMs: number): Item | undefined {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined) {
        return undefined;
      }
      const isPresent = this.#present.get(first.item) === first;
      if (isPresent && first.dueAtMs > nowMs) {
        return undefined;
      }
      this.#removeFirst();
      if (isPresent) {
        this.#present.delete(first.item);
        return first.item;
      }
    }
  }

  #compact(): void {
    if (this.#heap.length > this.#present.size * 2 + compactAbove) {
      this.#heap = [...this.#present.values()].sort((one, other) => {
        this.comparisonCount += 1;
        return one.dueAtMs - other.dueAtMs;
      });
    }
  }

  #isBefore(one: DueItem<Item>, other: DueItem<Item>): boolean {
    this.comparisonCount += 1;
    return one.dueAtMs < other.dueAtMs;
  }

  #siftUp(from: number): void {
    const heap = this.#heap;
    let index = from;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const moved = heap[index];
      const parent = heap[parentIndex];
      if (moved === undefined || parent === undefined || !this.#isBefore(moved, parent)) {
        return;
      }
      heap[index] = parent;
      heap[parentIndex] = moved;
      index = parentIndex;
    }
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = heap[index * 2 + 1];
      const right = heap[index * 2 + 2];
      if (left === undefined) {
        return;
      }
      const isRightFirst = right !== undefined && this.#isBefore(right, left);
      const child = isRightFirst ? right : left;
      if (!this.#isBefore(child, last)) {
        return;
      }
      heap[index] = child;
      index = index * 2 + (isRightFirst ? 2 : 1);
      heap[index] = last;
    }
  }
}
