import {z} from 'zod';
import {errorKindSchema, outcomeSchema} from '../errors/errorKinds.ts';
import {keptAnswerSchema} from './peerMessages.ts';
import {workOutcomeSchema} from './workOutcome.ts';

const requestIdSchema = z.number().int();

/** A caller's request whose head was read; the body stays with the front end. */
export const requestArrivedSchema = z.object({
  type: z.literal('requestArrived'),
  requestId: requestIdSchema,
  /** Host name asked for, lower case, without port. */
  host: z.string(),
  path: z.string(),
  method: z.string(),
  /** SHA-256 of the key shown, in hex. */
  keyDigest: z.string().optional(),
  idempotencyKey: z.string().optional(),
  /** Announced size of the body, in bytes; absent when it comes in chunks. */
  bodyBytes: z.number().optional(),
  /** True where the front end can send the same body again. */
  isReplayable: z.boolean(),
  /** Time that the caller gives, in ms. */
  budgetMs: z.number().optional(),
  /** Digest of method, path and what is known of the body; names repeats of the request. */
  requestDigest: z.string().optional(),
  /** Name of the request towards callers and servers, for the logs. */
  requestName: z.string().optional(),
});

/** The head of a backend server's answer arrived. */
export const attemptAnsweredSchema = z.object({
  type: z.literal('attemptAnswered'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  status: z.number().int(),
  /** True where the server itself says that it did not run the request. */
  saidNotRun: z.boolean(),
  /** True where another server answered at the address than the one that was meant. */
  isMisdirected: z.boolean().optional(),
});

export const attemptFailureSchema = z.enum([
  'connect',
  'lost',
  'timeout',
  'malformed',
  'caller',
  'body-limit',
]);

/** An attempt ended without a whole answer. */
export const attemptFailedSchema = z.object({
  type: z.literal('attemptFailed'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  failure: attemptFailureSchema,
  /** False only where no byte of the request can have reached the server. */
  mayHaveRun: z.boolean(),
});

/** An attempt's whole answer was handed to the caller or discarded. */
export const attemptFinishedSchema = z.object({
  type: z.literal('attemptFinished'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  /** The answer, where it is small and the request has an idempotency key. */
  answer: keptAnswerSchema.optional(),
});

export const callerLeftSchema = z.object({
  type: z.literal('callerLeft'),
  requestId: requestIdSchema,
});

/** Asks whether a request with an idempotency key may run, or was run before. */
export const claimWantedSchema = z.object({
  type: z.literal('claimWanted'),
  requestId: requestIdSchema,
  customerId: z.string(),
  idempotencyKey: z.string(),
  requestDigest: z.string(),
  deadlineAtMs: z.number(),
});

export const claimGrantedSchema = z.object({
  type: z.literal('claimGranted'),
  requestId: requestIdSchema,
});

/** The request is a repeat, or nobody can tell. */
export const claimRefusedSchema = z.object({
  type: z.literal('claimRefused'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  answer: keptAnswerSchema.optional(),
});

/** The request under a claim ended. */
export const claimSettledSchema = z.object({
  type: z.literal('claimSettled'),
  requestId: requestIdSchema,
  state: z.enum(['answered', 'unknown', 'not-run']),
  answer: keptAnswerSchema.optional(),
});

/** A server broke the connection while it ran the request. */
export const crashNotedSchema = z.object({
  type: z.literal('crashNoted'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string(),
  serverId: z.string(),
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number(),
});

/** A request may have crashed a server: the next good answer to it is to be told. */
export const answerWatchedSchema = z.object({
  type: z.literal('answerWatched'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string(),
});

/** A request that is watched was answered. */
export const crashDisprovedSchema = z.object({
  type: z.literal('crashDisproved'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string(),
});

/** Repeats of the request are to be refused on this host. */
export const repeatsBlockedSchema = z.object({
  type: z.literal('repeatsBlocked'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string(),
  untilMs: z.number(),
});

/** Gives the caller an answer that was given before. */
export const replayAnswerSchema = z.object({
  type: z.literal('replayAnswer'),
  requestId: requestIdSchema,
  answer: keptAnswerSchema,
});

/** Asks for permission to run one request of a customer. */
export const permitWantedSchema = z.object({
  type: z.literal('permitWanted'),
  requestId: requestIdSchema,
  customerId: z.string(),
  deadlineAtMs: z.number(),
});

export const permitGrantedSchema = z.object({
  type: z.literal('permitGranted'),
  requestId: requestIdSchema,
  /** Last moment at which the permission may be used, on this host's clock. */
  usableUntilMs: z.number(),
});

export const permitRefusedSchema = z.object({
  type: z.literal('permitRefused'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  retryAfterMs: z.number().optional(),
});

/** Asks for a backend server with a free slot. */
export const serverWantedSchema = z.object({
  type: z.literal('serverWanted'),
  requestId: requestIdSchema,
  backendId: z.string(),
  customerId: z.string().optional(),
  /** True where the request may run twice without harm. */
  isRepeatable: z.boolean(),
  /** Servers that were tried already. */
  excludedServerIds: z.array(z.string()),
  deadlineAtMs: z.number(),
  routeId: z.string().optional(),
  /** True where the request was sent to another server before and may run again. */
  isRepeat: z.boolean().optional(),
  /** Rank of the work, 0 for the most urgent. */
  priority: z.number().int().optional(),
  /** Names repeats of the request; absent where unknown. */
  requestDigest: z.string().optional(),
  /** Name of the request towards callers and servers, for the logs. */
  requestName: z.string().optional(),
  /** Announced size of the request's body, in bytes; absent where unknown. */
  bodyBytes: z.number().min(0).optional(),
});

export const serverGrantedSchema = z.object({
  type: z.literal('serverGranted'),
  requestId: requestIdSchema,
  serverId: z.string(),
  origin: z.string(),
  /** Time after which an unanswered attempt is late enough to send a second one, in ms. */
  secondAfterMs: z.number().optional(),
  /** True where work that may run once should be sent over a new connection only. */
  needsNewConnection: z.boolean().optional(),
});

export const serverRefusedSchema = z.object({
  type: z.literal('serverRefused'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  /** Wait after which the request has a chance, in ms. */
  retryAfterMs: z.number().optional(),
});

/** A slot is free again, with what was seen of the server. */
export const serverReleasedSchema = z.object({
  type: z.literal('serverReleased'),
  requestId: requestIdSchema,
  serverId: z.string(),
  backendId: z.string(),
  routeId: z.string(),
  customerId: z.string().optional(),
  outcome: workOutcomeSchema,
  /** Time from the start of the attempt to the head of the answer, in ms. */
  latencyMs: z.number(),
  /** Time from the start of the attempt to its end, in ms. */
  ranForMs: z.number().optional(),
});

/** How a host may use the servers of a backend; servers not named are as usual. */
export const serverLimitsSchema = z.object({
  type: z.literal('serverLimits'),
  backendId: z.string(),
  servers: z.array(
    z.object({
      serverId: z.string(),
      /** Requests that this host may run there at once; absent for the usual number. */
      limit: z.number().int().optional(),
      /** Share of its usual work that the server should get, 0 to 1. */
      weight: z.number(),
      /** True where the next repeatable request should go there, to try it. */
      isTrial: z.boolean(),
    }),
  ),
});

/** Servers of a backend whose slots its home does not hand out, because they are out or ramped. */
export const serversWithheldSchema = z.object({
  type: z.literal('serversWithheld'),
  backendId: z.string(),
  serverIds: z.array(z.string()),
});

/** The request needs neither permission nor server any more. */
export const requestWithdrawnSchema = z.object({
  type: z.literal('requestWithdrawn'),
  requestId: requestIdSchema,
});

export const startAttemptSchema = z.object({
  type: z.literal('startAttempt'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  serverId: z.string(),
  origin: z.string(),
  /** Time left for the whole answer, in ms. */
  timeoutMs: z.number(),
  /** Customer named to the server in place of the key. */
  customerId: z.string().optional(),
  notRunHeader: z.string(),
  maxBodyBytes: z.number(),
  /** True where the attempt should be sent over a new connection only. */
  needsNewConnection: z.boolean(),
});

export const deliverAnswerSchema = z.object({
  type: z.literal('deliverAnswer'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
});

export const discardAnswerSchema = z.object({
  type: z.literal('discardAnswer'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
});

export const cancelAttemptSchema = z.object({
  type: z.literal('cancelAttempt'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
});

export const refuseRequestSchema = z.object({
  type: z.literal('refuseRequest'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  outcome: outcomeSchema,
  retryAfterMs: z.number().optional(),
});

export type RequestArrived = z.infer<typeof requestArrivedSchema>;
export type AttemptFailure = z.infer<typeof attemptFailureSchema>;
export type ServerReleased = z.infer<typeof serverReleasedSchema>;
export type ServerLimits = z.infer<typeof serverLimitsSchema>;
export type ServerWanted = z.infer<typeof serverWantedSchema>;
export type StartAttempt = z.infer<typeof startAttemptSchema>;
export type RefuseRequest = z.infer<typeof refuseRequestSchema>;

/** Tells that permission will be wanted soon, so that it can be fetched ahead. */
export const permitForeseenSchema = z.object({
  type: z.literal('permitForeseen'),
  requestId: requestIdSchema,
  customerId: z.string(),
  /** Name of the request towards callers and servers, for the logs. */
  requestName: z.string().optional(),
});

/** A connection to a server was opened or is open no more; one that is open is cheaper to use. */
export const serverConnectionsSchema = z.object({
  type: z.literal('serverConnections'),
  /** Servers to which an idle connection is open. */
  idleServerIds: z.array(z.string()),
});
