import {createHash} from 'node:crypto';
import {joinDocument} from '@godwitspring/document';
import type {FleetDocument} from '@godwitspring/document';
import type {Platform} from '@godwitspring/proxy';

/** The document that is published now, and the digest of its manifest. */
export interface PublishedDocument {
  readonly document: FleetDocument;
  readonly digest: string;
}

/** Reads the published document; undefined where there is none or it is broken. */
export async function readPublished(platform: Platform): Promise<PublishedDocument | undefined> {
  const manifest = await platform.watchManifest(-1, 0);
  if (manifest === undefined) {
    return undefined;
  }
  const texts = new Map<string, string>();
  for (const {sha256} of manifest.parts) {
    texts.set(sha256, await platform.readPart(sha256));
  }
  const joined = joinDocument(manifest, texts);
  const digest = createHash('sha256').update(JSON.stringify(manifest)).digest('hex');
  return joined.isOk() ? {document: joined.value, digest} : undefined;
}
