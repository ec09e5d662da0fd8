import {z} from 'zod';
import {hostListSchema, manifestSchema, registryChangeSchema} from '@godwitspring/document';
import {errorKindSchema} from '../errors/errorKinds.ts';
import {noticeReportSchema, serverNoticeSchema} from './serverNotice.ts';
import {attemptOutcomeSchema} from './attemptOutcome.ts';
import {requestIdentitySchema} from '../poison-requests/requestIdentity.ts';

const versionSchema = z.number().int().min(0);
const sha256Schema = z.string().length(64);
const tokenCountSchema = z.number().int().min(0);

/** Queries a peer for the versions it has and for its evidence on which hosts are alive. */
export const heartbeatAskSchema = z.object({
  type: z.literal('heartbeatAsk'),
  nonce: z.number().int(),
  listVersion: versionSchema,
  documentVersion: versionSchema,
});

/** Reply to `heartbeatAsk`: the state of the peer at the moment of its reply. */
export const heartbeatAnswerSchema = z.object({
  type: z.literal('heartbeatAnswer'),
  nonce: z.number().int(),
  listVersion: versionSchema,
  documentVersion: versionSchema,
  /** Version of the oldest host list that still limits the peer's share; absent while it has received none. */
  oldestListVersion: versionSchema.optional(),
  /** Whether the peer is a settled member, which knows every host list still in force, and its view is fresh. */
  isFresh: z.boolean(),
  /** Age of the newest response of the platform that the peer has evidence of, in ms. */
  platformAgeMs: z.number().optional(),
  /** Lower bound of the time on the platform's clock at the reply, in ms. */
  platformNowMs: z.number().optional(),
  /** Age of the evidence that each host of the list is alive, in units of 100 ms; 255 for none. */
  ages: z.instanceof(Uint8Array),
});

/** Queries a peer for the host lists that are still in force. */
export const listAskSchema = z.object({type: z.literal('listAsk')});

/** Reply to `listAsk`: the host lists that limit the peer's share, oldest first. */
export const listAnswerSchema = z.object({
  type: z.literal('listAnswer'),
  lists: z.array(hostListSchema).max(64),
  /** Whether the peer is a settled member, which knows every host list still in force, and its view is fresh. */
  isFresh: z.boolean(),
});

/** Notifies a peer that the sender applied a version of the configuration document. */
export const versionAnnouncedSchema = z.object({
  type: z.literal('versionAnnounced'),
  documentVersion: versionSchema,
});

/** Queries a peer for the manifest of its document: the list of the document's parts. */
export const manifestAskSchema = z.object({type: z.literal('manifestAsk')});

/** Reply to `manifestAsk`. */
export const manifestAnswerSchema = z.object({
  type: z.literal('manifestAnswer'),
  manifest: manifestSchema,
});

/** Queries a peer for a part of the document. */
export const partAskSchema = z.object({type: z.literal('partAsk'), sha256: sha256Schema});

/** Reply to `partAsk`. */
export const partAnswerSchema = z.object({
  type: z.literal('partAnswer'),
  sha256: sha256Schema,
  /** Absent if the peer does not have the part. */
  text: z.string().optional(),
});

/** The kinds of fleet-wide limits that are divided over the hosts by shares. */
export const allowanceClassSchema = z.enum(['rates', 'ejections']);

/** A home queries a peer for loans of its share of the fleet-wide limits in some hash buckets. */
export const loanAskSchema = z.object({
  type: z.literal('loanAsk'),
  allowanceClass: allowanceClassSchema,
  nonce: z.number().int(),
  /** Acknowledges the newest reply that arrived from this lender, by its nonce; 0 for none. */
  heardNonce: z.number().int(),
  buckets: z.array(z.number().int()),
});

/** Reply to `loanAsk`: the loans that a peer grants. Each is a lease, which the borrower counts from its query. */
export const loanAnswerSchema = z.object({
  type: z.literal('loanAnswer'),
  allowanceClass: allowanceClassSchema,
  nonce: z.number().int(),
  /** The lender's share of each fleet-wide limit, 0 to 1. */
  share: z.number().min(0).max(1),
  loans: z.array(
    z.object({
      bucket: z.number().int(),
      /** Time for which the share lay unused before this loan, in ms. */
      idleMs: z.number().min(0),
    }),
  ),
});

