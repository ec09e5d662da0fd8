import {pino} from 'pino';
import type {Logger} from 'pino';

/** Log of one process: JSON lines on standard output, times in ISO 8601. */
export function createLog(level: string, base: Readonly<Record<string, string>>): Logger {
  return pino({
    level,
    base,
    timestamp: pino.stdTimeFunctions.isoTime,
    messageKey: 'message',
  });
}
