import type {FleetDocument} from '../documentSchema.ts';
import {applyRules} from './checkRule.ts';
import {differencesBetween} from './differencesBetween.ts';
import {documentRules} from './rules.ts';

/**
 * Lists changes that are valid but risky, so that the operator must confirm them before the document is created:
 * the messages of all unsafe findings.
 *
 * These are: a backend with fewer servers in service than its floor, the loss of a large part of its servers at
 * once, and a customer's burst of less than a tenth of a second of the customer's rate.
 */
export function findUnsafeSteps(before: FleetDocument, after: FleetDocument): string[] {
  const findings = [...applyRules(documentRules, after), ...differencesBetween(before, after)];
  return findings.filter(({isUnsafe}) => isUnsafe).map(({message}) => message);
}
