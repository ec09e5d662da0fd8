import {z} from 'zod';

/** Every reason for which a request can be refused or end without a whole answer. */
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
  'repeat-in-progress',
  'repeat-unknown',
  'request-crashes-servers',
  'internal',
]);

export type ErrorKind = z.infer<typeof errorKindSchema>;

/** Whether the request can have run: `not-run` only when it surely did not. */
export const outcomeSchema = z.enum(['not-run', 'unknown']);

export type Outcome = z.infer<typeof outcomeSchema>;
