import {z} from 'zod';

/** Error kinds: every reason for which a request is refused or ends without a complete response. */
export const errorKindSchema = z.enum([
  'malformed-request',
  'head-too-large',
  'body-too-large',
  'caller-too-slow',
  'no-route',
  'method-not-taken',
  'key-missing',
  'key-unknown',
  'rate-limited',
  'allowance-unavailable',
  'host-not-current',
  'no-configuration',
  'shutting-down',
  'no-server',
  'overloaded',
  'deadline-too-short',
  'connect-failed',
  'server-shed',
  'answer-lost',
  'answer-timeout',
  'answer-malformed',
  'answer-too-large',
  'repeat-in-progress',
  'repeat-unknown',
  'request-crashes-servers',
  'internal',
]);

/** Reason for which a request is refused or ends without a complete response. */
export type ErrorKind = z.infer<typeof errorKindSchema>;

/** Whether a refused request can have run: `not-run` only where it certainly did not run. */
export const outcomeSchema = z.enum(['not-run', 'unknown']);

/** Whether a refused request can have run. */
export type Outcome = z.infer<typeof outcomeSchema>;
