import {z} from 'zod';
import {errorKindSchema, outcomeSchema} from '../errors/errorKinds.ts';
import {storedResponseSchema} from './peerMessages.ts';
import {attemptOutcomeSchema} from './attemptOutcome.ts';
import {serverNoticeSchema} from './serverNotice.ts';
import {bodyFramingSchema} from '../responses/bodyFraming.ts';
import {requestIdentitySchema} from '../poison-requests/requestIdentity.ts';

const requestIdSchema = z.number().int();

/** The head of a caller's request was read; the body stays with the front end. */
export const requestArrivedSchema = z.object({
  type: z.literal('requestArrived'),
  requestId: requestIdSchema,
  /** Host name that the request addresses, in lower case, without port. */
  host: z.string(),
  path: z.string(),
  method: z.string(),
  /** SHA-256 of the API key that the caller presented, in hex. */
  keyDigest: z.string().optional(),
  idempotencyKey: z.string().optional(),
  /** Announced size of the body, in bytes; absent if it is sent in chunks. */
  bodyBytes: z.number().optional(),
  /** Whether the front end can send the same body again. */
  isReplayable: z.boolean(),
  /** Time within which the caller wants the response, in ms. */
  budgetMs: z.number().optional(),
  /** Digest of method, path and the known part of the body; equal for duplicates of the request. */
  requestDigest: z.string().optional(),
  /** Id of the request as callers and servers see it, for the logs. */
  requestName: z.string().optional(),
});

/** The head of a request with a body that is to be buffered was read, before any of the body. */
export const headArrivedSchema = z.object({
  type: z.literal('headArrived'),
  requestId: requestIdSchema,
  host: z.string(),
  path: z.string(),
  method: z.string(),
  keyDigest: z.string().optional(),
  bodyBytes: z.number().optional(),
});

/** Tells whether the body of a request has to be read. */
export const headScreenedSchema = z.object({
  type: z.literal('headScreened'),
  requestId: requestIdSchema,
  /** Whether the head gives no reason to refuse the request. */
  isAcceptable: z.boolean(),
  /** Customer that sends the request, where it is known. */
  customerId: z.string().optional(),
});

