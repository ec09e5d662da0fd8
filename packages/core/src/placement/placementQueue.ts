import type {PlaceAsk} from '../messages/peerMessages.ts';
import {ClassStarts} from './classStarts.ts';
import {CustomerShares} from './customerShares.ts';
import type {EntryHost} from './placementDecision.ts';

/** A placement query that waits at the home of its backend. */
export interface QueuedQuery {
  readonly entryHost: EntryHost;
  readonly query: PlaceAsk;
  readonly arrivedAtMs: number;
  /** Moment at which the request is refused while its priority class is congested, in ms. */
  readonly congestedDeadlineMs: number;
  /** Moment after which the response would arrive after the target latency; undefined where not known, in ms. */
  readonly targetWaitEndsAtMs?: number;
  /** Moment after which a response would arrive too late, in ms. */
  readonly expiresAtMs: number;
}

/** A waiting request in the list of its customer, which is sorted by arrival. */
interface QueueNode {
  readonly key: string;
  readonly queued: QueuedQuery;
  readonly line: CustomerLine;
  /** Number of the request in the order in which requests were added. */
  readonly sequence: number;
  previous: QueueNode | undefined;
  next: QueueNode | undefined;
}

/** What the place of a customer among the others depends on. */
interface LineRank {
  /** Recent service divided by the weight; see `CustomerShares.relativeService`. */
  readonly relativeService: number;
  /** Arrival of the request that is served next, in ms. */
  readonly arrivedAtMs: number;
  /** Sequence number of that request. */
  readonly sequence: number;
}

/** The waiting requests of one customer in one priority class. */
interface CustomerLine {
  readonly customerId: string;
  readonly priority: number;
  size: number;
  oldest: QueueNode | undefined;
  newest: QueueNode | undefined;
  /** Rank by which the line was placed in its class. */
  rank: LineRank;
}

/** The customers that wait in one priority class. */
interface PriorityClass {
  readonly priority: number;
  readonly lines: Map<string, CustomerLine>;
  /** The lines by rank. Waiting customers are few enough for `splice` to cost next to nothing. */
  order: CustomerLine[];
  isNewestFirst: boolean;
  /** True while less urgent classes start their reserved requests only, if none waits in this class. */
  isHolding: boolean;
  /** Of the customers that had requests refused, the one that was served most for its weight. */
  mostServedRefused: string | undefined;
  /** Number of times that all lines were ranked anew. */
  revision: number;
}

/** How far an iteration has come in the requests of one customer. */
interface LineProgress {
  /** The request that was produced last. */
  last: QueueNode;
  /** The last of the produced requests that are still queued, where known. */
  kept: QueueNode | undefined;
}

const initialRank: LineRank = {relativeService: 0, arrivedAtMs: 0, sequence: 0};

/**
 * Requests that wait for a server, by priority, then by how little their customer was served recently for its
 * weight, then by arrival: oldest first, or newest first in a class that
 * moves too slowly. A few starts are reserved for classes that are not the most urgent one: see `ClassStarts`.
 *
 * Load pattern: more load than the healthy servers can handle, most of it from one customer. Every customer
 * is served: one that sends many times its typical load waits behind those that do not.
 *
 * Each priority class holds its customers in service order, and each customer its requests by arrival. Adding
 * or removing a request and finding the next one take time logarithmic in the number of waiting customers,
 * whatever the number of waiting requests.
 */
export class PlacementQueue {
  readonly shares = new CustomerShares();
  readonly classStarts = new ClassStarts();
  readonly #nodes = new Map<string, QueueNode>();
  readonly #classes = new Map<number, PriorityClass>();
  /** The priority classes that were ever used, the most urgent first. */
  readonly #sortedClasses: PriorityClass[] = [];
  #lastSequence = 0;
  /** Number of comparisons between customers or requests, for tests. */
  comparisonCount = 0;

  get size(): number {
    return this.#nodes.size;
  }

  /** Arrival of the request that has waited longest, in ms; undefined where none waits. */
  get oldestArrivedAtMs(): number | undefined {
    for (const {queued} of this.#nodes.values()) {
      return queued.arrivedAtMs;
    }
    return undefined;
  }

  has(key: string): boolean {
    return this.#nodes.has(key);
  }

  get(key: string): QueuedQuery | undefined {
    return this.#nodes.get(key)?.queued;
  }