/** A home returns loans before their leases end. */
export const loanReturnSchema = z.object({
  type: z.literal('loanReturn'),
  allowanceClass: allowanceClassSchema,
  /** Nonce of the newest query whose loan is returned; loans of later queries stay. */
  upToNonce: z.number().int(),
  buckets: z.array(z.number().int()),
});

/** A former home of a hash bucket hands its saved tokens over to the host that queried the bucket's loans. */
export const stockHandoverSchema = z.object({
  type: z.literal('stockHandover'),
  /** Nonce of the query that this message responds to. */
  nonce: z.number().int(),
  bucket: z.number().int(),
  /** Share that the former home held when it handed the tokens over. */
  share: z.number().min(0).max(1),
  stock: z.array(z.object({customerId: z.string(), tokens: z.number().min(0)})),
});

/** An entry host queries a home for tokens and reports the use of earlier ones. */
export const tokenAskSchema = z.object({
  type: z.literal('tokenAsk'),
  askId: z.number().int(),
  wants: z.array(
    z.object({
      customerId: z.string(),
      /** Number of requests that wait now. */
      now: tokenCountSchema,
      /** Number of requests expected within the lifetime of a grant. */
      ahead: tokenCountSchema,
    }),
  ),
  /** Grants that are used up or expired. */
  settled: z.array(
    z.object({
      grantId: z.number().int(),
      /** Number of tokens that were used; the others will never be used. */
      used: tokenCountSchema,
    }),
  ),
});

/** Reply to `tokenAsk`: the tokens granted to the entry host. */
export const tokenAnswerSchema = z.object({
  type: z.literal('tokenAnswer'),
  askId: z.number().int(),
  grants: z.array(
    z.object({
      customerId: z.string(),
      grantId: z.number().int(),
      count: tokenCountSchema,
      /** Lifetime of the tokens, which the entry host counts from its query, in ms. */
      lifeMs: z.number().min(0),
      /** Time until the next token, in ms; present if fewer tokens were granted than requests wait. */
      retryAfterMs: z.number().min(0).optional(),
      /** False if the home holds too few shares for its grants to decide on refusals. */
      isSettled: z.boolean(),
    }),
  ),
});

/** State of a server that is not in full service: ejected, probed by trial requests, or in slow start (ramping). */
const serverStateSchema = z.enum(['ejected', 'probation', 'ramping']);

/** Outcomes of an entry host's requests at the servers of some backends since its last report. */
export const healthReportSchema = z.object({
  type: z.literal('healthReport'),
  askId: z.number().int(),
  backends: z.array(
    z.object({
      backendId: z.string(),
      /** Servers that are ejected as far as the reporter has been informed, for a home that is new to the backend. */
      ejectedIds: z.array(z.string()),
      servers: z.array(
        z.object({
          serverId: z.string(),
          /** Number of requests answered as expected. */
          good: tokenCountSchema,
          /** Number of requests that failed at the server or were answered far later than at the other servers. */
          failed: tokenCountSchema,
          /** Number of requests lost on the network path, which may be the fault of the reporter. */
          lost: tokenCountSchema,
          /** Number of requests that the server refused without running them. */
          shed: tokenCountSchema,
        }),
      ),
    }),
  ),
});

/** Reply to `healthReport`: limits on the use of some backends' servers; others are used without restriction. */
export const healthVerdictSchema = z.object({
  type: z.literal('healthVerdict'),
  askId: z.number().int(),
  /** Time for which the limits apply, which the entry host counts from its report, in ms. */
  lifeMs: z.number().min(0),
  backends: z.array(
    z.object({
      backendId: z.string(),
      servers: z.array(
        z.object({
          serverId: z.string(),
          state: serverStateSchema,
          /** Number of requests that the entry host may run there at once. */
          limit: tokenCountSchema,
        }),
      ),
    }),
  ),
});

/** An entry host queries the home of a backend for a slot: the right to run one request at a server. */
export const slotAskSchema = z.object({
  type: z.literal('slotAsk'),
  askId: z.number().int(),
  backendId: z.string(),
  /** Servers that the waiting request cannot use. */
  avoidedIds: z.array(z.string()),
});

/** Reply to `slotAsk`: one slot, or none while the query waits until one is free. */
export const slotAnswerSchema = z.object({
  type: z.literal('slotAnswer'),
  askId: z.number().int(),
  backendId: z.string(),
  slot: z.object({slotId: z.number().int(), serverId: z.string()}).optional(),
});

