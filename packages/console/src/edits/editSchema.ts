import {z} from 'zod';

/** Id in a form field; its exact form is checked with the whole document. */
const idSchema = z.string().min(1);
/** Non-negative whole number in a form field. */
const countSchema = z.coerce.number().int().min(0);

/** The fields of one form, by the kind of change that the operator makes with it. */
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

/** One change of an operator to a draft. */
export type Edit = z.infer<typeof editSchema>;
