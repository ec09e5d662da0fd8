import type {ServerResponse} from 'node:http';
import type {PendingResponse} from './exchange.ts';

/**
 * Resets the connection to a caller where the body of its response breaks off. Called before the body is streamed, as
 * the stream closes the connection in order, which to a caller of HTTP/1.0 is the end of a complete response.
 */
export function resetIfBrokenOff({body}: PendingResponse, {socket}: ServerResponse): void {
  const reset = (): void => {
    if (!body.readableEnded) {
      socket?.resetAndDestroy();
    }
  };
  body.once('error', reset);
  body.once('close', reset);
}