/** The sender releases slots. */
export const slotReturnSchema = z.object({
  type: z.literal('slotReturn'),
  backendId: z.string(),
  slotIds: z.array(z.number().int()),
});

/** The sender still uses the slots, so that the home does not reclaim them. */
export const slotKeepSchema = z.object({
  type: z.literal('slotKeep'),
  backendId: z.string(),
  slotIds: z.array(z.number().int()),
});

/** A home recalls slots: they are to be released once their requests have ended, as other hosts wait for them. */
export const slotRecallSchema = z.object({
  type: z.literal('slotRecall'),
  backendId: z.string(),
  slotIds: z.array(z.number().int()),
});

/** A complete response, small enough to be stored and sent again for a duplicate request. */
export const storedResponseSchema = z.object({
  status: z.number().int(),
  contentType: z.string().optional(),
  body: z.instanceof(Uint8Array),
  /** True where its server did not declare the end of the body, so that a replay may not either. Default: false. */
  isEndUndeclared: z.boolean().optional(),
});

/** Queries a replica of an idempotency key for a claim: the reservation of the key by one run of the request. */
export const claimAskSchema = z.object({
  type: z.literal('claimAsk'),
  claimId: z.string(),
  customerId: z.string(),
  idempotencyKey: z.string().max(256),
  /** Identifies the request, so that the key is not used for a different one. */
  requestDigest: z.string().max(64),
  /** Time within which the run must end, in ms. */
  timeoutMs: z.number().min(0),
});

/** Reply to `claimAsk`: the state of the key at one replica. */
export const claimAnswerSchema = z.object({
  type: z.literal('claimAnswer'),
  claimId: z.string(),
  /** `abstains` from a replica that has not stored the key for long enough to decide. */
  state: z.enum(['claimed', 'abstains', 'running', 'answered', 'unknown', 'other-request']),
  answer: storedResponseSchema.optional(),
});

/** Notifies a replica how the run that holds a claim ended. */
export const claimEndedSchema = z.object({
  type: z.literal('claimEnded'),
  claimId: z.string(),
  customerId: z.string(),
  idempotencyKey: z.string().max(256),
  /** `not-run` releases the key. */
  state: z.enum(['answered', 'unknown', 'not-run']),
  answer: storedResponseSchema.optional(),
});

/** An attempt of an entry host under which a server crashed. */
export const crashSeenSchema = requestIdentitySchema.extend({
  type: z.literal('crashSeen'),
  serverId: z.string(),
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number().min(0),
  /** Time since the attempt ended, in ms; absent for none. */
  endedAgoMs: z.number().min(0).optional(),
});

/** An attempt of an entry host ended without a response: its server may have crashed. */
export const silenceSeenSchema = requestIdentitySchema.extend({
  type: z.literal('silenceSeen'),
  serverId: z.string(),
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number().min(0),
});

/** A request may have crashed servers; a host at which it gets a successful response replies with `requestCleared`. */
export const requestSuspectedSchema = requestIdentitySchema.extend({
  type: z.literal('requestSuspected'),
  /** Time since the first of the crashes, in ms: a later success clears the request; absent for none. */
  sinceAgoMs: z.number().min(0).optional(),
});

/** A suspected or blocked request got a successful response, so that it does not crash servers. */
export const requestClearedSchema = requestIdentitySchema.extend({
  type: z.literal('requestCleared'),
});

/** A poison request, which crashed servers that ran it, is to be refused by every host. */
export const requestBlockedSchema = requestIdentitySchema.extend({
  type: z.literal('requestBlocked'),
  /** Time for which it is refused, in ms; absent for the default. */
  forMs: z.number().min(0).optional(),
});

/** The sender is shutting down and will not use its shares of fleet-wide limits again. */
export const leavingSchema = z.object({type: z.literal('leaving')});

/**
 * Gossip about the members of the fleet: what the sender lists, in short. Each group of members, by the hash of
 * their host ids, has one entry.
 */
export const rosterDigestSchema = z.object({
  type: z.literal('rosterDigest'),
  /** Whether the receiver is to reply with its own digest. */
  isAnswerWanted: z.boolean(),
  groups: z.array(
    z.object({
      /** Hash of the processes that the sender lists in the group. */
      identityHash: z.number().int(),
      /** Heartbeat counter of each of them modulo 256, in the order of the host ids. */
      beats: z.instanceof(Uint8Array),
    }),
  ),
});