  /** True while the newest requests of each customer in a priority class are served first. */
  isNewestFirst(priority: number): boolean {
    return this.#classes.get(priority)?.isNewestFirst ?? false;
  }

  /** Sets whether the newest requests of each customer in a priority class are served first. */
  setNewestFirst(priority: number, isNewestFirst: boolean): void {
    const priorityClass = this.#classOf(priority);
    if (priorityClass.isNewestFirst !== isNewestFirst) {
      priorityClass.isNewestFirst = isNewestFirst;
      this.#reorder(priorityClass);
    }
  }

  /**
   * Sets whether a priority class, while none of its requests waits, keeps free servers for its next ones, instead of
   * leaving them to less urgent classes.
   */
  setHolding(priority: number, isHolding: boolean): void {
    this.#classOf(priority).isHolding = isHolding;
  }

  /** Sets the weights of the customers; a customer without one has weight 1. */
  setWeights(weightByCustomer: ReadonlyMap<string, number>): void {
    this.shares.setWeights(weightByCustomer);
    this.#reorderAll();
  }

  /** Adds a request; one that waits already under the same key is replaced. */
  add(key: string, queued: QueuedQuery): void {
    this.remove(key);
    const {customerId, priority} = queued.query;
    const priorityClass = this.#classOf(priority);
    let line = priorityClass.lines.get(customerId);
    if (line === undefined) {
      line = {
        customerId,
        priority,
        size: 0,
        oldest: undefined,
        newest: undefined,
        rank: initialRank,
      };
      priorityClass.lines.set(customerId, line);
    } else {
      this.#unplace(priorityClass, line);
    }
    this.#nodes.set(key, this.#append(line, key, queued));
    this.#place(priorityClass, line);
  }

  /** Removes a request from the queue; returns undefined where it is not queued. */
  remove(key: string): QueuedQuery | undefined {
    const node = this.#nodes.get(key);
    if (node === undefined) {
      return undefined;
    }
    this.#nodes.delete(key);
    const {line, previous, next, queued} = node;
    const priorityClass = this.#classOf(line.priority);
    this.#unplace(priorityClass, line);
    line.size -= 1;
    if (previous === undefined) {
      line.oldest = next;
    } else {
      previous.next = next;
    }
    if (next === undefined) {
      line.newest = previous;
    } else {
      next.previous = previous;
    }
    if (line.oldest === undefined) {
      priorityClass.lines.delete(line.customerId);
    } else {
      this.#place(priorityClass, line);
    }
    return queued;
  }

  /**
   * Waiting requests in the order in which they should be served, each at most once. Requests may be removed
   * and starts counted during the iteration: the order of what follows takes them into account. Requests added
   * meanwhile may be left out, and whether a class serves its newest requests first is fixed when the iteration
   * comes to it.
   */
  *inOrder(nowMs: number): IterableIterator<[string, QueuedQuery]> {
    this.#advanceShares(nowMs);
    const iterators = new Map<PriorityClass, Iterator<[string, QueuedQuery], undefined>>();
    let reserved = this.#reservedClass(nowMs);
    for (const priorityClass of [...this.#sortedClasses]) {
      if (priorityClass.isHolding && priorityClass.lines.size === 0) {
        if (reserved !== undefined) {
          const {value} = this.#classInOrder(reserved).next();
          yield* value === undefined ? [] : [value];
        }
        return;
      }
      for (;;) {
        const isReserved: boolean = reserved !== undefined && reserved !== priorityClass;
        const source: PriorityClass = (isReserved ? reserved : undefined) ?? priorityClass;
        // At most one request is tried before more urgent ones, in case no server is free for it.
        reserved = undefined;
        let iterator = iterators.get(source);
        if (iterator === undefined) {
          iterator = this.#classInOrder(source);
          iterators.set(source, iterator);
        }
        const {done, value} = iterator.next();
        if (value !== undefined) {
          yield value;
        } else if (done === true && !isReserved) {
          break;
        }
      }
    }
  }

  /** Class that may start a request before more urgent ones: the one that was served the least of its requests. */
  #reservedClass(nowMs: number): PriorityClass | undefined {
    const {classStarts} = this;
    if (!classStarts.hasReserved) {
      return undefined;
    }
    let chosen: PriorityClass | undefined;
    let chosenShare = 1;
    for (const priorityClass of this.#waitingClasses()) {
      if (!this.#isBehind(priorityClass.priority)) {
        continue;
      }
      const share = classStarts.servedShare(priorityClass.priority, nowMs);
      if (share < chosenShare && !classStarts.isServedBetter(priorityClass.priority, nowMs)) {
        chosen = priorityClass;
        chosenShare = share;
      }
    }
    return chosen;
  }

