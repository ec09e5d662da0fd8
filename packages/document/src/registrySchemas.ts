import {z} from 'zod';
import {documentSchema} from './documentSchema.ts';

/** Longest id of a server, in characters; it is sent in a header of each request. */
const maxServerIdLength = 200;
/** Longest name of a backend or data centre in an entry, in characters. */
const maxNameLength = 65_536;
/** Most requests that one server processes at the same time; an entry that names more is a mistake. */
const maxSlots = 100_000;
/** Longest time for which a server stays cold, in ms: a day. */
const maxColdMs = 86_400_000;

/** The registry entry of a backend server that registered itself. */
export const discoveredServerSchema = z.object({
  /** Id of one server instance; a server checks it against the instance that a request expects, in a header. */
  id: z
    .string()
    .max(maxServerIdLength)
    .regex(/^[\x21-\x7e]+$/, 'must be visible ASCII characters'),
  backendId: z.string().min(1).max(maxNameLength),
  /** Origin of the server: scheme, IP number and port. */
  origin: z.url({protocol: /^https?$/}),
  dataCentre: z.string().max(maxNameLength),
  /** Requests that the server processes at the same time. */
  slots: z.number().int().min(1).max(maxSlots),
  state: z.enum(['in-service', 'draining']),
  /** Time for which the server stays cold, that is warming up, counted from the read, in ms. */
  coldForMs: z.number().min(0).max(maxColdMs),
  /** Unix time of the server's start by its own clock, in ms; absent if it does not report it. */
  startedAtUnixMs: z.number().optional(),
  /** Number of times that the server has written its entry since its start; absent if it does not report it. */
  writeCount: z.number().int().optional(),
  /** Registry revision of the last change of the entry. */
  revision: z.number().int(),
});

/**
 * True where the registry, which returned from an earlier copy of itself, does not say so, but a host believes it
 * from before.
 */
const isUnconfirmedSchema = z.boolean().optional();
/** Registry revision of the entry that took a data centre out of service; absent if unknown. */
const outRevisionSchema = z.number().int().optional();

/**
 * One change of the registry, which holds what operators and backend servers publish. Lists of changes are
 * ordered from oldest to newest.
 */
export const registryChangeSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('document'), document: documentSchema}),
  z.object({
    kind: z.literal('server'),
    server: discoveredServerSchema,
    isUnconfirmed: isUnconfirmedSchema,
  }),
  z.object({
    kind: z.literal('serverGone'),
    serverId: z.string(),
    revision: z.number().int(),
    /** Last entry of the server; absent if unknown. */
    server: discoveredServerSchema.optional(),
  }),
  z.object({
    kind: z.literal('dataCentreOut'),
    dataCentre: z.string(),
    revision: outRevisionSchema,
    isUnconfirmed: isUnconfirmedSchema,
  }),
  z.object({
    kind: z.literal('dataCentreBack'),
    dataCentre: z.string(),
    revision: outRevisionSchema,
    isUnconfirmed: isUnconfirmedSchema,
  }),
]);

/** The registry entry of a backend server that registered itself. */
export type DiscoveredServer = z.infer<typeof discoveredServerSchema>;
/** One change of the registry. */
export type RegistryChange = z.infer<typeof registryChangeSchema>;
