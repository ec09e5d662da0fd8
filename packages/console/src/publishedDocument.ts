import {createHash} from 'node:crypto';
import {joinDocument} from '@godwitspring/document';
import type {FleetDocument} from '@godwitspring/document';
import type {Platform} from '@godwitspring/proxy';

/** The document published at present, and the SHA-256 digest of its manifest. */
export interface PublishedDocument {
  readonly document: FleetDocument;
  readonly digest: string;
}

/** Reads the published document; undefined where there is none or it is invalid. Rejects where the platform fails. */
export async function readPublishedDocument(
  platform: Platform,
): Promise<PublishedDocument | undefined> {
  const manifest = await platform.watchManifest(-1, 0);
  if (manifest === undefined) {
    return undefined;
  }
  const texts = new Map<string, string>();
  for (const {sha256} of manifest.parts) {
    texts.set(sha256, await platform.readPart(sha256));
  }
  const joinResult = joinDocument(manifest, texts);
  const digest = createHash('sha256').update(JSON.stringify(manifest)).digest('hex');
  return joinResult.isOk() ? {document: joinResult.value, digest} : undefined;
}
