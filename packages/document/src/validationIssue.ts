/** One validation issue found in a document or in settings. */
export interface ValidationIssue {
  /** Where the issue is, as a dotted path: `routes.3.backend`. */
  readonly path: string;
  /** The value found there, as JSON. */
  readonly value: string;
  /** What is wrong and how to correct it. */
  readonly message: string;
}

/** Formats an issue on one line. */
export function formatIssue(issue: ValidationIssue): string {
  return `${issue.path}: ${issue.message} (found ${issue.value})`;
}
