import type {DiscoveredServer} from '@godwitspring/document';
import type {HashFunction} from '../hash/hashFunction.ts';

/**
 * Numbers of the servers that a home serves: their positions in the sorted list of ids. A set of servers takes one
 * bit for each. Two hosts understand each other's numbers where the hashes of their lists are equal.
 */
export class ServerNumbers {
  readonly listHash: number;
  readonly #ids: readonly string[];

  constructor(servers: readonly DiscoveredServer[], hash: HashFunction) {
    this.#ids = servers
      .filter(({state}) => state === 'in-service')
      .map(({id}) => id)
      .sort();
    this.listHash = hash(this.#ids.join(' '));
  }

  /** Packs a set of servers into bits; those that are not in the list are left out. */
  encode(serverIds: ReadonlySet<string>): Uint8Array<ArrayBuffer> {
    const bits: number[] = [];
    for (const [number, id] of this.#ids.entries()) {
      if (serverIds.has(id)) {
        const byte = number >> 3;
        while (bits.length <= byte) {
          bits.push(0);
        }
        bits[byte] = (bits[byte] ?? 0) | (1 << (number & 7));
      }
    }
    return Uint8Array.from(bits);
  }

  /** Ids of the servers whose bits are set. */
  decode(bits: Uint8Array): string[] {
    return this.#ids.filter((_, number) => ((bits[number >> 3] ?? 0) & (1 << (number & 7))) !== 0);
  }
}
