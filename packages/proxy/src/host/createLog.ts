import {pino} from 'pino';
import type {Logger} from 'pino';

/** Creates the log of a process: JSON lines on standard output, with times in ISO 8601. */
export function createLog(level: string, base: Readonly<Record<string, string>>): Logger {
  return pino({
    level,
    base,
    timestamp: pino.stdTimeFunctions.isoTime,
    messageKey: 'message',
  });
}
