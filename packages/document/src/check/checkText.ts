import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {parse, TomlError} from 'smol-toml';
import {z} from 'zod';
import {checkDocument} from '../checkDocument.ts';
import {documentSchema} from '../documentSchema.ts';
import type {FleetDocument} from '../documentSchema.ts';
import {issuesFromZod} from '../issuesFromZod.ts';
import {parseSettings} from '../parseSettings.ts';
import {hostListSchema} from '../publishedSchemas.ts';
import {applyRules} from './checkRule.ts';
import {differencesBetween} from './differencesBetween.ts';
import {failure, findingFromIssue, warning} from './finding.ts';
import type {Finding} from './finding.ts';
import {locateJson} from './locateJson.ts';
import {locateToml} from './locateToml.ts';
import {documentRules, settingsRules} from './rules.ts';
import {withoutSecrets} from './withoutSecrets.ts';

/**
 * Schema of a document that another one is compared with: a published one, or one without secrets as hosts return
 * it, whose key digests are cut.
 */
const comparedDocumentSchema = documentSchema.extend({
  customers: z.array(
    documentSchema.shape.customers.element.extend({keyDigests: z.array(z.string()).default([])}),
  ),
});

/** Path of findings that concern a whole file. */
const rootPath = '(root)';

/** Adds to each finding the line of its path, or of the nearest enclosing part that is in the file. */
function withLines(
  findings: readonly Finding[],
  lineByPath: ReadonlyMap<string, number>,
): Finding[] {
  return findings.map((finding) => {
    let {path} = finding;
    while (path.includes('.') && !lineByPath.has(path)) {
      path = path.slice(0, path.lastIndexOf('.'));
    }
    const line = lineByPath.get(path);
    return line === undefined ? finding : {...finding, line};
  });
}

/** Parses JSON; on failure it returns a finding with the line of the error. */
function parseJson(text: string): Result<unknown, Finding> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    const line = locateJson(text).errorLine;
    return err(
      failure({
        kind: 'syntax',
        path: rootPath,
        line,
        message: `is not valid JSON${line === undefined ? '' : ` (first error in line ${line})`}`,
        correction: 'correct the syntax there',
      }),
    );
  }
}

/** Finding for a text that is not TOML; undefined where it is. */
function tomlSyntaxError(text: string): Finding | undefined {
  try {
    parse(text);
    return undefined;
  } catch (cause) {
    const [reason = ''] = (cause instanceof Error ? cause.message : String(cause)).split('\n');
    const line = cause instanceof TomlError ? cause.line : undefined;
    const message = `is not valid TOML: ${reason}`;
    return failure({
      kind: 'syntax',
      path: rootPath,
      line,
      message,
      correction: 'correct the syntax there',
    });
  }
}

function checkSettings(text: string): Finding[] {
  const syntaxError = tomlSyntaxError(text);
  if (syntaxError !== undefined) {
    return [syntaxError];
  }
  const parsed = parseSettings(text);
  const findings = parsed.isErr()
    ? parsed.error.map(findingFromIssue)
    : applyRules(settingsRules, parsed.value);
  return withLines(findings, locateToml(text));
}

function isHostList(value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'hosts' in value;
}

/** Differences from the version in force, and a version number that hosts would ignore. */
function compare(before: FleetDocument, after: FleetDocument): Finding[] {
  const differences = differencesBetween(withoutSecrets(before), withoutSecrets(after));
  if (after.version > before.version || differences.length === 0) {
    return differences;
  }
  const ignored = warning({
    kind: 'version-not-above',
    path: 'version',
    message: `hosts ignore version ${after.version}: version ${before.version} is in force`,
    correction: `set version to ${before.version + 1}`,
  });
  return [ignored, ...differences];
}

function checkParsedDocument(input: unknown, against: FleetDocument | undefined): Finding[] {
  const checked = checkDocument(input);
  if (checked.isErr()) {
    return checked.error.map(findingFromIssue);
  }
  return [
    ...applyRules(documentRules, checked.value),
    ...(against === undefined ? [] : compare(against, checked.value)),
  ];
}

/** Parses the document in force, as published or as a host returns it; on failure it returns every finding. */
export function parseComparedDocument(text: string): Result<FleetDocument, Finding[]> {
  const parsed = parseJson(text);
  if (parsed.isErr()) {
    return err([parsed.error]);
  }
  const document = comparedDocumentSchema.safeParse(parsed.value);
  if (document.success) {
    return ok(document.data);
  }
  const findings = issuesFromZod(document.error, parsed.value).map(findingFromIssue);
  return err(withLines(findings, locateJson(text).lineByPath));
}

/**
 * Checks the text of a file and returns all findings.
 *
 * A `.toml` file is checked as settings of a host; JSON with a `hosts` field as a host list, and any other JSON as
 * a document, which is also compared with `against` where that is given.
 */
export function checkText(file: string, text: string, against?: FleetDocument): Finding[] {
  if (file.endsWith('.toml')) {
    return checkSettings(text);
  }
  const parsed = parseJson(text);
  if (parsed.isErr()) {
    return [parsed.error];
  }
  const {lineByPath} = locateJson(text);
  if (isHostList(parsed.value)) {
    const list = hostListSchema.safeParse(parsed.value);
    const issues = list.success ? [] : issuesFromZod(list.error, parsed.value);
    return withLines(issues.map(findingFromIssue), lineByPath);
  }
  return withLines(checkParsedDocument(parsed.value, against), lineByPath);
}