/** Members of the fleet as the sender lists them. */
export const rosterNewsSchema = z.object({
  type: z.literal('rosterNews'),
  /**
   * Groups of which the sender lists every member here; the receiver is to reply with what the sender lacks in
   * them.
   */
  wholeGroups: z.array(z.number().int()),
  /** Names of data centres, to which the members refer by position. */
  dataCentres: z.array(z.string()),
  members: z.array(
    z.object({
      hostId: z.string(),
      dataCentre: z.number().int().min(0),
      /** Unix time of the start of the process by its own clock, in ms. */
      bornMs: z.number(),
      /** Binary logarithm of the host's processing capacity in cores, rounded. */
      capacityClass: z.number().int(),
      /** Heartbeat counter, which grows with each gossip round of the process. */
      beat: z.number().int(),
      /** Whether the host announced its shutdown. */
      isLeaving: z.boolean(),
    }),
  ),
});

/** Number of times that the registry returned from an earlier copy of itself. */
const epochSchema = versionSchema.default(0);

/** Queries a peer for the changes in the registry since the versions that the sender has. */
export const registryAskSchema = z.object({
  type: z.literal('registryAsk'),
  nonce: z.number().int(),
  documentVersion: versionSchema,
  epoch: epochSchema,
  revision: versionSchema,
  /**
   * Time for which the sender has had registry data, in ms, while it only has what it read itself or got from younger
   * processes; absent afterwards. An older process replies with everything that it knows.
   */
  knownForMs: z.number().min(0).optional(),
});

/** Reply to `registryAsk`: the registry as far as the peer has read it. */
export const registryAnswerSchema = z.object({
  type: z.literal('registryAnswer'),
  nonce: z.number().int(),
  /** Age of the newest response of the registry, in ms; absent before the first. */
  ageMs: z.number().min(0).optional(),
  /** Whether the sender's own source of the registry does not reply at present. */
  isFailing: z.boolean().optional(),
  /** Host that read the newest of the data from the registry; absent before the first. */
  readByHostId: z.string().optional(),
  /** Whether the changes are the whole content of the registry at the peer. */
  isWhole: z.boolean(),
  /** Whether they are all that a process knows that has had registry data for longer than the one that queries. */
  isFromOlderProcess: z.boolean().optional(),
  /** Time for which the sender has had its newest changes, in ms. */
  heldMs: z.number().min(0).optional(),
  epoch: epochSchema,
  revision: versionSchema,
  documentVersion: versionSchema,
  /** Whether the newest document in the registry cannot be read. */
  isDocumentUnreadable: z.boolean().optional(),
  changes: z.array(registryChangeSchema),
});

/** Notifies a host that queried recently that the registry changed. */
export const registryChangedSchema = z.object({
  type: z.literal('registryChanged'),
  epoch: epochSchema,
  revision: versionSchema,
});

/** Notifies a host that queried recently that the sender no longer gets data from the registry. */
export const registryLostSchema = z.object({
  type: z.literal('registryLost'),
});

/** Queries the home of a backend for the server to which a request should be sent. */
export const placeAskSchema = z.object({
  type: z.literal('placeAsk'),
  askId: z.number().int(),
  backendId: z.string(),
  /** Data centre of the home that is queried; absent where the backend is not divided. */
  scope: z.string().optional(),
  routeId: z.string(),
  customerId: z.string(),
  /** Whether the request may run twice without harm, so that it is retryable. */
  isRepeatable: z.boolean(),
  /** Whether this is a retry: the request was sent to another server before and may run again. Default: false. */
  isRepeat: z.boolean().optional(),
  /**
   * Whether a home may have counted the request already: an earlier attempt did not reach its server, or an earlier
   * query got no reply. Default: false.
   */
  isCounted: z.boolean().optional(),
  /** Whether this is a hedged attempt, beside a running one. Default: false. */
  isHedge: z.boolean().optional(),
  /** Priority class, 0 for the most urgent. */
  priority: z.number().int(),
  /** Servers of the home that were already tried, or that the sender cannot reach. Default: none. */
  avoidedIds: z.array(z.string()).optional(),
  /** Servers of the home to which the sender has an idle connection. Default: those of `connectedBits`, or none. */
  connectedIds: z.array(z.string()).optional(),
  /** The same servers by number, one bit for each server of the list whose hash is `listHash`. */
  connectedBits: z.instanceof(Uint8Array).optional(),
  listHash: z.number().int().optional(),
  /** Time left until the deadline of the request, in ms. */
  leftMs: z.number(),
  /** Digest that is equal for duplicates of the request. Default: unknown. */
  requestDigest: z.string().optional(),
  /** Id of the request as callers and servers see it, for the logs. */
  requestName: z.string(),
  /** Announced size of the request's body, in bytes. Default: unknown. */
  bodyBytes: z.number().min(0).optional(),
  /** Notices that servers of the backend sent to the sender; absent for none. */
  notices: z.array(noticeReportSchema).optional(),
  /**
   * Whether another home of the backend replied `elsewhere` to the query, or this one did and the other found no
   * server: the query was counted there and is not forwarded again.
   */
  isForwarded: z.boolean().optional(),
});

