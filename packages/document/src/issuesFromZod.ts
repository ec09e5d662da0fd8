import type {z} from 'zod';
import type {ValidationIssue} from './validationIssue.ts';

/** Length above which a rendered value is shortened, in characters. */
const maxValueLength = 120;

/** The value at a path of the input; undefined if there is none. */
function valueAt(input: unknown, path: readonly PropertyKey[]): unknown {
  let current = input;
  for (const key of path) {
    if (typeof current !== 'object' || current === null) {
      return undefined;
    }
    current = (current as Record<PropertyKey, unknown>)[key];
  }
  return current;
}

/** Renders a value of the input as JSON, shortened to fit on a line. */
export function renderValue(value: unknown): string {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
}

/** Converts the issues of a failed zod parse, adding the value found at each path. */
export function issuesFromZod(error: z.ZodError, input: unknown): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  for (const zodIssue of error.issues) {
    issues.push({
      path: zodIssue.path.length === 0 ? '(root)' : zodIssue.path.map(String).join('.'),
      value: renderValue(valueAt(input, zodIssue.path)),
      message: zodIssue.message,
    });
  }
  return issues;
}
