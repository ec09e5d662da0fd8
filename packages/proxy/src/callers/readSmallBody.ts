import type {IncomingMessage} from 'node:http';
import {SlowCallerError} from '../errors/hostErrors.ts';
import type {TimerService} from '../timer/timerService.ts';

/** Reads a whole announced body; fails when the caller breaks off or is silent for too long. */
export async function readSmallBody(
  incoming: IncomingMessage,
  {timers, idleMs}: {timers: TimerService; idleMs: number},
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let lastSeenMs = timers.nowMs();
  const watch = (): ReturnType<TimerService['at']> =>
    timers.at(lastSeenMs + idleMs, () => {
      if (timers.nowMs() - lastSeenMs >= idleMs) {
        incoming.destroy(new SlowCallerError(`no byte of the body for ${idleMs} ms`));
        return;
      }
      subscription = watch();
    });
  let subscription = watch();
  try {
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
      lastSeenMs = timers.nowMs();
    }
    return Buffer.concat(chunks);
  } finally {
    subscription.cancel();
  }
}
