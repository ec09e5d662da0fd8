/** A fast, non-cryptographic hash of a text, with equal values on every host; unsigned, 32 bits. */
export type HashFunction = (text: string) => number;