/** Reply to `placeAsk`: a server, a place in the queue, a refusal, or another home that has room. */
export const placeAnswerSchema = z.object({
  type: z.literal('placeAnswer'),
  askId: z.number().int(),
  state: z.enum(['granted', 'waiting', 'refused', 'elsewhere']),
  /** Data centre whose home is to be queried instead; present in the state `elsewhere`. */
  dataCentre: z.string().optional(),
  serverId: z.string().optional(),
  /** Why the request is refused. */
  kind: errorKindSchema.optional(),
  /** Wait after which a further request may succeed, in ms. */
  retryAfterMs: z.number().min(0).optional(),
  /** Time without a response after which a hedged second attempt may be sent, in ms. */
  secondAfterMs: z.number().min(0).optional(),
  /** Whether the network path from the host to the server is suspect, so that a new connection should test it. */
  needsNewConnection: z.boolean().optional(),
  /**
   * Whether the sender understands queries without the fields that have a default, and `connectedBits`; absent in the
   * replies of hosts that run earlier code.
   */
  readsShortQueries: z.boolean().optional(),
});

/** An attempt that the home granted ended, or was never started. */
export const placeEndedSchema = z.object({
  type: z.literal('placeEnded'),
  askId: z.number().int(),
  outcome: attemptOutcomeSchema,
  /** Time for which the attempt ran, in ms. */
  ranForMs: z.number().min(0),
  /** What the server stated about itself; absent if it did not respond. */
  notice: serverNoticeSchema.optional(),
  /** Whether the caller did not send the whole body, so that the silence of the server says nothing. Default: false. */
  isInconclusive: z.boolean().optional(),
});

/** The sender does not need the server of a query any more. */
export const placeWithdrawnSchema = z.object({
  type: z.literal('placeWithdrawn'),
  askId: z.number().int(),
});

/** Reports to a new home of a backend the attempts that the sender runs there and the latest outcomes. */
export const placeHelloSchema = z.object({
  type: z.literal('placeHello'),
  backendId: z.string(),
  /** Data centre of the home; absent where the backend is not divided. */
  scope: z.string().optional(),
  /** Attempts that run now. */
  running: z.array(
    z.object({
      askId: z.number().int(),
      serverId: z.string(),
      routeId: z.string(),
      /** Time since the start of the attempt, in ms. */
      ageMs: z.number().min(0),
    }),
  ),
  /** How the last attempt at each server ended. */
  recent: z.array(
    z.object({
      serverId: z.string(),
      outcome: attemptOutcomeSchema,
      /** Time since the start of the attempt, in ms. */
      startedAgoMs: z.number().min(0),
      /** Time for which the attempt ran, in ms. */
      ranForMs: z.number().min(0),
    }),
  ),
  /**
   * Whether the sender, home of another data centre, wants a `placeSummary` and understands one; absent in the
   * messages of hosts that run earlier code.
   */
  isSummaryWanted: z.boolean().optional(),
});

