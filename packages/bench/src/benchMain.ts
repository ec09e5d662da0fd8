/** Runs measurements of the fleet against baselines and prints their tables and, at the end, all rows as JSON. */
import {loadXxHash} from '@godwitspring/proxy';
import {measureResponseEnds} from './response-ends/measureResponseEnds.ts';
import {measureDataCentre} from './scenarios/dataCentreScenario.ts';
import {measureDetection, measureNoise} from './scenarios/ejectionScenario.ts';
import {fairnessCases, measureFairness} from './scenarios/fairnessScenario.ts';
import {measureLatency} from './scenarios/latencyScenario.ts';
import {fixedSplitPolicy, fleetPolicy, serverPolicies} from './scenarios/policies.ts';
import {measurePlacement, placementLoads} from './scenarios/placementScenario.ts';
import {disturbances, measureRates} from './scenarios/rateScenario.ts';
import {measureScale} from './scenarios/scaleScenario.ts';
import {renderTable} from './scenarios/table.ts';
import type {Row} from './scenarios/table.ts';
import {describeFailure, runSoak} from './soak/runSoak.ts';

/** Number of hosts of a simulated fleet, except where a scenario varies it. */
const hostCount = 48;
/** Number of hosts in the scenario `noise`, which simulates a whole hour. */
const noiseHostCount = 12;

/** Seeds of the scenario `soak` where `--seed=N` names none. */
const soakSeeds = Array.from({length: 10}, (_, index) => index + 1);
const seedOption = '--seed=';
/** Requests of each run of the scenario `response-ends` where `--requests=N` does not say how many. */
const defaultRequests = 400;
const requestsOption = '--requests=';
const args = process.argv.slice(2);

/** Numbers that an option gives, in order. */
function numbersOf(option: string): number[] {
  return args
    .filter((arg) => arg.startsWith(option))
    .map((arg) => Number(arg.slice(option.length)));
}

/** Scenarios by name; `npm run bench -- NAME…` runs only those named. */
const scenarios: Readonly<Record<string, () => Promise<Row[]>>> = {
  scale: async () => {
    const hash = await loadXxHash();
    const rows: Row[] = [];
    for (const load of [0, 12]) {
      for (const hosts of [6, 12, 24, 48, 96]) {
        if (hosts * load <= 2_304) {
          const {row, byType} = measureScale(hosts, load, hash);
          rows.push(row);
          process.stdout.write(`  ${hosts} hosts at ${load}/s: ${JSON.stringify(byType)}\n`);
        }
      }
    }
    return rows;
  },
  rates: async () => {
    const hash = await loadXxHash();
    const rows: Row[] = [];
    for (const disturbance of disturbances) {
      for (const policy of [fleetPolicy, fixedSplitPolicy]) {
        rows.push(measureRates(hostCount, policy, disturbance, hash));
      }
    }
    return rows;
  },
  fairness: async () => {
    const hash = await loadXxHash();
    const rows: Row[] = [];
    for (const fairnessCase of fairnessCases) {
      for (const policy of serverPolicies) {
        rows.push(measureFairness(hostCount, policy, fairnessCase, hash));
      }
    }
    return rows;
  },
  detection: async () => {
    const hash = await loadXxHash();
    return serverPolicies
      .filter(({name}) => !name.includes('retries') && !name.includes('round'))
      .map((policy) => measureDetection(hostCount, policy, hash));
  },
  noise: async () => {
    const hash = await loadXxHash();
    return [false, true].map((withCuts) =>
      measureNoise(noiseHostCount, withCuts, fleetPolicy, hash),
    );
  },
  dataCentre: async () => {
    const hash = await loadXxHash();
    return [false, true].map((isAbrupt) => measureDataCentre(hostCount, isAbrupt, hash));
  },
  latency: () => measureLatency(),
  soak: async () => {
    const hash = await loadXxHash();
    const seeds = numbersOf(seedOption);
    return (seeds.length > 0 ? seeds : soakSeeds).map((seed) => {
      const result = runSoak(hash, seed);
      const {servers, requests, served, faults, violations} = result;
      if (violations.length > 0) {
        process.stdout.write(`${describeFailure(result)}\n`);
        process.exitCode = 1;
      }
      return {seed, servers, requests, served, faults: faults.length, violated: violations.length};
    });
  },
  'response-ends': async () => {
    const [requests = defaultRequests] = numbersOf(requestsOption);
    const seeds = numbersOf(seedOption);
    const rows: Row[] = [];
    for (const seed of seeds.length > 0 ? seeds : [1]) {
      rows.push(...(await measureResponseEnds({seed, requests})));
    }
    return rows;
  },
  placement: () => Promise.resolve(placementLoads.map((load) => measurePlacement(load))),
};

const selectedNames = args.filter((arg) => !arg.startsWith('--'));
const results: Record<string, Row[]> = {};
for (const [name, run] of Object.entries(scenarios)) {
  if (selectedNames.length > 0 && !selectedNames.includes(name)) {
    continue;
  }
  const startedAtMs = performance.now();
  process.stdout.write(`\n${name}\n`);
  const rows = await run();
  results[name] = rows;
  const seconds = Math.round((performance.now() - startedAtMs) / 1_000);
  process.stdout.write(`${renderTable(rows)}\n  (${seconds} s)\n`);
}
process.stdout.write(`${JSON.stringify(results)}\n`);
