import {createHash} from 'node:crypto';

const blockBytes = 65_536;

function block(seed: number): Buffer {
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

/** Chunks of `size` bytes that follow from the seed, in constant memory. */
export function* patternBytes(seed: number, size: number): Generator<Buffer> {
  const bytes = block(seed);
  let left = size;
  while (left > 0) {
    const chunk = bytes.subarray(0, Math.min(left, blockBytes));
    yield chunk;
    left -= chunk.length;
  }
}

/** SHA-256 of the bytes that `patternBytes` gives, in hex. */
export function patternDigest(seed: number, size: number): string {
  const hash = createHash('sha256');
  for (const chunk of patternBytes(seed, size)) {
    hash.update(chunk);
  }
  return hash.digest('hex');
}
