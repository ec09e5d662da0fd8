import {z} from 'zod';
import {hostListSchema, manifestSchema, registryChangeSchema} from '@godwitspring/document';
import {errorKindSchema} from '../errors/errorKinds.ts';
import {workOutcomeSchema} from './workOutcome.ts';

const versionSchema = z.number().int().min(0);
const sha256Schema = z.string().length(64);
const tokenCountSchema = z.number().int().min(0);

/** Asks a peer what it holds and of whom it heard. */
export const heartbeatAskSchema = z.object({
  type: z.literal('heartbeatAsk'),
  nonce: z.number().int(),
  listVersion: versionSchema,
  documentVersion: versionSchema,
});

/** What a peer holds at the moment of its answer. */
export const heartbeatAnswerSchema = z.object({
  type: z.literal('heartbeatAnswer'),
  nonce: z.number().int(),
  listVersion: versionSchema,
  documentVersion: versionSchema,
  /** Oldest list that still bounds the peer's share; absent while it has learnt of none. */
  oldestListVersion: versionSchema.optional(),
  /** True where the peer is a settled member and its view is fresh. */
  isFresh: z.boolean(),
  /** Age of the newest answer of the platform that the peer knows of, in ms. */
  platformAgeMs: z.number().optional(),
  /** Lower bound of the platform's clock now, in ms. */
  platformNowMs: z.number().optional(),
  /** Age of the evidence of each host of the list, in units of 100 ms; 255 for none. */
  ages: z.instanceof(Uint8Array),
});

export const listAskSchema = z.object({type: z.literal('listAsk')});

/** The lists that bound a peer's share, oldest first. */
export const listAnswerSchema = z.object({
  type: z.literal('listAnswer'),
  lists: z.array(hostListSchema).max(64),
  /** True where the peer is a settled member and its view is fresh. */
  isFresh: z.boolean(),
});

/** Tells a peer of a document version that came into force. */
export const versionAnnouncedSchema = z.object({
  type: z.literal('versionAnnounced'),
  documentVersion: versionSchema,
});

export const manifestAskSchema = z.object({type: z.literal('manifestAsk')});

export const manifestAnswerSchema = z.object({
  type: z.literal('manifestAnswer'),
  manifest: manifestSchema,
});

export const partAskSchema = z.object({type: z.literal('partAsk'), sha256: sha256Schema});

export const partAnswerSchema = z.object({
  type: z.literal('partAnswer'),
  sha256: sha256Schema,
  /** Absent where the peer does not hold the part. */
  text: z.string().optional(),
});

/** What is divided over the fleet by shares. */
export const allowanceClassSchema = z.enum(['rates', 'ejections']);

/** A home asks a peer to lend its share of every allowance in the buckets. */
export const loanAskSchema = z.object({
  type: z.literal('loanAsk'),
  allowanceClass: allowanceClassSchema,
  nonce: z.number().int(),
  /** Nonce of the last answer that arrived from this lender; 0 for none. */
  heardNonce: z.number().int(),
  buckets: z.array(z.number().int()),
});

/** The loans a peer grants; each runs for the loan lease, counted by the borrower from its ask. */
export const loanAnswerSchema = z.object({
  type: z.literal('loanAnswer'),
  allowanceClass: allowanceClassSchema,
  nonce: z.number().int(),
  /** The lender's share of each allowance, 0 to 1. */
  share: z.number().min(0).max(1),
  loans: z.array(
    z.object({
      bucket: z.number().int(),
      /** Time for which the share lay unused before this loan, in ms. */
      idleMs: z.number().min(0),
    }),
  ),
});

/** A home gives loans back before their lease ends and holds them no more. */
export const loanReturnSchema = z.object({
  type: z.literal('loanReturn'),
  allowanceClass: allowanceClassSchema,
  /** Newest ask whose loan is given back; loans of later asks stay. */
  upToNonce: z.number().int(),
  buckets: z.array(z.number().int()),
});

/** A home that stops hands its saved tokens to the host that asked for the bucket's loans. */
export const stockHandoverSchema = z.object({
  type: z.literal('stockHandover'),
  /** Number of the ask that the handover follows. */
  nonce: z.number().int(),
  bucket: z.number().int(),
  /** Share that the tokens were saved under. */
  share: z.number().min(0).max(1),
  stock: z.array(z.object({customerId: z.string(), tokens: z.number().min(0)})),
});

