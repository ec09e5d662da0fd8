import {z} from 'zod';

const idSchema = z.string().min(1);
const countSchema = z.coerce.number().int().min(0);

/** One change that an operator makes by a form. */
export const editSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('setCustomer'),
    id: idSchema,
    ratePerSecond: z.coerce.number(),
    burstRequests: z.coerce.number(),
  }),
  z.object({kind: z.literal('removeCustomer'), id: idSchema}),
  z.object({kind: z.literal('addKey'), id: idSchema, digest: z.string().length(64)}),
  z.object({kind: z.literal('withdrawKey'), id: idSchema, digest: z.string().length(64)}),
  z.object({
    kind: z.literal('setRoute'),
    id: idSchema,
    pathPrefix: z.string().startsWith('/'),
    backend: idSchema,
    access: z.enum(['key', 'open']),
    idempotent: z.enum(['by-method', 'yes', 'no']),
    timeoutMs: countSchema,
  }),
  z.object({kind: z.literal('removeRoute'), id: idSchema}),
  z.object({kind: z.literal('setDataCentre'), id: idSchema, service: z.enum(['in', 'out'])}),
  z.object({kind: z.literal('setFloor'), id: idSchema, totalServers: countSchema}),
  z.object({kind: z.literal('setServer'), id: idSchema, state: z.enum(['in-service', 'draining'])}),
  z.object({
    kind: z.literal('addServer'),
    backendId: idSchema,
    id: idSchema,
    origin: z.string(),
    dataCentre: idSchema,
  }),
  z.object({kind: z.literal('removeServer'), id: idSchema}),
]);

export type Edit = z.infer<typeof editSchema>;
