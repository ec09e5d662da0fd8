import type {ServerResponse} from 'node:http';

/** True where a response has begun whose end only the close of its connection marks. */
export function isCloseDelimited(outgoing: ServerResponse): boolean {
  return outgoing.headersSent && !outgoing.chunkedEncoding && !outgoing.hasHeader('content-length');
}

/** Ends a response early so that its receiver notices: by a reset where a close would look like its end. */
export function breakOff(outgoing: ServerResponse): void {
  if (isCloseDelimited(outgoing)) {
    outgoing.socket?.resetAndDestroy();
  }
  outgoing.destroy();
}
