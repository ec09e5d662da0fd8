import {z} from 'zod';
import {documentSchema} from './documentSchema.ts';

/** A backend server that registered itself. */
export const discoveredServerSchema = z.object({
  /** Name of one start of the server, which it checks on each request that expects it. */
  id: z.string().min(1),
  backendId: z.string().min(1),
  /** Origin of the server: scheme, IP number and port. */
  origin: z.string(),
  dataCentre: z.string(),
  /** Requests that the server works on at once. */
  slots: z.number().int().min(1),
  state: z.enum(['in-service', 'draining']),
  /** Time for which the server stays cold, counted from the read, in ms. */
  coldForMs: z.number().min(0),
  /** Unix time of the server's start by its own clock, in ms; absent where it does not say. */
  startedAtUnixMs: z.number().optional(),
  /** Revision of the registry at which the entry changed last. */
  revision: z.number().int(),
});

/** One change of what operators and backend servers publish, oldest first in a list of changes. */
export const registryChangeSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('document'), document: documentSchema}),
  z.object({kind: z.literal('server'), server: discoveredServerSchema}),
  z.object({kind: z.literal('serverGone'), serverId: z.string(), revision: z.number().int()}),
  z.object({kind: z.literal('dataCentreOut'), dataCentre: z.string()}),
  z.object({kind: z.literal('dataCentreBack'), dataCentre: z.string()}),
]);

export type DiscoveredServer = z.infer<typeof discoveredServerSchema>;
export type RegistryChange = z.infer<typeof registryChangeSchema>;
