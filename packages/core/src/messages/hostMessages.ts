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

/** The platform returned the host list that was requested at `requestedAtMs`. */
export const hostListReadSchema = z.object({
  type: z.literal('hostListRead'),
  list: hostListSchema,
  requestedAtMs: z.number(),
});

/** The platform returned the manifest that was requested at `requestedAtMs`. */
export const manifestReadSchema = z.object({
  type: z.literal('manifestRead'),
  manifest: manifestSchema,
  requestedAtMs: z.number(),
});

/** The platform replied to a request made at `requestedAtMs` that the manifest of `version` is still the newest. */
export const manifestUnchangedSchema = z.object({
  type: z.literal('manifestUnchanged'),
  version: z.number().int(),
  requestedAtMs: z.number(),
});

/** A part of the configuration document arrived; its digest was verified. */
export const partReadSchema = z.object({
  type: z.literal('partRead'),
  sha256: z.string(),
  text: z.string(),
});

/** A part of the configuration document could not be read from its source. */
export const partUnavailableSchema = z.object({
  type: z.literal('partUnavailable'),
  sha256: z.string(),
});

/** A message of another host arrived, or one that this host sent to itself. */
export const peerMessageReceivedSchema = z.object({
  type: z.literal('peerMessageReceived'),
  fromHostId: z.string(),
  message: peerMessageSchema,
});

/** A timer that a task requested by `timerWanted` fired. */
export const timerFiredSchema = z.object({
  type: z.literal('timerFired'),
  timerId: z.string(),
});

/** The host is to drain and shut down. */
export const shutdownWantedSchema = z.object({type: z.literal('shutdownWanted')});

/** This host applied a new version of the configuration document. */
export const documentInForceSchema = z.object({
  type: z.literal('documentInForce'),
  document: documentSchema,
  manifest: manifestSchema,
});

/** The host list, this host's share of the fleet-wide limits, or the reachable hosts changed. */
export const membershipChangedSchema = z.object({
  type: z.literal('membershipChanged'),
  /** Newest host list that this host has. */
  list: hostListSchema,
  /** Share of every fleet-wide allowance that belongs to this host, 0 to 1. */
  ownShare: z.number(),
  /** Hosts with recent signs of life, which may become homes of keys. */
  reachableHostIds: z.array(z.string()),
});

/** This host's view of the fleet is fresh, so that it may act on it, until the given moment on its own clock. */
export const freshUntilSchema = z.object({
  type: z.literal('freshUntil'),
  untilMs: z.number(),
});

/** Requests a part of the configuration document. */
export const readPartSchema = z.object({
  type: z.literal('readPart'),
  sha256: z.string(),
  /** Host to read from; absent for the platform. */
  fromHostId: z.string().optional(),
});

/** Sends a message to another host. */
export const sendToPeerSchema = z.object({
  type: z.literal('sendToPeer'),
  toHostId: z.string(),
  message: peerMessageSchema,
});

/** The hosts to which this host maintains connections. */
export const linkPeersSchema = z.object({
  type: z.literal('linkPeers'),
  list: hostListSchema,
});

/** Requests `timerFired` at a moment of the host's clock. */
export const timerWantedSchema = z.object({
  type: z.literal('timerWanted'),
  timerId: z.string(),
  atMs: z.number(),
});

/** Sends a health probe to a backend server. */
export const sendProbeSchema = z.object({
  type: z.literal('sendProbe'),
  serverId: z.string(),
  origin: z.string(),
  path: z.string(),
  timeoutMs: z.number(),
});

/** A health probe ended, with a response or without one. */
export const probeAnsweredSchema = z.object({
  type: z.literal('probeAnswered'),
  serverId: z.string(),
  isHealthy: z.boolean(),
  latencyMs: z.number(),
});

/** Adds to a counter in the metrics; by 1 if `by` is absent. */
export const countSchema = z.object({
  type: z.literal('count'),
  name: z.string(),
  tags: z.record(z.string(), z.string()),
  by: z.number().int().optional(),
});

/** Adds a duration to a histogram in the metrics. */
export const observeSchema = z.object({
  type: z.literal('observe'),
  name: z.string(),
  tags: z.record(z.string(), z.string()),
  valueMs: z.number(),
});

/** Writes a log line. */
export const logSchema = z.object({
  type: z.literal('log'),
  level: z.enum(['debug', 'info', 'warn', 'error']),
  event: z.string(),
  fields: z.record(z.string(), z.unknown()),
});

export type SendProbe = z.infer<typeof sendProbeSchema>;
export type MembershipChanged = z.infer<typeof membershipChangedSchema>;

