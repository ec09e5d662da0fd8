import {z} from 'zod';
import type {ValidationIssue} from '../validationIssue.ts';

/** What kind of finding it is; operators' scripts may select by it. */
const findingKindSchema = z.enum([
  // Errors.
  'unreadable',
  'syntax',
  'invalid',
  // Entries of a document that can never match.
  'shadowed-route',
  'covered-methods',
  'zero-weight',
  'unused-backend',
  // Limits of a document that contradict each other.
  'timeout-below-target',
  'burst-below-rate',
  'floor-not-met',
  'body-limit-below-route',
  'head-limit-below-route',
  // Contradictions in the settings of a host.
  'head-timeout-above-idle',
  'grace-below-announce',
  'shared-address',
  // Comparison with the version in force.
  'version-not-above',
  'changed',
  'servers-lost',
]);

/** One result of the check of a document, a host list or a settings file. */
export const findingSchema = z.strictObject({
  /** An `error` makes the file unusable; a `difference` is a change from the version in force. */
  severity: z.enum(['error', 'warning', 'difference']),
  kind: findingKindSchema,
  /** Where the finding is, as a dotted path: `routes.3.backend`. */
  path: z.string(),
  /** Line of the path in the file, from 1; absent where the path is not in the file. */
  line: z.number().int().min(1).optional(),
  /** What is wrong, or what changes. */
  message: z.string(),
  /** What to do about it; empty for a difference that needs no action. */
  correction: z.string(),
  /** True if the change can take capacity or admission from callers as soon as it is in force. */
  isUnsafe: z.boolean(),
});

export type Finding = z.infer<typeof findingSchema>;
export type FindingKind = z.infer<typeof findingKindSchema>;

/** The fields of a finding that differ from one warning to the next. */
type Warning = Pick<Finding, 'kind' | 'path' | 'message' | 'correction'> & {
  readonly isUnsafe?: boolean;
};

/** Creates a warning. `isUnsafe` is false by default. */
export function warning({isUnsafe = false, ...fields}: Warning): Finding {
  return {severity: 'warning', ...fields, isUnsafe};
}

/** Creates an error. */
export function failure(fields: Omit<Finding, 'severity' | 'isUnsafe'>): Finding {
  return {severity: 'error', ...fields, isUnsafe: false};
}

/** Converts a validation issue; its message states the correction after the last semicolon, if at all. */
export function findingFromIssue({path, value, message}: ValidationIssue): Finding {
  const splitAt = message.lastIndexOf('; ');
  const [problem, correction] =
    splitAt < 0
      ? [message, 'correct the value']
      : [message.slice(0, splitAt), message.slice(splitAt + 2)];
  return failure({kind: 'invalid', path, message: `${problem} (found ${value})`, correction});
}

/** Formats a finding on one line: position, severity, path, message and correction. */
export function formatFinding(file: string, finding: Finding): string {
  const {severity, path, line, message, correction, isUnsafe} = finding;
  const position = line === undefined ? file : `${file}:${line}`;
  const mark = isUnsafe ? `unsafe ${severity}` : severity;
  const advice = correction === '' ? '' : `; ${correction}`;
  return `${position}: ${mark}: ${path}: ${message}${advice}`;
}