/** Notifies the other homes of a divided backend of the load and the outcomes at the sender's. */
export const placeSummarySchema = z.object({
  type: z.literal('placeSummary'),
  backendId: z.string(),
  /** Data centre of the home. */
  dataCentre: z.string(),
  /** Free slots of servers that a request may use at once. */
  freeSlots: z.number().int().min(0),
  /** Mean risk of the servers with these slots, 0 to 1; absent where there are none. */
  freeRisk: z.number().min(0).max(1).optional(),
  /** Slots of the servers that are likelier to succeed than to fail. */
  usableSlots: z.number().int().min(0),
  /** Number of waiting requests of each priority class that has any. */
  waitingByPriority: z.array(z.tuple([z.number().int(), z.number().int().min(0)])),
  /** Time for which the oldest of them has waited, in ms. */
  oldestWaitMs: z.number().min(0),
  /** Recent attempts that failed; these three have decaying weights. */
  failed: z.number().min(0),
  /** Recent attempts that were given back unused. */
  turnedAway: z.number().min(0),
  /** Recent attempts that ended. */
  ended: z.number().min(0),
  /** Running attempts that nearly all responses on their route are faster than. */
  overdue: z.number().int().min(0),
  /** Customers served most since the last summary, with the number of their requests. */
  served: z.array(z.tuple([z.string(), z.number().int().min(0)])).max(64),
  /** Whether an idle home sends it in return for the summary of another; it is not replied to. */
  isReply: z.boolean().optional(),
});

/** Queries the home of a customer whether one more request is within the customer's rate. */
export const quotaAskSchema = z.object({
  type: z.literal('quotaAsk'),
  askId: z.number().int(),
  customerId: z.string(),
  /** Id of the request as callers and servers see it, for the logs. */
  requestName: z.string(),
});

/** Reply to `quotaAsk`. */
export const quotaAnswerSchema = z.object({
  type: z.literal('quotaAnswer'),
  askId: z.number().int(),
  isGranted: z.boolean(),
  /** Time until a further request is within the customer's rate, in ms. */
  retryAfterMs: z.number().min(0).optional(),
});

/** Reports to a new home of a customer the requests that the former home granted the sender in the current window. */
export const quotaHelloSchema = z.object({
  type: z.literal('quotaHello'),
  customerId: z.string(),
  /** Time since the admission of each request, in ms. */
  admittedAgoMs: z.array(z.number().min(0)),
});

/** Every message that hosts send to each other. */
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
  silenceSeenSchema,
  slotAskSchema,
  slotAnswerSchema,
  slotReturnSchema,
  slotKeepSchema,
  slotRecallSchema,
  requestSuspectedSchema,
  requestClearedSchema,
  requestBlockedSchema,
  leavingSchema,
  rosterDigestSchema,
  rosterNewsSchema,
  registryAskSchema,
  registryAnswerSchema,
  registryChangedSchema,
  registryLostSchema,
  placeAskSchema,
  placeAnswerSchema,
  placeEndedSchema,
  placeWithdrawnSchema,
  placeHelloSchema,
  placeSummarySchema,
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
export type StoredResponse = z.infer<typeof storedResponseSchema>;
export type SilenceSeen = z.infer<typeof silenceSeenSchema>;
export type CrashSeen = z.infer<typeof crashSeenSchema>;
export type ClaimAsk = z.infer<typeof claimAskSchema>;
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
export type ClaimEnded = z.infer<typeof claimEndedSchema>;
export type LoanAnswer = z.infer<typeof loanAnswerSchema>;
export type RosterDigest = z.infer<typeof rosterDigestSchema>;
export type RosterNews = z.infer<typeof rosterNewsSchema>;
export type RegistryAsk = z.infer<typeof registryAskSchema>;
export type RegistryAnswer = z.infer<typeof registryAnswerSchema>;
/** `placeAsk` as it is sent, without the fields that have their default. */
export type PlaceAskMessage = z.infer<typeof placeAskSchema>;
/** `placeAsk` with all fields. */
export type PlaceAsk = PlaceAskMessage &
  Required<
    Pick<
      PlaceAskMessage,
      'isRepeat' | 'avoidedIds' | 'connectedIds' | 'requestDigest' | 'bodyBytes'
    >
  >;

/** Fills in the fields of a query that were left out, with the servers that the sender gave by number. */
export function readPlaceAsk(message: PlaceAskMessage, connectedIds: readonly string[]): PlaceAsk {
  return {
    ...message,
    isRepeat: message.isRepeat ?? false,
    avoidedIds: message.avoidedIds ?? [],
    connectedIds: message.connectedIds ?? [...connectedIds],
    requestDigest: message.requestDigest ?? '',
    bodyBytes: message.bodyBytes ?? 0,
  };
}

export type PlaceAnswer = z.infer<typeof placeAnswerSchema>;
export type PlaceEnded = z.infer<typeof placeEndedSchema>;
export type PlaceSummary = z.infer<typeof placeSummarySchema>;
export type PlaceHello = z.infer<typeof placeHelloSchema>;
