import {createHash} from 'node:crypto';

/** Length of a line of a body, in bytes. */
const lineBytes = 64;

/**
 * Whole body that a server means to send for an attempt. Each line names its attempt and its place, so that no two
 * attempts have equal bodies and no part equals another one.
 */
export function bodyOf(id: string, attempt: number, bytes: number): Buffer {
  const lines: string[] = [];
  for (let offset = 0; offset < bytes; offset += lineBytes) {
    lines.push(`${id}/${attempt}/${offset}`.padEnd(lineBytes - 1, '.') + '\n');
  }
  return Buffer.from(lines.join(''), 'latin1').subarray(0, bytes);
}

/** Digest by which bodies are compared. */
export function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}
