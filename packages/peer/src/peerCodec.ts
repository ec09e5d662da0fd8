import {peerMessageSchema} from '@godwitspring/core';
import type {PeerMessage} from '@godwitspring/core';
import {Packr} from 'msgpackr';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

/**
 * Encodes and decodes the messages of one direction of one connection.
 *
 * Field names are sent only once per connection. Both ends therefore need one codec per connection and must
 * use it in the order of the messages.
 */
export class PeerCodec {
  readonly #packr = new Packr({sequential: true, useRecords: true, moreTypes: true});

  /** Encodes a message as MessagePack. */
  encode(message: PeerMessage): Uint8Array {
    return this.#packr.pack(message);
  }

  /** Decodes and validates a message; returns the reason if it is invalid. */
  decode(bytes: Uint8Array): Result<PeerMessage, string> {
    const decoded = this.#unpack(bytes);
    if (decoded.isErr()) {
      return err(decoded.error);
    }
    const parsed = peerMessageSchema.safeParse(decoded.value);
    return parsed.success
      ? ok(parsed.data)
      : err(parsed.error.issues[0]?.message ?? 'not a valid peer message');
  }

  #unpack(bytes: Uint8Array): Result<unknown, string> {
    try {
      return ok(this.#packr.unpack(bytes) as unknown);
    } catch (cause) {
      return err(cause instanceof Error ? cause.message : String(cause));
    }
  }
}
