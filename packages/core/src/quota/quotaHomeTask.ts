import type {Customer, FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {fleetShare} from '../fleet/fleetShare.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {CustomerBucket} from './customerBucket.ts';

/** Decides for customers whose home is here whether a request lies within rate and burst of the fleet. */
export class QuotaHomeTask implements CoreTask {
  readonly accepts = ['peerMessageReceived', 'documentInForce', 'rosterChanged'] as const;

  readonly #bounds: FleetBounds;
  readonly #buckets = new Map<string, CustomerBucket>();
  #customers = new Map<string, Customer>();
  #fleetShare = 1;

  constructor({bounds}: {readonly bounds: FleetBounds}) {
    this.#bounds = bounds;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'rosterChanged':
        this.#fleetShare = fleetShare(message, this.#bounds.rateOvershoot);
        return [];
      default:
        return [];
    }
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#customers = new Map(document.customers.map((customer) => [customer.id, customer]));
    for (const customerId of this.#buckets.keys()) {
      if (!this.#customers.has(customerId)) {
        this.#buckets.delete(customerId);
      }
    }
    return [];
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type !== 'quotaAsk') {
      return [];
    }
    const {askId, customerId} = message;
    const customer = this.#customers.get(customerId);
    if (customer === undefined) {
      return [];
    }
    let bucket = this.#buckets.get(customerId);
    if (bucket === undefined) {
      bucket = new CustomerBucket(customer, nowMs);
      this.#buckets.set(customerId, bucket);
    }
    const retryAfterMs = bucket.take(customer, this.#fleetShare, nowMs);
    const isGranted = retryAfterMs === 0;
    const answer: PeerMessage = isGranted
      ? {type: 'quotaAnswer', askId, isGranted}
      : {type: 'quotaAnswer', askId, isGranted, retryAfterMs};
    return [{type: 'sendToPeer', toHostId: fromHostId, message: answer}];
  }
}
