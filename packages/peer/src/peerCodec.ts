import {peerMessageSchema} from '@godwitspring/core';
import type {PeerMessage} from '@godwitspring/core';
import {Packr} from 'msgpackr';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

/**
 * Turns messages of one direction of one connection into bytes and back.
 *
 * Field names travel once a connection, so both ends keep a codec for each connection and use it in
 * the order of the messages.
 */
export class PeerCodec {
  readonly #packr = new Packr({sequential: true, useRecords: true, moreTypes: true});

  encode(message: PeerMessage): Uint8Array {
    return this.#packr.pack(message);
  }

  /** Decodes and checks a message; tells what is wrong with a bad one. */
  decode(bytes: Uint8Array): Result<PeerMessage, string> {
    const decoded = this.#unpack(bytes);
    if (decoded.isErr()) {
      return err(decoded.error);
    }
    const parsed = peerMessageSchema.safeParse(decoded.value);
    return parsed.success
      ? ok(parsed.data)
      : err(parsed.error.issues[0]?.message ?? 'no peer message');
  }

  #unpack(bytes: Uint8Array): Result<unknown, string> {
    try {
      return ok(this.#packr.unpack(bytes) as unknown);
    } catch (cause) {
      return err(cause instanceof Error ? cause.message : String(cause));
    }
  }
}
