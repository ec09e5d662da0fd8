import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorKind} from '@godwitspring/core';
import type {HttpDialect, RefusalOptions} from '../dialect/httpDialect.ts';
import type {TimerService} from '../timer/timerService.ts';

export interface WriteProblemOptions extends RefusalOptions {
  readonly dialect: HttpDialect;
  readonly timers: TimerService;
}

/** Bytes of an unread body that are read and dropped, so that the caller can read the refusal. */
const lingerBytes = 1_048_576;
/** Longest time for which the rest of an unread body is read and dropped, in ms. */
const lingerMs = 1_000;

/**
 * Lets a caller that still sends its body read the refusal.
 *
 * A connection that is closed with bytes unread is reset, and the caller loses what it has not read. The
 * rest of the body is dropped, within bounds, before the connection is closed.
 */
function linger(incoming: IncomingMessage, timers: TimerService): void {
  let seenBytes = 0;
  const end = timers.at(timers.nowMs() + lingerMs, () => {
    incoming.destroy();
  });
  incoming.on('data', (chunk: Buffer) => {
    seenBytes += chunk.length;
    if (seenBytes > lingerBytes) {
      incoming.destroy();
    }
  });
  incoming.once('close', () => {
    end.cancel();
  });
  incoming.once('end', () => {
    end.cancel();
  });
  incoming.on('error', () => {
    end.cancel();
  });
}

/** Answers a caller with a refusal; closes the connection where the body was not read. */
export function writeProblem(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  kind: ErrorKind,
  {dialect, timers, ...options}: WriteProblemOptions,
): void {
  const {status, headers, body} = dialect.refusal(kind, options);
  const isBodyUnread = !incoming.complete;
  const length = {'content-length': String(Buffer.byteLength(body))};
  outgoing.writeHead(status, {
    ...headers,
    ...length,
    ...(isBodyUnread ? {connection: 'close'} : {}),
  });
  outgoing.end(body);
  if (isBodyUnread) {
    linger(incoming, timers);
  }
}
