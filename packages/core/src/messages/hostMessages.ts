import {z} from 'zod';
import {
  callerLimitsSchema,
  discoveredServerSchema,
  documentSchema,
  hostListSchema,
  manifestSchema,
  registryChangeSchema,
} from '@godwitspring/document';
import {peerMessageSchema} from './peerMessages.ts';

/** The platform answered a read of the host list that was asked at `askedAtMs`. */
export const hostListReadSchema = z.object({
  type: z.literal('hostListRead'),
  list: hostListSchema,
  askedAtMs: z.number(),
});

/** The platform answered a read of the manifest that was asked at `askedAtMs`. */
export const manifestReadSchema = z.object({
  type: z.literal('manifestRead'),
  manifest: manifestSchema,
  askedAtMs: z.number(),
});

/** The platform answered that the manifest of `version` is still the newest. */
export const manifestUnchangedSchema = z.object({
  type: z.literal('manifestUnchanged'),
  version: z.number().int(),
  askedAtMs: z.number(),
});

/** A part arrived; its digest was verified. */
export const partReadSchema = z.object({
  type: z.literal('partRead'),
  sha256: z.string(),
  text: z.string(),
});

export const partUnavailableSchema = z.object({
  type: z.literal('partUnavailable'),
  sha256: z.string(),
});

export const peerMessageReceivedSchema = z.object({
  type: z.literal('peerMessageReceived'),
  fromHostId: z.string(),
  message: peerMessageSchema,
});

export const timerFiredSchema = z.object({
  type: z.literal('timerFired'),
  timerId: z.string(),
});

export const shutdownWantedSchema = z.object({type: z.literal('shutdownWanted')});

/** A new version of the document is in force on this host. */
export const documentInForceSchema = z.object({
  type: z.literal('documentInForce'),
  document: documentSchema,
  manifest: manifestSchema,
});

/** The lists that bound what this host may use, and how long it may act on them. */
export const membershipChangedSchema = z.object({
  type: z.literal('membershipChanged'),
  /** Newest list known. */
  list: hostListSchema,
  /** Share of every fleet-wide allowance that belongs to this host, 0 to 1. */
  ownShare: z.number(),
  /** Hosts heard of lately, on which homes may be placed. */
  reachableHostIds: z.array(z.string()),
});

/** This host may act on its view until the given moment on its own clock. */
export const freshUntilSchema = z.object({
  type: z.literal('freshUntil'),
  untilMs: z.number(),
});

export const readPartSchema = z.object({
  type: z.literal('readPart'),
  sha256: z.string(),
  /** Host to ask; absent to ask the platform. */
  fromHostId: z.string().optional(),
});

export const sendToPeerSchema = z.object({
  type: z.literal('sendToPeer'),
  toHostId: z.string(),
  message: peerMessageSchema,
});

/** The hosts to which links are kept. */
export const linkPeersSchema = z.object({
  type: z.literal('linkPeers'),
  list: hostListSchema,
});

export const timerWantedSchema = z.object({
  type: z.literal('timerWanted'),
  timerId: z.string(),
  atMs: z.number(),
});

export const sendProbeSchema = z.object({
  type: z.literal('sendProbe'),
  serverId: z.string(),
  origin: z.string(),
  path: z.string(),
  timeoutMs: z.number(),
});

export const probeAnsweredSchema = z.object({
  type: z.literal('probeAnswered'),
  serverId: z.string(),
  isHealthy: z.boolean(),
  latencyMs: z.number(),
});

export const countSchema = z.object({
  type: z.literal('count'),
  name: z.string(),
  tags: z.record(z.string(), z.string()),
  by: z.number().int().optional(),
});

/** One time for a histogram. */
export const observeSchema = z.object({
  type: z.literal('observe'),
  name: z.string(),
  tags: z.record(z.string(), z.string()),
  valueMs: z.number(),
});

export const logSchema = z.object({
  type: z.literal('log'),
  level: z.enum(['debug', 'info', 'warn', 'error']),
  event: z.string(),
  fields: z.record(z.string(), z.unknown()),
});

export type SendProbe = z.infer<typeof sendProbeSchema>;
export type MembershipChanged = z.infer<typeof membershipChangedSchema>;

/** The platform or a peer confirmed at `askedAtMs` that the document in force is the newest. */
export const manifestConfirmedSchema = z.object({
  type: z.literal('manifestConfirmed'),
  askedAtMs: z.number(),
  documentVersion: z.number().int(),
});

/** An operator asks what the host knows and why it decides as it does. */
export const statusWantedSchema = z.object({
  type: z.literal('statusWanted'),
  askId: z.number().int(),
});

/** One task's part of the answer to `statusWanted`. */
export const statusToldSchema = z.object({
  type: z.literal('statusTold'),
  askId: z.number().int(),
  section: z.string(),
  value: z.record(z.string(), z.unknown()),
});

/** The registry answered a read or a watch. */
export const registryReadSchema = z.object({
  type: z.literal('registryRead'),
  /** True where the changes are all that the registry holds; what they do not name is gone. */
  isWhole: z.boolean(),
  /** Revision up to which the changes reach. */
  revision: z.number().int(),
  changes: z.array(registryChangeSchema),
  /** Moment on the host's clock at which the registry surely held nothing newer, in ms. */
  asOfMs: z.number(),
});

/** A read of the registry failed. */
export const registryUnreadableSchema = z.object({
  type: z.literal('registryUnreadable'),
  reason: z.string(),
});

/** Asks the surroundings to watch the registry, or to stop. */
export const watchRegistrySchema = z.object({
  type: z.literal('watchRegistry'),
  isWanted: z.boolean(),
  /** Revision that the core knows already; 0 for nothing. */
  afterRevision: z.number().int(),
});

/** The backend servers that a host knows of. */
export const serversKnownSchema = z.object({
  type: z.literal('serversKnown'),
  servers: z.array(discoveredServerSchema),
  /** Servers whose entry went away lately without notice; to be used as a last resort. */
  lapsedServerIds: z.array(z.string()),
  /** Data centres that operators took out of service. */
  outOfService: z.array(z.string()),
});

/** The hosts that are alive, as far as this host heard. */
export const rosterChangedSchema = z.object({
  type: z.literal('rosterChanged'),
  live: z.array(
    z.object({
      hostId: z.string(),
      dataCentre: z.string(),
      /** Unix time of the start of the process by its own clock, in ms. */
      bornMs: z.number(),
    }),
  ),
  /** Hosts that are alive or were lately and did not say that they leave. */
  knownCount: z.number().int(),
});

/** The process is about to stop; requests that arrive are still served. */
export const leavingSoonSchema = z.object({type: z.literal('leavingSoon')});

export type RegistryRead = z.infer<typeof registryReadSchema>;
export type ServersKnown = z.infer<typeof serversKnownSchema>;
export type RosterChanged = z.infer<typeof rosterChangedSchema>;
export type LiveHost = RosterChanged['live'][number];

/** What callers may send by the document in force. */
export const limitCallersSchema = z.object({
  type: z.literal('limitCallers'),
  limits: callerLimitsSchema,
});

/** Nobody listens at the address of a host: its process is gone. */
export const peerAbsentSchema = z.object({
  type: z.literal('peerAbsent'),
  hostId: z.string(),
});

/** The time of day ran ahead of the host's clock, as after a suspension that the clock does not count. */
export const timeLostSchema = z.object({
  type: z.literal('timeLost'),
  lostMs: z.number().positive(),
});

/** The settings name other hosts by which the fleet may be found. */
export const seedsChangedSchema = z.object({
  type: z.literal('seedsChanged'),
  seedIds: z.array(z.string()),
});
