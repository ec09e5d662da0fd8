import {identityOf, requestKey} from './requestIdentity.ts';
import type {RequestIdentity} from './requestIdentity.ts';

/** A poison request that is refused until a moment of this host's clock, in ms. */
export interface BlockedRequest {
  readonly identity: RequestIdentity;
  readonly untilMs: number;
}

/** The poison requests that are refused, bounded in number; the one that was blocked first is dropped first. */
export class BlockedRequests {
  readonly #maxRequests: number;
  readonly #requests = new Map<string, BlockedRequest>();

  constructor(maxRequests: number) {
    this.#maxRequests = maxRequests;
  }

  add(message: RequestIdentity, untilMs: number): void {
    const identity = identityOf(message);
    const key = requestKey(identity);
    this.#requests.delete(key);
    this.#requests.set(key, {identity, untilMs});
    for (const oldest of this.#requests.keys()) {
      if (this.#requests.size <= this.#maxRequests) {
        return;
      }
      this.#requests.delete(oldest);
    }
  }

  /** Lifts the block of a request; returns false where it was not blocked. */
  delete(key: string): boolean {
    return this.#requests.delete(key);
  }

  /** The block of a request; undefined where there is none, or where it has expired. */
  find(key: string, nowMs: number): BlockedRequest | undefined {
    const blocked = this.#requests.get(key);
    return blocked !== undefined && blocked.untilMs > nowMs ? blocked : undefined;
  }

  /** All blocks that have not expired. */
  list(nowMs: number): readonly BlockedRequest[] {
    return [...this.#requests.values()].filter(({untilMs}) => untilMs > nowMs);
  }
}
