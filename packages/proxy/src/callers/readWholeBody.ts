import type {IncomingMessage} from 'node:http';
import {SlowCallerError} from '../errors/hostErrors.ts';
import type {TimerService} from '../timer/timerService.ts';

/** Reads a request body into memory; fails where the caller disconnects or sends nothing for `idleMs`. */
export async function readWholeBody(
  incoming: IncomingMessage,
  {timers, idleMs}: {timers: TimerService; idleMs: number},
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let lastProgressMs = timers.nowMs();
  const scheduleIdleCheck = (): ReturnType<TimerService['at']> =>
    timers.at(lastProgressMs + idleMs, () => {
      if (timers.nowMs() - lastProgressMs >= idleMs) {
        incoming.destroy(
          new SlowCallerError(`no byte of the request body received for ${idleMs} ms`),
        );
        return;
      }
      timer = scheduleIdleCheck();
    });
  let timer = scheduleIdleCheck();
  try {
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
      lastProgressMs = timers.nowMs();
    }
    return Buffer.concat(chunks);
  } finally {
    timer.cancel();
  }
}
