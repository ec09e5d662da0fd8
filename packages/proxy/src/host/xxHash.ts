import type {HashFunction} from '@godwitspring/core';
import xxhash from 'xxhash-wasm';

/** Loads the hash that places buckets on hosts. */
export async function loadXxHash(): Promise<HashFunction> {
  const {h32} = await xxhash();
  return (text) => h32(text);
}
