import {renderTable} from '../scenarios/table.ts';
import type {Row} from '../scenarios/table.ts';
import {TrialRunner} from './trialRunner.ts';
import type {RunTrialsOptions} from './trialRunner.ts';
import {
  describeFindings,
  tabulateFindings,
  tabulateLosses,
  tabulateTotals,
  violationClasses,
} from './tabulateOutcomes.ts';
import {TrialFleet} from './trialFleet.ts';

/** Runs trials before a fleet of its own, prints the tables and findings, and returns the totals by way. */
export async function measureResponseEnds(options: RunTrialsOptions): Promise<Row[]> {
  const fleet = new TrialFleet();
  const print = (text: string): void => {
    process.stdout.write(`${text}\n`);
  };
  try {
    await fleet.start();
    const {outcomes, relayedAttempts} = await new TrialRunner(fleet).run(options);
    const hedged = outcomes.filter(
      ({trial, attempts}) => trial.way === 'hedge' && attempts.length > 1,
    ).length;
    print(`  seed ${options.seed}, ${outcomes.length} requests, logs in ${fleet.folder}`);
    print(`  ${relayedAttempts} attempts relayed, ${hedged} requests hedged`);
    print(`  ${fleet.overdueStops} planned stops after which the process had to be killed`);
    print(`${renderTable(tabulateFindings(outcomes))}\n`);
    print(`${renderTable(tabulateLosses(outcomes))}\n`);
    for (const field of ['framing', 'end', 'way'] as const) {
      print(`${renderTable(tabulateTotals(outcomes, field))}\n`);
    }
    for (const line of describeFindings(outcomes)) {
      print(line);
    }
    if (outcomes.some(({outcome}) => violationClasses.includes(outcome))) {
      process.exitCode = 1;
    }
    return tabulateTotals(outcomes, 'way').map((row) => ({seed: options.seed, ...row}));
  } finally {
    await fleet.stop({keepsLogs: process.env['KEEP_LOGS'] !== undefined});
  }
}
