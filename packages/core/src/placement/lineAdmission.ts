import type {PlaceAsk} from '../messages/peerMessages.ts';
import {LineThroughput} from './lineThroughput.ts';
import {WaitingLine} from './waitingLine.ts';

/** What is known of an ask that finds no server. */
export interface WaitTerms {
  readonly hostId: string;
  readonly ask: PlaceAsk;
  /** Wait after which the answer would come later than the route's target, in ms. */
  readonly inTargetForMs: number;
  /** Wait after which the answer would come when the caller has left, in ms. */
  readonly usefulForMs: number;
  /** Requests that the sound servers are expected to begin in a ms. */
  readonly expectedPerMs: number;
}

export type LineVerdict =
  | {readonly state: 'waiting'; readonly expectedWaitMs: number}
  | {readonly state: 'refused'; readonly retryAfterMs: number};

/** An ask that waits no longer, and the wait after which another one has a chance. */
export interface UselessAsk {
  readonly key: string;
  readonly hostId: string;
  readonly ask: PlaceAsk;
  readonly waitedMs: number;
  readonly retryAfterMs: number;
}

/** Shortest wait told to a caller, in ms: as long as requests of usual length take to free a slot or two. */
const shortestRetryMs = 50;
/**
 * Part of the wait that its target allows after which a request leaves a crowded line: whoever was not
 * served by then is overtaken by others from then on.
 */
const crowdedPatience = 0.25;
/** A rank is crowded from the point at which its line takes this part of that wait to serve: work times vary. */
const crowdedFrom = 0.5;
/** A line is crowded until it would be served within this part of that wait. */
const calmBelow = 0.1;

/** Requests of one rank that wait, and how fast they are served. */
interface RankState {
  readonly throughput: LineThroughput;
  waiting: number;
  /** Longest time in which the rank's requests may be served before it is crowded, in ms. */
  allowedMs: number;
  /** As in the newest terms, until the line was measured. */
  expectedPerMs: number;
}

/**
 * Decides which requests wait for a server, in which order and for how long.
 *
 * Load pattern: a burst, or one customer at many times its usual, brings more than the sound servers bear
 * for seconds. In a line served in the order of arrival everybody then waits until nearly too late. Once
 * the requests of a rank would take longer to serve than they have until their target, the rank is
 * crowded: the newest of equals are served first, in time, and whoever waited for a part of that time is
 * refused, until nearly nobody waits. Ranks are measured apart, as less urgent ones are served slower. In
 * a line that moves fast enough requests wait for as long as their callers do.
 */
export class LineAdmission {
  readonly line = new WaitingLine();
  readonly #ranks = new Map<number, RankState>();

  /** True while more requests of a rank wait than can be served before their target. */
  isCrowded(priority: number): boolean {
    return this.line.crowdedRanks.has(priority);
  }

  /** Lets an ask wait, or refuses it where no time is left for that. */
  admit(key: string, terms: WaitTerms, nowMs: number): LineVerdict {
    const {hostId, ask, inTargetForMs, usefulForMs, expectedPerMs} = terms;
    const {priority} = ask;
    const rank = this.#rank(priority);
    rank.expectedPerMs = expectedPerMs;
    const isCrowded = this.isCrowded(priority);
    const expectedWaitMs = this.#waitMs(rank, nowMs);
    if (usefulForMs <= 0 || (!isCrowded && expectedWaitMs > usefulForMs)) {
      return {state: 'refused', retryAfterMs: Math.max(shortestRetryMs, expectedWaitMs)};
    }
    this.line.add(key, {
      hostId,
      ask,
      arrivedAtMs: nowMs,
      impatientAtMs: nowMs + inTargetForMs * crowdedPatience,
      uselessAtMs: nowMs + usefulForMs,
    });
    rank.waiting += 1;
    rank.throughput.note(true, nowMs);
    if (!isCrowded && expectedWaitMs > inTargetForMs * crowdedFrom) {
      this.line.crowdedRanks.add(priority);
      rank.allowedMs = inTargetForMs;
    }
    return {state: 'waiting', expectedWaitMs};
  }

  /** Counts a request that was given a server. */
  noteGrant({customerId, isRepeat, priority}: PlaceAsk, nowMs: number): void {
    this.line.noteServed(customerId, nowMs);
    if (!isRepeat) {
      this.#rank(priority).throughput.noteGrant(nowMs);
    }
  }

  /** Takes an ask out of the line, where it waits there. */
  remove(key: string, nowMs: number): void {
    const priority = this.line.remove(key)?.ask.priority;
    if (priority === undefined) {
      return;
    }
    const rank = this.#rank(priority);
    rank.waiting -= 1;
    rank.throughput.note(rank.waiting > 0, nowMs);
    if (rank.waiting === 0 || this.#waitMs(rank, nowMs) <= rank.allowedMs * calmBelow) {
      this.line.crowdedRanks.delete(priority);
    }
  }

  /** Takes out of the line what can be served in time no more. */
  takeUseless(nowMs: number): UselessAsk[] {
    const useless: UselessAsk[] = [];
    for (const [key, {hostId, ask, arrivedAtMs, impatientAtMs, uselessAtMs}] of this.line.entries) {
      const leavesAtMs = this.isCrowded(ask.priority)
        ? Math.min(impatientAtMs, uselessAtMs)
        : uselessAtMs;
      if (nowMs < leavesAtMs) {
        continue;
      }
      const waitMs = this.#waitMs(this.#rank(ask.priority), nowMs);
      this.remove(key, nowMs);
      const retryAfterMs = Math.max(shortestRetryMs, waitMs);
      useless.push({key, hostId, ask, waitedMs: nowMs - arrivedAtMs, retryAfterMs});
    }
    return useless;
  }

  /** Time in which one more request of a rank would be served, in ms. */
  #waitMs({throughput, waiting, expectedPerMs}: RankState, nowMs: number): number {
    return (waiting + 1) / throughput.perMs(expectedPerMs, nowMs);
  }

  #rank(priority: number): RankState {
    let rank = this.#ranks.get(priority);
    if (rank === undefined) {
      rank = {throughput: new LineThroughput(), waiting: 0, allowedMs: 0, expectedPerMs: 1};
      this.#ranks.set(priority, rank);
    }
    return rank;
  }
}
