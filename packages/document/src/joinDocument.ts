import {err} from 'neverthrow';
import type {Result} from 'neverthrow';
import {checkDocument} from './checkDocument.ts';
import type {FleetDocument} from './documentSchema.ts';
import type {ValidationIssue} from './validationIssue.ts';
import type {Manifest} from './publishedSchemas.ts';

/** Parses JSON; returns undefined for invalid text. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Assembles a document from its parts and validates it as a whole; the reverse of `splitDocument`.
 *
 * Every part that the manifest lists must be in `texts`, already verified against its digest.
 */
export function joinDocument(
  manifest: Manifest,
  texts: ReadonlyMap<string, string>,
): Result<FleetDocument, ValidationIssue[]> {
  let head: object = {};
  const lists = {
    customers: [] as unknown[],
    backends: [] as unknown[],
    routes: [] as unknown[],
  };
  for (const {kind, sha256} of manifest.parts) {
    const value = parseJson(texts.get(sha256) ?? '');
    if (kind === 'head' && typeof value === 'object' && value !== null) {
      head = value;
      continue;
    }
    if (kind !== 'head' && Array.isArray(value)) {
      lists[kind].push(...(value as unknown[]));
      continue;
    }
    return err([
      {
        path: `parts.${sha256}`,
        value: kind,
        message: 'part is missing or not valid JSON of its kind; publish it again',
      },
    ]);
  }
  const checked = checkDocument({...head, ...lists});
  if (checked.isOk() && checked.value.version !== manifest.version) {
    const message = `manifest has version ${manifest.version}; publish the manifest and the parts of the same version`;
    return err([{path: 'version', value: String(checked.value.version), message}]);
  }
  return checked;
}
