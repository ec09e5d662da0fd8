import type {CoreMessage, CoreTask} from '@godwitspring/core';
import {IdealTokenBucket} from '../oracles/idealTokenBucket.ts';

/**
 * Baseline: fixed division of rate limits. Each host limits a customer to an equal share of its rate and burst,
 * the burst at least one request, and the shares are never lent.
 */
export class FixedSplitAllowance implements CoreTask {
  readonly accepts = ['documentInForce', 'membershipChanged', 'permitWanted'] as const;
  readonly #buckets = new Map<string, IdealTokenBucket>();
  #customers = new Map<string, {ratePerSecond: number; burstRequests: number}>();
  #hostCount = 1;

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'documentInForce':
        this.#customers = new Map(message.document.customers.map((one) => [one.id, one]));
        return [];
      case 'membershipChanged':
        if (message.list.hosts.length !== this.#hostCount) {
          this.#hostCount = message.list.hosts.length;
          this.#buckets.clear();
        }
        return [];
      case 'permitWanted': {
        const {requestId, customerId} = message;
        return this.#bucketOf(customerId).tryConsume(nowMs)
          ? [{type: 'permitGranted', requestId, usableUntilMs: nowMs + 1_000}]
          : [{type: 'permitRefused', requestId, kind: 'rate-limited'}];
      }
      default:
        return [];
    }
  }

  #bucketOf(customerId: string): IdealTokenBucket {
    let bucket = this.#buckets.get(customerId);
    if (bucket === undefined) {
      const {ratePerSecond = 0, burstRequests = 0} = this.#customers.get(customerId) ?? {};
      bucket = new IdealTokenBucket({
        ratePerSecond: ratePerSecond / this.#hostCount,
        burstRequests: Math.max(1, burstRequests / this.#hostCount),
      });
      this.#buckets.set(customerId, bucket);
    }
    return bucket;
  }
}