/** An entry host asks a home for tokens and reports what became of earlier ones. */
export const tokenAskSchema = z.object({
  type: z.literal('tokenAsk'),
  askId: z.number().int(),
  wants: z.array(
    z.object({
      customerId: z.string(),
      /** Requests that wait now. */
      now: tokenCountSchema,
      /** Requests expected within the life of a grant. */
      ahead: tokenCountSchema,
    }),
  ),
  settled: z.array(
    z.object({
      grantId: z.number().int(),
      /** Tokens of the grant that were used; the rest will never be. */
      used: tokenCountSchema,
    }),
  ),
});

export const tokenAnswerSchema = z.object({
  type: z.literal('tokenAnswer'),
  askId: z.number().int(),
  grants: z.array(
    z.object({
      customerId: z.string(),
      grantId: z.number().int(),
      count: tokenCountSchema,
      /** Life of the tokens, counted by the entry host from its ask, in ms. */
      lifeMs: z.number().min(0),
      /** Time until the next token, where fewer were granted than wait, in ms. */
      retryAfterMs: z.number().min(0).optional(),
      /** False where the home holds too little of the allowance to judge the customer. */
      isSettled: z.boolean(),
    }),
  ),
});

const serverStateSchema = z.enum(['ejected', 'probation', 'ramping']);

/** What an entry host saw of the servers of some backends since its last report. */
export const healthReportSchema = z.object({
  type: z.literal('healthReport'),
  askId: z.number().int(),
  backends: z.array(
    z.object({
      backendId: z.string(),
      /** Servers that the reporter holds to be ejected, for a home that is new to the backend. */
      ejectedIds: z.array(z.string()),
      servers: z.array(
        z.object({
          serverId: z.string(),
          /** Requests answered as they should be. */
          good: tokenCountSchema,
          /** Requests that the server failed or answered far later than its peers. */
          failed: tokenCountSchema,
          /** Requests lost on the way to or from the server, which may be the reporter's own fault. */
          lost: tokenCountSchema,
          /** Requests that the server said it did not run. */
          shed: tokenCountSchema,
        }),
      ),
    }),
  ),
});

/** How an entry host may use the servers of some backends; servers not named are as usual. */
export const healthVerdictSchema = z.object({
  type: z.literal('healthVerdict'),
  askId: z.number().int(),
  /** Life of the verdict, counted by the entry host from its report, in ms. */
  lifeMs: z.number().min(0),
  backends: z.array(
    z.object({
      backendId: z.string(),
      servers: z.array(
        z.object({
          serverId: z.string(),
          state: serverStateSchema,
          /** Requests that this host may run there at once. */
          limit: tokenCountSchema,
        }),
      ),
    }),
  ),
});

/** An entry host asks the home of a backend for slots of its servers. */
export const slotAskSchema = z.object({
  type: z.literal('slotAsk'),
  askId: z.number().int(),
  backendId: z.string(),
  /** Servers that are of no use to the waiting request. */
  avoidedIds: z.array(z.string()),
});

/** One slot, or the word that the ask waits until one is free. */
export const slotAnswerSchema = z.object({
  type: z.literal('slotAnswer'),
  askId: z.number().int(),
  backendId: z.string(),
  slot: z.object({slotId: z.number().int(), serverId: z.string()}).optional(),
});

/** The sender uses the slots no more. */
export const slotReturnSchema = z.object({
  type: z.literal('slotReturn'),
  backendId: z.string(),
  slotIds: z.array(z.number().int()),
});

/** The sender still uses the slots. */
export const slotKeepSchema = z.object({
  type: z.literal('slotKeep'),
  backendId: z.string(),
  slotIds: z.array(z.number().int()),
});

/** A home asks for a slot back as soon as its request has ended; others wait. */
export const slotRecallSchema = z.object({
  type: z.literal('slotRecall'),
  backendId: z.string(),
  slotIds: z.array(z.number().int()),
});

/** A whole answer that is small enough to be given again. */
export const keptAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string().optional(),
  body: z.instanceof(Uint8Array),
});

/** Asks a keeper of an idempotency key whether the request may run. */
export const claimAskSchema = z.object({
  type: z.literal('claimAsk'),
  claimId: z.string(),
  customerId: z.string(),
  idempotencyKey: z.string().max(256),
  /** Names the request, so that a key is not used for another one. */
  requestDigest: z.string().max(64),
  /** Time after which the run must have ended, in ms. */
  timeoutMs: z.number().min(0),
});

export const claimAnswerSchema = z.object({
  type: z.literal('claimAnswer'),
  claimId: z.string(),
  /** `abstains` from a keeper that has not kept the key for long enough to know. */
  state: z.enum(['claimed', 'abstains', 'running', 'answered', 'unknown', 'other-request']),
  answer: keptAnswerSchema.optional(),
});