  /** The classes in which requests wait, the most urgent first. */
  #waitingClasses(): PriorityClass[] {
    return this.#sortedClasses.filter(({lines}) => lines.size > 0);
  }

  /** True where a more urgent class has requests that wait, or keeps free servers for its next ones. */
  #isBehind(priority: number): boolean {
    return this.#sortedClasses.some(
      (other) => other.priority < priority && (other.isHolding || other.lines.size > 0),
    );
  }

  /** Counts the start of a request of a class, for the share that less urgent classes keep. */
  recordStart(priority: number, nowMs: number): void {
    this.classStarts.recordStart(priority, nowMs);
    if (this.#isBehind(priority)) {
      this.classStarts.useReserved();
    }
  }

  /** Number of requests of a customer that wait in a class. */
  waitingOf(customerId: string, priority: number): number {
    return this.#classes.get(priority)?.lines.get(customerId)?.size ?? 0;
  }

  /** Sum of the weights of the customers that wait in a class. */
  waitingWeight(priority: number): number {
    let sum = 0;
    for (const customerId of this.#classes.get(priority)?.lines.keys() ?? []) {
      sum += this.shares.weightOf(customerId);
    }
    return sum;
  }

  /** Records that a request of a customer was refused in a class for lack of capacity. */
  recordRefused(customerId: string, priority: number): void {
    const priorityClass = this.#classOf(priority);
    const {shares} = this;
    const {mostServedRefused = customerId} = priorityClass;
    if (shares.relativeService(customerId) >= shares.relativeService(mostServedRefused)) {
      priorityClass.mostServedRefused = customerId;
    }
  }

  /**
   * Starts per ms that a customer gets where it is served as much for its weight as any that lacks capacity in the
   * class: the one served most of those that wait, or that were refused.
   */
  fullStartsPerMs(customerId: string, priority: number, nowMs: number): number {
    const {order, mostServedRefused = customerId} = this.#classOf(priority);
    const mostServedWaiting = order[order.length - 1]?.customerId ?? customerId;
    const {shares} = this;
    const startsPerWeight = Math.max(
      ...[mostServedWaiting, mostServedRefused].map(
        (id) => shares.startsPerMs(id, nowMs) / shares.weightOf(id),
      ),
    );
    return startsPerWeight * shares.weightOf(customerId);
  }

  /** Counts attempts that were granted to a customer. */
  recordServed(customerId: string, nowMs: number, count = 1): void {
    this.#advanceShares(nowMs);
    this.shares.recordServed(customerId, nowMs, count);
    for (const priorityClass of this.#sortedClasses) {
      const line = priorityClass.lines.get(customerId);
      if (line !== undefined) {
        this.#unplace(priorityClass, line);
        this.#place(priorityClass, line);
      }
    }
  }

  *#classInOrder(priorityClass: PriorityClass): Generator<[string, QueuedQuery], undefined> {
    const {isNewestFirst} = priorityClass;
    const progressByLine = new Map<CustomerLine, LineProgress>();
    // Service and removal move lines back only, so the lines before this rank have nothing left to produce.
    let reached: LineRank | undefined;
    let {revision} = priorityClass;
    for (;;) {
      if (revision !== priorityClass.revision) {
        ({revision} = priorityClass);
        reached = undefined;
      }
      let index = reached === undefined ? 0 : this.#indexOf(priorityClass, reached);
      let node: QueueNode | undefined;
      for (; index < priorityClass.order.length && node === undefined; index += 1) {
        const line = priorityClass.order[index];
        if (line !== undefined) {
          reached = line.rank;
          node = this.#following(line, progressByLine.get(line), isNewestFirst);
        }
      }
      if (node === undefined) {
        return undefined;
      }
      const kept = progressByLine.get(node.line)?.kept;
      progressByLine.set(node.line, {last: node, kept});
      yield [node.key, node.queued];
    }
  }

  /** The first request of a line that an iteration has not produced yet. */
  #following(
    line: CustomerLine,
    progress: LineProgress | undefined,
    isNewestFirst: boolean,
  ): QueueNode | undefined {
    const first = isNewestFirst ? line.newest : line.oldest;
    if (progress === undefined) {
      return first;
    }
    const {last} = progress;
    if (this.#isQueued(last)) {
      progress.kept = last;
    }
    const {kept} = progress;
    let node: QueueNode | undefined = first;
    if (kept !== undefined && this.#isQueued(kept)) {
      node = isNewestFirst ? kept.previous : kept.next;
    }
    // Steps over produced requests only where a request was removed that the iteration produced earlier.
    while (node !== undefined && !this.#isAfter(node, last, isNewestFirst)) {
      node = isNewestFirst ? node.previous : node.next;
    }
    return node;
  }

  #isQueued(node: QueueNode): boolean {
    return this.#nodes.get(node.key) === node;
  }

  /** True where a request of a customer comes after another one in the order of service. */
  #isAfter(node: QueueNode, other: QueueNode, isNewestFirst: boolean): boolean {
    this.comparisonCount += 1;
    const difference =
      node.queued.arrivedAtMs - other.queued.arrivedAtMs || node.sequence - other.sequence;
    return isNewestFirst ? difference < 0 : difference > 0;
  }

  /** Adds a request to the list of its customer, at its place by arrival: nearly always the end. */
  #append(line: CustomerLine, key: string, queued: QueuedQuery): QueueNode {
    this.#lastSequence += 1;
    let previous = line.newest;
    let next: QueueNode | undefined;
    while (previous !== undefined && previous.queued.arrivedAtMs > queued.arrivedAtMs) {
      this.comparisonCount += 1;
      next = previous;
      ({previous} = previous);
    }
    const node: QueueNode = {key, queued, line, sequence: this.#lastSequence, previous, next};
    line.size += 1;
    if (previous === undefined) {
      line.oldest = node;
    } else {
      previous.next = node;
    }
    if (next === undefined) {
      line.newest = node;
    } else {
      next.previous = node;
    }
    return node;
  }

  #classOf(priority: number): PriorityClass {
    let priorityClass = this.#classes.get(priority);
    if (priorityClass === undefined) {
      priorityClass = {
        priority,
        lines: new Map(),
        order: [],
        isNewestFirst: false,
        isHolding: false,
        mostServedRefused: undefined,
        revision: 0,
      };
      this.#classes.set(priority, priorityClass);
      this.#sortedClasses.push(priorityClass);
      this.#sortedClasses.sort((one, other) => one.priority - other.priority);
    }
    return priorityClass;
  }

  /** Ranks a line and puts it at its place in its class. */
  #place(priorityClass: PriorityClass, line: CustomerLine): void {
    line.rank = this.#rankOf(priorityClass, line);
    priorityClass.order.splice(this.#indexOf(priorityClass, line.rank), 0, line);
  }

  #unplace(priorityClass: PriorityClass, line: CustomerLine): void {
    priorityClass.order.splice(this.#indexOf(priorityClass, line.rank), 1);
  }

  /** Number of the lines of a class that rank before a rank. */
  #indexOf(priorityClass: PriorityClass, rank: LineRank): number {
    let low = 0;
    let high = priorityClass.order.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const line = priorityClass.order[middle];
      if (line !== undefined && this.#compare(line.rank, rank, priorityClass) < 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  #rankOf({isNewestFirst}: PriorityClass, line: CustomerLine): LineRank {
    const node = isNewestFirst ? line.newest : line.oldest;
    return {
      relativeService: this.shares.relativeService(line.customerId),
      arrivedAtMs: node?.queued.arrivedAtMs ?? 0,
      sequence: node?.sequence ?? 0,
    };
  }

  #compare(one: LineRank, other: LineRank, {isNewestFirst}: PriorityClass): number {
    this.comparisonCount += 1;
    return (
      one.relativeService - other.relativeService ||
      (one.arrivedAtMs - other.arrivedAtMs || one.sequence - other.sequence) *
        (isNewestFirst ? -1 : 1)
    );
  }

  #advanceShares(nowMs: number): void {
    if (this.shares.advance(nowMs)) {
      this.#reorderAll();
    }
  }

  #reorderAll(): void {
    for (const priorityClass of this.#sortedClasses) {
      this.#reorder(priorityClass);
    }
  }

  /** Ranks all customers of a class anew. */
  #reorder(priorityClass: PriorityClass): void {
    priorityClass.revision += 1;
    for (const line of priorityClass.order) {
      line.rank = this.#rankOf(priorityClass, line);
    }
    priorityClass.order.sort((one, other) => this.#compare(one.rank, other.rank, priorityClass));
  }
}
