import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {parse} from 'smol-toml';
import type {ValidationIssue} from './validationIssue.ts';
import {issuesFromZod} from './issuesFromZod.ts';
import {settingsSchema} from './settingsSchema.ts';
import type {HostSettings} from './settingsSchema.ts';

function parseToml(text: string): Result<unknown, ValidationIssue[]> {
  try {
    return ok(parse(text));
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    return err([{path: '(root)', value: 'text', message: `is not valid TOML: ${message}`}]);
  }
}

/** Parses and validates the settings of a host in TOML; on failure it returns every issue found. */
export function parseSettings(text: string): Result<HostSettings, ValidationIssue[]> {
  return parseToml(text).andThen((input) => {
    const parsed = settingsSchema.safeParse(input);
    return parsed.success ? ok(parsed.data) : err(issuesFromZod(parsed.error, input));
  });
}
