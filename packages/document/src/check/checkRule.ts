import type {Finding} from './finding.ts';

/** A rule that a file should keep beside being valid. */
export interface CheckRule<Subject> {
  /** Yields one finding for each place where the rule is broken. */
  check(subject: Subject): Iterable<Finding>;
}

/** Applies rules in turn and returns all their findings. */
export function applyRules<Subject>(
  rules: readonly CheckRule<Subject>[],
  subject: Subject,
): Finding[] {
  return rules.flatMap((rule) => [...rule.check(subject)]);
}
