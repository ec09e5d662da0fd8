import {z} from 'zod';

const manifestPartSchema = z.strictObject({
  /** Which list of the document the part belongs to. */
  kind: z.enum(['head', 'customers', 'backends', 'routes']),
  sha256: z.string().length(64),
  sizeBytes: z.number().int().min(0).max(1_048_576),
});

/** The small value that names a version of the document and the parts it is made of. */
export const manifestSchema = z.strictObject({
  formatVersion: z.literal(1),
  version: z.number().int().min(1),
  parts: z.array(manifestPartSchema),
});

const listedHostSchema = z.strictObject({
  /** Stable name of the host. */
  id: z.string().min(1),
  dataCentre: z.string().min(1),
  /** Where peers connect, as `IP:port`. */
  peerAddress: z.string().min(1),
  state: z.enum(['live', 'leaving']),
});

/** The platform's list of hosts; lags behind what is true. */
export const hostListSchema = z.strictObject({
  /** Grows with every change of the list. */
  version: z.number().int().min(0),
  /** The platform's clock when it made this answer, in ms. */
  asOfMs: z.number(),
  hosts: z.array(listedHostSchema),
});

export type Manifest = z.infer<typeof manifestSchema>;
export type ManifestPart = Manifest['parts'][number];
export type HostList = z.infer<typeof hostListSchema>;
export type ListedHost = HostList['hosts'][number];
