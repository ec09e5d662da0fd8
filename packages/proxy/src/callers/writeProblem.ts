import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorKind} from '@godwitspring/core';
import type {HttpDialect, RefusalOptions} from '../dialect/httpDialect.ts';
import type {TimerService} from '../timer/timerService.ts';

/** Details and collaborators for writing a refusal. */
export interface WriteProblemOptions extends RefusalOptions {
  readonly dialect: HttpDialect;
  readonly timers: TimerService;
}

/**
 * Most bytes of an unread request body that are read and dropped, so that the caller can read the refusal.
 */
const lingerMaxBytes = 1_048_576;
/** Longest time for which the rest of an unread request body is read and dropped, in ms. */
const lingerTimeoutMs = 1_000;

/**
 * Lingering close: lets a caller that is still sending its body read the refusal.
 *
 * Closing a connection with unread bytes resets it, and the caller loses what it has not read yet. So the
 * rest of the body is read and dropped, within limits on bytes and time, before the connection is closed.
 */
function startLingeringClose(incoming: IncomingMessage, timers: TimerService): void {
  let droppedBytes = 0;
  const timer = timers.at(timers.nowMs() + lingerTimeoutMs, () => {
    incoming.destroy();
  });
  incoming.on('data', (chunk: Buffer) => {
    droppedBytes += chunk.length;
    if (droppedBytes > lingerMaxBytes) {
      incoming.destroy();
    }
  });
  incoming.once('close', () => {
    timer.cancel();
  });
  incoming.once('end', () => {
    timer.cancel();
  });
  incoming.on('error', () => {
    timer.cancel();
  });
}

/** Sends a refusal to a caller; closes the connection where the request body was not read completely. */
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
    startLingeringClose(incoming, timers);
  }
}
