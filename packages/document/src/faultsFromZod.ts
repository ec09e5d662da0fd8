import type {z} from 'zod';
import type {Fault} from './fault.ts';

const maxValueLength = 120;

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

/** Renders a value found in the input, shortened to fit on a line. */
export function renderValue(value: unknown): string {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
}

/** Turns the issues of a failed zod parse into faults with path, value and mend. */
export function faultsFromZod(error: z.ZodError, input: unknown): Fault[] {
  const faults: Fault[] = [];
  for (const issue of error.issues) {
    faults.push({
      path: issue.path.length === 0 ? '(root)' : issue.path.map(String).join('.'),
      value: renderValue(valueAt(input, issue.path)),
      message: issue.message,
    });
  }
  return faults;
}