/** The head of a backend server's response arrived. */
export const attemptAnsweredSchema = z.object({
  type: z.literal('attemptAnswered'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  status: z.number().int(),
  /** Whether the server states that it did not run the request. */
  reportsNotRun: z.boolean(),
  /** Whether a server other than the intended one answered at the address. */
  isMisdirected: z.boolean().optional(),
  /** How the server marks the end of the body; absent where the front end does not tell. */
  framing: bodyFramingSchema.optional(),
  /** Size of the body, in bytes; absent where it was not read to its end yet. */
  bodyBytes: z.number().int().optional(),
});

/** A backend server responded; reports what it states about itself, at the head of the response. */
export const serverNoticedSchema = z.object({
  type: z.literal('serverNoticed'),
  /** Request of this host that the server answered; absent where this host relayed the attempt of another one. */
  requestId: requestIdSchema.optional(),
  serverId: z.string(),
  notice: serverNoticeSchema,
});

/** Why an attempt ended without a complete response. */
export const attemptFailureSchema = z.enum([
  'connect',
  'relay',
  'lost',
  'timeout',
  'malformed',
  'caller',
  'body-limit',
  'oversized',
  'memory',
]);

/** What was wrong with a response that was not complete, for the logs. */
export const failureReasonSchema = z.enum([
  'reset',
  'repeated',
  'foreign',
  'unsigned',
  'interim',
  'protocol',
  'undeclared-too-large',
  'endless',
  'memory',
]);

/** An attempt ended without a complete response. */
export const attemptFailedSchema = z.object({
  type: z.literal('attemptFailed'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  failure: attemptFailureSchema,
  /** What was wrong with the response; absent where there was none, or where it just broke off. */
  reason: failureReasonSchema.optional(),
  /** False only if no byte of the request can have reached the server. */
  mayHaveRun: z.boolean(),
});

/** An attempt's complete response was delivered to the caller or discarded. */
export const attemptFinishedSchema = z.object({
  type: z.literal('attemptFinished'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  /** The response, if it is small and the request has an idempotency key. */
  answer: storedResponseSchema.optional(),
});

/** The caller closed its connection before it received the whole response. */
export const callerLeftSchema = z.object({
  type: z.literal('callerLeft'),
  requestId: requestIdSchema,
  /** Whether it closed the connection within the request body. Default: false. */
  isBodyIncomplete: z.boolean().optional(),
});

/** Requests a claim for a request with an idempotency key: the reservation of the key by this run. */
export const claimWantedSchema = z.object({
  type: z.literal('claimWanted'),
  requestId: requestIdSchema,
  customerId: z.string(),
  idempotencyKey: z.string(),
  requestDigest: z.string(),
  deadlineAtMs: z.number(),
});

/** The idempotency key is reserved for this request, which may run. */
export const claimGrantedSchema = z.object({
  type: z.literal('claimGranted'),
  requestId: requestIdSchema,
});

/** The request must not run: its key was used before, or it is not known whether it was. */
export const claimRefusedSchema = z.object({
  type: z.literal('claimRefused'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  answer: storedResponseSchema.optional(),
});

/** The request that holds a claim ended. */
export const claimFinalizedSchema = z.object({
  type: z.literal('claimFinalized'),
  requestId: requestIdSchema,
  state: z.enum(['answered', 'unknown', 'not-run']),
  answer: storedResponseSchema.optional(),
});

/** A server broke the connection while it ran the request, and may have crashed. */
export const crashObservedSchema = requestIdentitySchema.extend({
  type: z.literal('crashObserved'),
  serverId: z.string(),
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number(),
});

/** An attempt ended without a response from its server, which may have crashed without closing the connection. */
export const silenceObservedSchema = requestIdentitySchema.extend({
  type: z.literal('silenceObserved'),
  serverId: z.string(),
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number(),
});

/** A request got a successful response. */
export const requestSucceededSchema = requestIdentitySchema.extend({
  type: z.literal('requestSucceeded'),
});

/** A poison request, which crashes the servers that run it: its duplicates are to be refused on this host. */
export const poisonRequestBlockedSchema = requestIdentitySchema.extend({
  type: z.literal('poisonRequestBlocked'),
  untilMs: z.number(),
});

/** A request that was taken for a poison request succeeded: its duplicates are no longer to be refused. */
export const poisonRequestClearedSchema = requestIdentitySchema.extend({
  type: z.literal('poisonRequestCleared'),
});

/** Sends the caller the stored response of an earlier run. */
export const replayAnswerSchema = z.object({
  type: z.literal('replayAnswer'),
  requestId: requestIdSchema,
  answer: storedResponseSchema,
});

/** Requests a permit to run one request of a customer within its rate. */
export const permitWantedSchema = z.object({
  type: z.literal('permitWanted'),
  requestId: requestIdSchema,
  customerId: z.string(),
  deadlineAtMs: z.number(),
});

/** The request lies within its customer's rate and may run. */
export const permitGrantedSchema = z.object({
  type: z.literal('permitGranted'),
  requestId: requestIdSchema,
  /** Last moment at which the permit may be used, on this host's clock, in ms. */
  usableUntilMs: z.number(),
});

/** The request exceeds its customer's rate, or its home could not decide in time. */
export const permitRefusedSchema = z.object({
  type: z.literal('permitRefused'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  retryAfterMs: z.number().optional(),
});

/** Requests a backend server with a free slot. */
export const serverWantedSchema = z.object({
  type: z.literal('serverWanted'),
  requestId: requestIdSchema,
  backendId: z.string(),
  customerId: z.string().optional(),
  /** Whether the request may run twice without harm, so that it is retryable. */
  isRepeatable: z.boolean(),
  /** Servers that were already tried. */
  excludedServerIds: z.array(z.string()),
  deadlineAtMs: z.number(),
  routeId: z.string().optional(),
  /** Whether this is a retry: the request was sent to another server before and may run again. */
  isRepeat: z.boolean().optional(),
  /** Whether a home may have counted the request already, for an earlier query; absent for false. */
  isCounted: z.boolean().optional(),
  /** Whether this is a hedged attempt, beside a running one; absent for false. */
  isHedge: z.boolean().optional(),
  /** Priority class of the request, 0 for the most urgent. */
  priority: z.number().int().optional(),
  /** Digest that is equal for duplicates of the request; absent if unknown. */
  requestDigest: z.string().optional(),
  /** Id of the request as callers and servers see it, for the logs. */
  requestName: z.string().optional(),
  /** Announced size of the request's body, in bytes; absent if unknown. */
  bodyBytes: z.number().min(0).optional(),
});

/** The request may be sent to a server, in which a slot is reserved for it. */
export const serverGrantedSchema = z.object({
  type: z.literal('serverGranted'),
  requestId: requestIdSchema,
  serverId: z.string(),
  origin: z.string(),
  /** Time without a response after which a hedged second attempt may be sent, in ms. */
  secondAfterMs: z.number().optional(),
  /** Whether a request that is not retryable should be sent over a new connection only. */
  needsNewConnection: z.boolean().optional(),
});

/** The request gets no server. */
export const serverRefusedSchema = z.object({
  type: z.literal('serverRefused'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  /** Wait after which a further request may succeed, in ms. */
  retryAfterMs: z.number().optional(),
});

/** An attempt ended and its slot is free again; reports how the server behaved. */
export const serverReleasedSchema = z.object({
  type: z.literal('serverReleased'),
  requestId: requestIdSchema,
  serverId: z.string(),
  backendId: z.string(),
  routeId: z.string(),
  customerId: z.string().optional(),
  outcome: attemptOutcomeSchema,
  /** Time from the start of the attempt to the head of the response, in ms. */
  latencyMs: z.number(),
  /** Time from the start of the attempt to its end, in ms. */
  ranForMs: z.number().optional(),
  /** Whether the attempt ended because its caller did not send the whole body, which says nothing about the server. */
  isInconclusive: z.boolean().optional(),
  /** Whether the request, and not the server, is at fault for a lost connection. */
  isRequestAtFault: z.boolean().optional(),
});

/** Limits on this host's use of a backend's servers; servers not listed are used without restriction. */
export const serverLimitsSchema = z.object({
  type: z.literal('serverLimits'),
  backendId: z.string(),
  servers: z.array(
    z.object({
      serverId: z.string(),
      /** Number of requests that this host may run there at once; absent for the normal limit. */
      limit: z.number().int().optional(),
      /** Part of its normal load that the server should get, 0 to 1. */
      weight: z.number(),
      /** Whether the next retryable request should go there as a trial request, to probe the server. */
      isTrial: z.boolean(),
    }),
  ),
});

/** Servers of a backend whose slots its home does not hand out, because they are ejected or in slow start. */
export const serversWithheldSchema = z.object({
  type: z.literal('serversWithheld'),
  backendId: z.string(),
  serverIds: z.array(z.string()),
});

/** The request needs neither a permit nor a server any more. */
export const requestWithdrawnSchema = z.object({
  type: z.literal('requestWithdrawn'),
  requestId: requestIdSchema,
});

/** Sends a request to a server. */
export const startAttemptSchema = z.object({
  type: z.literal('startAttempt'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
  serverId: z.string(),
  origin: z.string(),
  /** Time left for the complete response, in ms. */
  timeoutMs: z.number(),
  /** Customer id that the server receives instead of the API key. */
  customerId: z.string().optional(),
  /** Response header by which a server states that it did not run the request. */
  notRunHeader: z.string(),
  /** Whether the server echoes the name of the attempt in its response. */
  mustEchoName: z.boolean().optional(),
  /** Largest body of the request, in bytes. */
  maxBodyBytes: z.number(),
  /** Whether the attempt should be sent over a new connection only. */
  needsNewConnection: z.boolean(),
  /** Host that relays the attempt to the server; absent where this host sends it itself. */
  relayHostId: z.string().optional(),
});

/** Opens a connection to a server and closes it again, to find out whether the server can be reached. */
export const dialServerSchema = z.object({
  type: z.literal('dialServer'),
  serverId: z.string(),
  origin: z.string(),
});

/** A connection to a server was opened, or could not be opened. */
export const serverDialedSchema = z.object({
  type: z.literal('serverDialed'),
  serverId: z.string(),
  isConnected: z.boolean(),
});

/** The servers to which this host relays attempts of other hosts; replaces the earlier list. */
export const relayTargetsSchema = z.object({
  type: z.literal('relayTargets'),
  targets: z.array(z.object({serverId: z.string(), origin: z.string()})),
});

/** Another host relays the attempts of this one from now on; none where `relayHostId` is absent. */
export const relayChangedSchema = z.object({
  type: z.literal('relayChanged'),
  relayHostId: z.string().optional(),
});

/** A host could not be reached to relay an attempt, or did not send it on. */
export const relayFailedSchema = z.object({
  type: z.literal('relayFailed'),
  hostId: z.string(),
});

/** Sends the response of an attempt to the caller. */
export const deliverAnswerSchema = z.object({
  type: z.literal('deliverAnswer'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
});

/** Drops the response of an attempt instead of delivering it to the caller. */
export const discardAnswerSchema = z.object({
  type: z.literal('discardAnswer'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
});

/** Aborts an attempt that is not needed any more. */
export const cancelAttemptSchema = z.object({
  type: z.literal('cancelAttempt'),
  requestId: requestIdSchema,
  attempt: z.number().int(),
});

/** Sends an error response to the caller. */
export const refuseRequestSchema = z.object({
  type: z.literal('refuseRequest'),
  requestId: requestIdSchema,
  kind: errorKindSchema,
  outcome: outcomeSchema,
  retryAfterMs: z.number().optional(),
});

export type HeadArrived = z.infer<typeof headArrivedSchema>;
export type HeadScreened = z.infer<typeof headScreenedSchema>;
export type RequestArrived = z.infer<typeof requestArrivedSchema>;
export type AttemptAnswered = z.infer<typeof attemptAnsweredSchema>;
export type AttemptFailed = z.infer<typeof attemptFailedSchema>;
export type AttemptFailure = z.infer<typeof attemptFailureSchema>;
export type FailureReason = z.infer<typeof failureReasonSchema>;
export type ServerNoticed = z.infer<typeof serverNoticedSchema>;
export type ServerReleased = z.infer<typeof serverReleasedSchema>;
export type ServerLimits = z.infer<typeof serverLimitsSchema>;
export type ServerWanted = z.infer<typeof serverWantedSchema>;
export type DialServer = z.infer<typeof dialServerSchema>;
export type StartAttempt = z.infer<typeof startAttemptSchema>;
export type RefuseRequest = z.infer<typeof refuseRequestSchema>;

/** Announces that a permit will be requested soon, so that it can be fetched ahead. */
export const permitExpectedSchema = z.object({
  type: z.literal('permitExpected'),
  requestId: requestIdSchema,
  customerId: z.string(),
  /** Id of the request as callers and servers see it, for the logs. */
  requestName: z.string().optional(),
});

/** A connection to a server was opened or closed; a server with an open connection is cheaper to use. */
export const serverConnectionsSchema = z.object({
  type: z.literal('serverConnections'),
  /** Servers to which an idle connection is open. */
  idleServerIds: z.array(z.string()),
});
