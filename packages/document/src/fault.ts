/** One fault found in a document or in settings. */
export interface Fault {
  /** Where the fault is, as a dotted path: `routes.3.backend`. */
  readonly path: string;
  /** The value found there, as JSON. */
  readonly value: string;
  /** What is wrong and how to mend it. */
  readonly message: string;
}

/** Renders a fault on one line. */
export function formatFault(fault: Fault): string {
  return `${fault.path}: ${fault.message} (found ${fault.value})`;
}
