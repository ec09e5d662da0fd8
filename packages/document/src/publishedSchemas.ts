import {z} from 'zod';

/** Reference to one part of a published document by the digest of its text. */
const manifestPartSchema = z.strictObject({
  /** Which list of the document the part belongs to. */
  kind: z.enum(['head', 'customers', 'backends', 'routes']),
  /** SHA-256 digest of the part's text, in hex. */
  sha256: z.string().length(64),
  /** Size of the part's text, in bytes; at most 1 MiB. */
  sizeBytes: z.number().int().min(0).max(1_048_576),
});

/** The manifest of a published document: its version and the parts of which it consists. */
export const manifestSchema = z.strictObject({
  formatVersion: z.literal(1),
  version: z.number().int().min(1),
  parts: z.array(manifestPartSchema),
});

/** One host of the platform's host list. */
const listedHostSchema = z.strictObject({
  /** Id of the host; it stays the same across restarts. */
  id: z.string().min(1),
  dataCentre: z.string().min(1),
  /** Address to which peers connect, as `IP:port`. */
  peerAddress: z.string().min(1),
  state: z.enum(['live', 'leaving']),
});

/** The platform's list of hosts; it may lag behind the actual state. */
export const hostListSchema = z.strictObject({
  /** Increases with every change of the list. */
  version: z.number().int().min(0),
  /** Time of the platform's clock when it created this response, in ms. */
  asOfMs: z.number(),
  hosts: z.array(listedHostSchema),
});

export type Manifest = z.infer<typeof manifestSchema>;
export type ManifestPart = Manifest['parts'][number];
export type HostList = z.infer<typeof hostListSchema>;
export type ListedHost = HostList['hosts'][number];
