import {createHash} from 'node:crypto';

/** Size of the repeated block, in bytes. */
const blockBytes = 65_536;

/** One block of pseudo-random bytes (xorshift generator) for a seed. */
function createBlock(seed: number): Buffer {
  const bytes = Buffer.alloc(blockBytes);
  let state = (seed * 2_654_435_761 + 1) >>> 0;
  for (let index = 0; index < blockBytes; index += 4) {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    bytes.writeUInt32LE(state >>> 0, index);
  }
  return bytes;
}

/**
 * Yields chunks with `size` bytes in total, determined by the seed: one pseudo-random block, repeated.
 *
 * Memory use does not grow with the size.
 */
export function* patternBytes(seed: number, size: number): Generator<Buffer> {
  const bytes = createBlock(seed);
  let remainingBytes = size;
  while (remainingBytes > 0) {
    const chunk = bytes.subarray(0, Math.min(remainingBytes, blockBytes));
    yield chunk;
    remainingBytes -= chunk.length;
  }
}

/** SHA-256 of the bytes that `patternBytes` yields, in hex. */
export function patternDigest(seed: number, size: number): string {
  const hash = createHash('sha256');
  for (const chunk of patternBytes(seed, size)) {
    hash.update(chunk);
  }
  return hash.digest('hex');
}
