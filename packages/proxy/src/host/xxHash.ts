import type {HashFunction} from '@godwitspring/core';
import xxhash from 'xxhash-wasm';

/** Loads xxHash32, the hash by which rendezvous hashing assigns keys (such as hash buckets) to hosts. */
export async function loadXxHash(): Promise<HashFunction> {
  const {h32} = await xxhash();
  return (text) => h32(text);
}
