import {z} from 'zod';

/**
 * How an attempt at a backend server ended: `lost` if the connection broke or the response was malformed, `shed` if
 * the server refused the request under load without running it, `misdirected` if a server other than the intended
 * one answered at the address.
 */
export const attemptOutcomeSchema = z.enum([
  'ok',
  'error',
  'timeout',
  'lost',
  'unreachable',
  'shed',
  'cancelled',
  'misdirected',
]);

export type AttemptOutcome = z.infer<typeof attemptOutcomeSchema>;
