import type {Row} from '../scenarios/table.ts';
import {outcomeClasses} from './classifyOutcome.ts';
import type {OutcomeClass} from './classifyOutcome.ts';
import type {TrialOutcome} from './trialRunner.ts';

/** Classes of outcomes that nothing allows. */
export const violationClasses: readonly OutcomeClass[] = ['falselyDeclared', 'falselyClosed'];
/** Classes of outcomes that say nothing about a host. */
const ordinaryClasses: readonly OutcomeClass[] = ['delivered', 'broken', 'refused'];

/** Class of a size, by the bounds that the code names. */
export function sizeClassOf(bytes: number): string {
  if (bytes <= 16_384) {
    return '<=16384';
  }
  return bytes <= 65_536 ? '<=65536' : bytes <= 262_144 ? '<=262144' : '>262144';
}

/** Counts outcomes by the values of some fields, with a column for each class. */
function count(
  outcomes: readonly TrialOutcome[],
  fieldsOf: (outcome: TrialOutcome) => Record<string, string>,
): Row[] {
  const rows = new Map<string, Record<string, string | number>>();
  for (const outcome of outcomes) {
    const fields = fieldsOf(outcome);
    const key = Object.values(fields).join(' ');
    const row = rows.get(key) ?? {
      ...fields,
      ...Object.fromEntries(outcomeClasses.map((name) => [name, 0])),
    };
    row[outcome.outcome] = Number(row[outcome.outcome]) + 1;
    rows.set(key, row);
  }
  return [...rows].sort(([one], [other]) => (one < other ? -1 : 1)).map(([, row]) => row);
}

/** Table by framing, size, end and way, of the outcomes that are neither delivered, visibly broken nor refused. */
export function tabulateFindings(outcomes: readonly TrialOutcome[]): Row[] {
  const findings = outcomes.filter(({outcome}) => !ordinaryClasses.includes(outcome));
  return count(findings, ({trial}) => ({
    framing: trial.framing,
    size: sizeClassOf(trial.bodyBytes),
    end: trial.end,
    way: trial.way,
  }));
}

/** Totals by one field of the trials, such as its framing. */
export function tabulateTotals(
  outcomes: readonly TrialOutcome[],
  field: 'framing' | 'end' | 'way',
): Row[] {
  return count(outcomes, ({trial}) => ({[field]: trial[field]}));
}

/** Sound responses that were not delivered, by framing, size, way and what their callers got instead. */
export function tabulateLosses(outcomes: readonly TrialOutcome[]): Row[] {
  const rows = new Map<string, Row>();
  for (const {outcome, trial, received} of outcomes) {
    if (outcome !== 'lost') {
      continue;
    }
    const kind = /"kind":"([a-z-]+)"/.exec(received.refusal)?.[1] ?? received.ending;
    const fields = {
      framing: trial.framing,
      size: sizeClassOf(trial.bodyBytes),
      way: trial.way,
      reason: `${received.status} ${kind}`,
    };
    const key = Object.values(fields).join(' ');
    rows.set(key, {...fields, lost: Number(rows.get(key)?.['lost'] ?? 0) + 1});
  }
  return [...rows].sort(([one], [other]) => (one < other ? -1 : 1)).map(([, row]) => row);
}

/** One line of JSON for each violation and each lost response, with its seed and what was sent and received. */
export function describeFindings(outcomes: readonly TrialOutcome[]): string[] {
  return outcomes
    .filter(({outcome}) => violationClasses.includes(outcome) || outcome === 'lost')
    .map(({outcome, trial, received, attempts}) =>
      JSON.stringify({outcome, trial, received, attempts}),
    );
}