/** Tells a keeper how the run under a claim ended. */
export const claimEndedSchema = z.object({
  type: z.literal('claimEnded'),
  claimId: z.string(),
  customerId: z.string(),
  idempotencyKey: z.string().max(256),
  /** `not-run` frees the key. */
  state: z.enum(['answered', 'unknown', 'not-run']),
  answer: keptAnswerSchema.optional(),
});

/** An entry host lost the connection to a server while it ran a request. */
export const crashSeenSchema = z.object({
  type: z.literal('crashSeen'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string().max(64),
  serverId: z.string(),
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number().min(0),
});

/** A request may have crashed a server; a host that sees it answered says so. */
export const requestSuspectedSchema = z.object({
  type: z.literal('requestSuspected'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string().max(64),
});

/** A suspected request was answered and did no harm. */
export const requestClearedSchema = z.object({
  type: z.literal('requestCleared'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string().max(64),
});

/** A request that crashed servers is to be refused by every host. */
export const requestBlockedSchema = z.object({
  type: z.literal('requestBlocked'),
  customerId: z.string(),
  routeId: z.string(),
  requestDigest: z.string().max(64),
});

/** The sender is stopping and will use none of its allowances again. */
export const leavingSchema = z.object({type: z.literal('leaving')});

/** What the sender heard of the hosts of the fleet. */
export const rosterNewsSchema = z.object({
  type: z.literal('rosterNews'),
  isAnswerWanted: z.boolean(),
  /** Names of data centres, to which the members refer by position. */
  dataCentres: z.array(z.string()),
  members: z.array(
    z.object({
      hostId: z.string(),
      dataCentre: z.number().int().min(0),
      /** Unix time of the start of the process by its own clock, in ms. */
      bornMs: z.number(),
      /** Counts the rounds of the process; it grows while the process lives. */
      beat: z.number().int(),
      isLeaving: z.boolean(),
    }),
  ),
});

/** Asks a peer for what is new in the registry since the revisions that the sender holds. */
export const registryAskSchema = z.object({
  type: z.literal('registryAsk'),
  nonce: z.number().int(),
  documentVersion: versionSchema,
  revision: versionSchema,
});

/** What a peer knows of the registry. */
export const registryAnswerSchema = z.object({
  type: z.literal('registryAnswer'),
  nonce: z.number().int(),
  /** Age of the newest word of the registry, in ms; absent before the first. */
  ageMs: z.number().min(0).optional(),
  /** True where the sender's own source does not answer it at present. */
  isFailing: z.boolean().optional(),
  /** True where the changes are all that the peer holds. */
  isWhole: z.boolean(),
  revision: versionSchema,
  documentVersion: versionSchema,
  changes: z.array(registryChangeSchema),
});

/** Tells a host that asked lately that the registry changed. */
export const registryChangedSchema = z.object({
  type: z.literal('registryChanged'),
  revision: versionSchema,
});

/** Asks the home of a backend on which server a request should run. */
export const placeAskSchema = z.object({
  type: z.literal('placeAsk'),
  askId: z.number().int(),
  backendId: z.string(),
  routeId: z.string(),
  customerId: z.string(),
  isRepeatable: z.boolean(),
  /** True where the request was sent to another server before and may run again. */
  isRepeat: z.boolean(),
  priority: z.number().int(),
  /** Servers that were tried, or that the sender cannot reach. */
  avoidedIds: z.array(z.string()),
  /** Servers to which the sender has an idle connection. */
  connectedIds: z.array(z.string()),
  /** Time left for the whole request, in ms. */
  leftMs: z.number(),
  requestDigest: z.string(),
  /** Name of the request towards callers and servers, for the logs. */
  requestName: z.string(),
  /** Announced size of the request's body, in bytes; 0 where unknown. */
  bodyBytes: z.number().min(0),
});

export const placeAnswerSchema = z.object({
  type: z.literal('placeAnswer'),
  askId: z.number().int(),
  state: z.enum(['granted', 'waiting', 'refused']),
  serverId: z.string().optional(),
  /** Why the request is refused. */
  kind: errorKindSchema.optional(),
  /** Wait after which the request has a chance, in ms. */
  retryAfterMs: z.number().min(0).optional(),
  /** Time after which an unanswered attempt is late enough to send a second one, in ms. */
  secondAfterMs: z.number().min(0).optional(),
  /** True where the way of the host to the server is in doubt, so that a new connection should try it. */
  needsNewConnection: z.boolean().optional(),
});

/** A granted attempt ended, or was never started. */
export const placeEndedSchema = z.object({
  type: z.literal('placeEnded'),
  askId: z.number().int(),
  outcome: workOutcomeSchema,
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number().min(0),
});

/** The sender does not want the server of an ask any more. */
export const placeWithdrawnSchema = z.object({
  type: z.literal('placeWithdrawn'),
  askId: z.number().int(),
});

/** Tells a new home of a backend what the sender runs and saw there lately. */
export const placeHelloSchema = z.object({
  type: z.literal('placeHello'),
  backendId: z.string(),
  running: z.array(
    z.object({
      askId: z.number().int(),
      serverId: z.string(),
      routeId: z.string(),
      ageMs: z.number().min(0),
    }),
  ),
  /** How the last attempt at each server ended. */
  recent: z.array(
    z.object({
      serverId: z.string(),
      outcome: workOutcomeSchema,
      /** Time since the start of the attempt, in ms. */
      startedAgoMs: z.number().min(0),
      /** Time for which the attempt ran, in ms. */
      ranForMs: z.number().min(0),
    }),
  ),
});

/** Asks the home of a customer whether one more request lies within its rate. */
export const quotaAskSchema = z.object({
  type: z.literal('quotaAsk'),
  askId: z.number().int(),
  customerId: z.string(),
  /** Name of the request towards callers and servers, for the logs. */
  requestName: z.string(),
});

export const quotaAnswerSchema = z.object({
  type: z.literal('quotaAnswer'),
  askId: z.number().int(),
  isGranted: z.boolean(),
  /** Time until the customer's next request lies within its rate, in ms. */
  retryAfterMs: z.number().min(0).optional(),
});

/** Tells a new home of a customer what the sender was granted in the current window by the former one. */
export const quotaHelloSchema = z.object({
  type: z.literal('quotaHello'),
  customerId: z.string(),
  /** Times since each request was admitted, in ms. */
  admittedAgoMs: z.array(z.number().min(0)),
});

/** Every message between hosts. */
export const peerMessageSchema = z.discriminatedUnion('type', [
  heartbeatAskSchema,
  heartbeatAnswerSchema,
  listAskSchema,
  listAnswerSchema,
  versionAnnouncedSchema,
  manifestAskSchema,
  manifestAnswerSchema,
  partAskSchema,
  partAnswerSchema,
  loanAskSchema,
  loanAnswerSchema,
  loanReturnSchema,
  stockHandoverSchema,
  tokenAskSchema,
  tokenAnswerSchema,
  healthReportSchema,
  healthVerdictSchema,
  claimAskSchema,
  claimAnswerSchema,
  claimEndedSchema,
  crashSeenSchema,
  slotAskSchema,
  slotAnswerSchema,
  slotReturnSchema,
  slotKeepSchema,
  slotRecallSchema,
  requestSuspectedSchema,
  requestClearedSchema,
  requestBlockedSchema,
  leavingSchema,
  rosterNewsSchema,
  registryAskSchema,
  registryAnswerSchema,
  registryChangedSchema,
  placeAskSchema,
  placeAnswerSchema,
  placeEndedSchema,
  placeWithdrawnSchema,
  placeHelloSchema,
  quotaAskSchema,
  quotaAnswerSchema,
  quotaHelloSchema,
]);

export type PeerMessage = z.infer<typeof peerMessageSchema>;
export type HeartbeatAnswer = z.infer<typeof heartbeatAnswerSchema>;
export type TokenAsk = z.infer<typeof tokenAskSchema>;
export type TokenAnswer = z.infer<typeof tokenAnswerSchema>;
export type AllowanceClass = z.infer<typeof allowanceClassSchema>;
export type HealthReport = z.infer<typeof healthReportSchema>;
export type HealthVerdict = z.infer<typeof healthVerdictSchema>;
export type ServerState = z.infer<typeof serverStateSchema>;
export type KeptAnswer = z.infer<typeof keptAnswerSchema>;
export type ClaimAsk = z.infer<typeof claimAskSchema>;
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
export type ClaimEnded = z.infer<typeof claimEndedSchema>;
export type LoanAnswer = z.infer<typeof loanAnswerSchema>;
export type RosterNews = z.infer<typeof rosterNewsSchema>;
export type RegistryAsk = z.infer<typeof registryAskSchema>;
export type RegistryAnswer = z.infer<typeof registryAnswerSchema>;
export type PlaceAsk = z.infer<typeof placeAskSchema>;
export type PlaceAnswer = z.infer<typeof placeAnswerSchema>;
export type PlaceEnded = z.infer<typeof placeEndedSchema>;
export type PlaceHello = z.infer<typeof placeHelloSchema>;
