import type {FleetDocument} from './documentSchema.ts';
import type {Manifest, ManifestPart} from './publishedSchemas.ts';

/** Returns the SHA-256 digest of a text in hex. */
export type DigestFunction = (text: string) => string;

/** A document as it is published: the manifest, and the texts of its parts by digest. */
export interface SplitDocument {
  readonly manifest: Manifest;
  readonly texts: ReadonlyMap<string, string>;
}

/** Average number of entries per part above which the number of parts is doubled. */
const maxEntriesPerPart = 64;

/** Groups entries by a hash of their id, so that a changed entry changes only one part. */
function groupById<T extends {readonly id: string}>(
  entries: readonly T[],
  digest: DigestFunction,
): T[][] {
  let groupCount = 1;
  while (entries.length / groupCount > maxEntriesPerPart) {
    groupCount *= 2;
  }
  const groups: T[][] = Array.from({length: groupCount}, () => []);
  for (const entry of entries) {
    const group = Number.parseInt(digest(entry.id).slice(0, 8), 16) % groupCount;
    groups[group]?.push(entry);
  }
  return groups;
}

/** Splits a document into content-addressed parts and the manifest that lists them. */
export function splitDocument(document: FleetDocument, digest: DigestFunction): SplitDocument {
  const {customers, backends, routes, ...head} = document;
  const texts = new Map<string, string>();
  const parts: ManifestPart[] = [];
  const add = (kind: ManifestPart['kind'], value: unknown): void => {
    const text = JSON.stringify(value);
    const sha256 = digest(text);
    texts.set(sha256, text);
    parts.push({kind, sha256, sizeBytes: new TextEncoder().encode(text).length});
  };
  add('head', head);
  for (const [kind, entries] of [
    ['customers', customers],
    ['backends', backends],
    ['routes', routes],
  ] as const) {
    for (const group of groupById<{readonly id: string}>(entries, digest)) {
      add(kind, group);
    }
  }
  return {manifest: {formatVersion: 1, version: document.version, parts}, texts};
}
