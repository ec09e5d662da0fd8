/** A fast hash of a text, the same on every host; 32 bits, unsigned. */
export type HashFunction = (text: string) => number;
