import {checkDocument, hostListSchema, parseSettings} from '@godwitspring/document';
import type {ValidationIssue} from '@godwitspring/document';

/** Parses JSON; returns an issue where the text is not JSON. */
function parseJson(text: string): {value: unknown} | ValidationIssue {
  try {
    return {value: JSON.parse(text) as unknown};
  } catch (cause) {
    const message = `is not JSON: ${cause instanceof Error ? cause.message : String(cause)}`;
    return {path: '(root)', value: 'text', message};
  }
}

function isHostList(value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'hosts' in value;
}

/**
 * Checks one file and returns every issue found.
 *
 * A `.toml` file is checked as settings of a host; JSON with a `hosts` field as a host list, and any other
 * JSON as a document. `text` is undefined where the file cannot be read.
 */
export function checkFile(file: string, text: string | undefined): readonly ValidationIssue[] {
  if (text === undefined) {
    return [
      {path: '(file)', value: file, message: 'cannot be read; check its name and permissions'},
    ];
  }
  if (file.endsWith('.toml')) {
    const parsed = parseSettings(text);
    return parsed.isErr() ? parsed.error : [];
  }
  const parsed = parseJson(text);
  if ('path' in parsed) {
    return [parsed];
  }
  if (isHostList(parsed.value)) {
    const list = hostListSchema.safeParse(parsed.value);
    return list.success
      ? []
      : list.error.issues.map(({path, message}) => ({
          path: path.map(String).join('.'),
          value: 'host list',
          message,
        }));
  }
  const checked = checkDocument(parsed.value);
  return checked.isErr() ? checked.error : [];
}