/** The platform confirmed, to a request made at `requestedAtMs`, that there is no newer document to apply. */
export const manifestConfirmedSchema = z.object({
  type: z.literal('manifestConfirmed'),
  requestedAtMs: z.number(),
  documentVersion: z.number().int(),
});

/** An operator requests the status of the host: its state and the reasons of its decisions. */
export const statusWantedSchema = z.object({
  type: z.literal('statusWanted'),
  askId: z.number().int(),
});

/** One task's section of the reply to `statusWanted`. */
export const statusReportedSchema = z.object({
  type: z.literal('statusReported'),
  askId: z.number().int(),
  section: z.string(),
  value: z.record(z.string(), z.unknown()),
});

/** The registry of backend servers returned a read or an update of a watch. */
export const registryReadSchema = z.object({
  type: z.literal('registryRead'),
  /** Whether the changes are the whole content of the registry; entries not among them are gone. */
  isWhole: z.boolean(),
  /** Number of times that the registry returned from an earlier copy of itself. */
  epoch: z.number().int(),
  /** Revision of the registry with these changes applied. */
  revision: z.number().int(),
  changes: z.array(registryChangeSchema),
  /** Whether the newest document in the registry cannot be read; absent if these changes do not tell. */
  isDocumentUnreadable: z.boolean().optional(),
  /** Moment on the host's clock at which the registry is certain to have held nothing newer, in ms. */
  asOfMs: z.number(),
});

/** A read of the registry failed. */
export const registryUnreadableSchema = z.object({
  type: z.literal('registryUnreadable'),
  reason: z.string(),
});

/** Requests that the registry is watched, or that the watch is ended. */
export const watchRegistrySchema = z.object({
  type: z.literal('watchRegistry'),
  isWanted: z.boolean(),
  /** Epoch and revision that the core already has; revision 0 for none. */
  afterEpoch: z.number().int(),
  afterRevision: z.number().int(),
});

/** The registered backend servers, as far as this host has learned from the registry. */
export const registeredServersChangedSchema = z.object({
  type: z.literal('registeredServersChanged'),
  servers: z.array(discoveredServerSchema),
  /** Servers whose entry disappeared recently without notice; to be used only as a last resort. */
  lapsedServerIds: z.array(z.string()),
  /** Data centres that operators have taken out of service. */
  outOfService: z.array(z.string()),
});

/** The roster, the gossip-based member list of the fleet, changed. */
export const rosterChangedSchema = z.object({
  type: z.literal('rosterChanged'),
  /** Hosts that are alive, as far as this host has learned by gossip. */
  live: z.array(
    z.object({
      hostId: z.string(),
      dataCentre: z.string(),
      /** Unix time of the start of the process by its own clock, in ms. */
      bornMs: z.number(),
      /** Binary logarithm of the host's processing capacity in cores, rounded. */
      capacityClass: z.number().int(),
    }),
  ),
  /** Number of hosts that are alive, or were recently and did not announce their shutdown. */
  knownCount: z.number().int(),
});

/** The process will shut down soon; requests that arrive are served if they can be answered before the end. */
export const shutdownAnnouncedSchema = z.object({
  type: z.literal('shutdownAnnounced'),
  /** Moment at which the requests that still run are refused, in ms. */
  endsAtMs: z.number(),
  /**
   * Moment until which requests are served that are likely to be answered before the end, in ms; later ones are served
   * only if their whole time budget lies before it.
   */
  lenientUntilMs: z.number(),
});

/** The process will shut down soon. */
export type ShutdownAnnounced = z.infer<typeof shutdownAnnouncedSchema>;
export type RegistryRead = z.infer<typeof registryReadSchema>;
export type RegisteredServersChanged = z.infer<typeof registeredServersChangedSchema>;
export type RosterChanged = z.infer<typeof rosterChangedSchema>;
/** A live host of the roster. */
export type LiveHost = RosterChanged['live'][number];

/** Sets the limits on callers' requests to those of the document in force. */
export const limitCallersSchema = z.object({
  type: z.literal('limitCallers'),
  limits: callerLimitsSchema,
});

/** No process listens at the address of a host, so that the host is not running. */
export const peerAbsentSchema = z.object({
  type: z.literal('peerAbsent'),
  hostId: z.string(),
});

/** The time of day advanced by more than the host's clock, as after a suspension that the clock does not count. */
export const clockGapDetectedSchema = z.object({
  type: z.literal('clockGapDetected'),
  lostMs: z.number().positive(),
});

/** The settings now name other seeds: hosts to contact first, by which the fleet is found. */
export const seedsChangedSchema = z.object({
  type: z.literal('seedsChanged'),
  seedIds: z.array(z.string()),
});
