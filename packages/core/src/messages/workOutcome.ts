import {z} from 'zod';

/** How an attempt ended: `misdirected` where another server than the one meant had the address. */
export const workOutcomeSchema = z.enum([
  'ok',
  'error',
  'timeout',
  'lost',
  'unreachable',
  'shed',
  'cancelled',
  'misdirected',
]);

export type WorkOutcome = z.infer<typeof workOutcomeSchema>;
