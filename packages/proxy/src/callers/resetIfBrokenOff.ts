import type {ServerResponse} from 'node:http';
import type {PendingResponse} from './exchange.ts';

/**
 * Resets the connection to a caller where the body of its response breaks off. Called before the body is streamed, as
 * the stream closes the connection in order, which would look like the end of a complete response.
 */
export function resetIfBrokenOff({body}: PendingResponse, outgoing: ServerResponse): void {
  const reset = (): void => {
    if (!body.readableEnded) {
      // A response that waits behind another of its connection has its socket only later.
      outgoing.socket?.resetAndDestroy();
    }
  };
  body.once('error', reset);
  body.once('close', reset);
}
