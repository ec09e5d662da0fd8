import {readFile} from 'node:fs/promises';
import {SeededRandom} from '@godwitspring/core';
import {checkDocument, hostListSchema} from '@godwitspring/document';
import type {FleetDocument} from '@godwitspring/document';
import {request} from 'undici';
import {z} from 'zod';
import {DemoCaller} from './demoCaller.ts';
import {DemoTraffic} from './demoTraffic.ts';
import {FleetProcesses} from './fleetProcesses.ts';

const documentFile = 'examples/molinos.document.json';
const hostsFile = 'examples/molinos.hosts.json';
const platformAddress = '127.42.0.1:8500';
/** Longest time to wait for each step of the demonstration, in ms. */
const stepTimeoutMs = 30_000;
/** Time between two polls, in ms. */
const pollMs = 50;
const withdrawnCustomerId = 'tecnicos-sur';
const changedCustomerId = 'cafe-coban';
const drainedServerId = 'taller-agenda-1';
/** Time after which a drained server must get no more requests, in ms. */
const drainGraceMs = 2_000;

const statusSchema = z.object({configuration: z.object({version: z.number()})});
const reportSchema = z.object({
  requests: z.number(),
  keysSeen: z.number(),
  runsById: z.record(z.string(), z.number()),
});

async function wait(waitMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, waitMs));
}

/** Prints a line with the time since the start. */
function printProgress(text: string): void {
  process.stdout.write(`${(performance.now() / 1_000).toFixed(1).padStart(5)} s  ${text}\n`);
}

/** Polls a condition until it holds, and returns the time that took, in ms; throws after `limitMs`. */
async function waitUntil(
  condition: string,
  limitMs: number,
  isDone: () => Promise<boolean>,
): Promise<number> {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < limitMs) {
    try {
      if (await isDone()) {
        return Math.round(performance.now() - startedAtMs);
      }
    } catch {
      // The process does not respond yet; poll again.
    }
    await wait(pollMs);
  }
  throw new Error(`${condition}: not reached within ${limitMs} ms; see dist/demo-logs`);
}

async function getJson(url: string): Promise<unknown> {
  const {body} = await request(url);
  return body.json();
}

/**
 * The demonstration: starts a deployment, sends traffic, and makes the changes of its
 * operators while the traffic runs.
 *
 * Exits with code 1 if a response was wrong or incomplete, if a request ran twice, if a request that ran
 * was reported as not run, or if a key reached a server.
 */
class Demo {
  readonly #processes = new FleetProcesses();
  readonly #caller = new DemoCaller();
  readonly #document: FleetDocument;
  readonly #hostIps: readonly string[];
  readonly #hostIds: readonly string[];
  #version = 1;
  /** Time until all hosts refused a withdrawn key, in ms; -1 before the step. */
  keyWithdrawnAfterMs = -1;
  /** Time until a changed rate was in force on all hosts, in ms; -1 before the step. */
  configEverywhereMs = -1;
  /** Requests to the drained server after the grace time; -1 before the step. */
  requestsAfterDrain = -1;

  constructor(document: FleetDocument, hosts: readonly {id: string; peerAddress: string}[]) {
    this.#document = document;
    this.#hostIds = hosts.map(({id}) => id);
    this.#hostIps = hosts.map(({peerAddress}) => peerAddress.split(':')[0] ?? '');
  }

  async run(): Promise<number> {
    try {
      await this.#start();
      const traffic = new DemoTraffic(
        this.#caller,
        this.#document,
        this.#hostIps.map((ip) => `http://${ip}:8080`),
        new SeededRandom(42),
      );
      const trafficEnded = traffic.run();
      printProgress(
        'sending traffic: wear look-ups, bookings, part charges, photos, scans and videos',
      );
      await wait(3_000);
      await this.#withdrawKey();
      await this.#changeRate();
      await this.#drainServer();
      await wait(2_000);
      traffic.stop();
      await trafficEnded;
      return await this.#finish();
    } finally {
      await this.#processes.stopAll();
    }
  }

  /** Starts the simulated platform and servers and all hosts, and waits until every host is ready. */
  async #start(): Promise<void> {
    const files = ['--document', documentFile, '--hosts', hostsFile];
    this.#processes.start('platform', [
      'standin',
      'platform',
      '--listen',
      platformAddress,
      ...files,
    ]);
    this.#processes.start('servers', ['standin', 'backend-server', '--document', documentFile]);
    for (const id of this.#hostIds) {
      this.#processes.start(id, ['proxy', '--settings', `examples/molinos.${id}.toml`]);
    }
    printProgress(
      `started the platform, ${this.#listServers().length} servers and ${this.#hostIds.length} hosts`,
    );
    await waitUntil('readiness of all hosts', stepTimeoutMs, async () => {
      for (const ip of this.#hostIps) {
        const {statusCode} = await request(`http://${ip}:9900/-/ready`);
        if (statusCode !== 200) {
          return false;
        }
      }
      return true;
    });
    printProgress('every host is ready');
  }

  #listServers(): {id: string; origin: string}[] {
    return this.#document.backends.flatMap(({servers}) => servers);
  }

  /** Publishes the document with the next version number. */
  async #publish(reason: string): Promise<void> {
    this.#version += 1;
    const document = {...this.#document, version: this.#version, reason};
    const {statusCode, body} = await request(`http://${platformAddress}/control/document`, {
      method: 'PUT',
      body: JSON.stringify(document),
    });
    if (statusCode !== 200) {
      throw new Error(`the platform refused version ${this.#version}: ${await body.text()}`);
    }
  }

  /** Waits until every host uses the published version; returns the time that took, in ms. */
  async #waitUntilInForce(): Promise<number> {
    const version = this.#version;
    return waitUntil(`version ${version} in force everywhere`, stepTimeoutMs, async () => {
      for (const ip of this.#hostIps) {
        const status = statusSchema.parse(await getJson(`http://${ip}:9900/-/status`));
        if (status.configuration.version < version) {
          return false;
        }
      }
      return true;
    });
  }

  /** Withdraws a customer's key and waits until every host refuses it. */
  async #withdrawKey(): Promise<void> {
    const customer = this.#document.customers.find(({id}) => id === withdrawnCustomerId);
    customer?.keyDigests.splice(0);
    await this.#publish(`withdraw the key of ${withdrawnCustomerId}`);
    this.keyWithdrawnAfterMs = await waitUntil(
      'refusal of the withdrawn key',
      stepTimeoutMs,
      async () => {
        for (const ip of this.#hostIps) {
          const {statusCode, body} = await request(`http://${ip}:8080/desgaste/1`, {
            headers: {'x-api-key': `example-key-${withdrawnCustomerId}`},
          });
          await body.dump();
          if (statusCode !== 401) {
            return false;
          }
        }
        return true;
      },
    );
    printProgress(
      `key of ${withdrawnCustomerId} withdrawn: refused by every host after ${this.keyWithdrawnAfterMs} ms`,
    );
  }

  /** Raises a customer's rate and waits until it is in force on every host. */
  async #changeRate(): Promise<void> {
    const customer = this.#document.customers.find(({id}) => id === changedCustomerId);
    if (customer !== undefined) {
      customer.ratePerSecond = 20;
      customer.burstRequests = 40;
    }
    await this.#publish(`raise the rate of ${changedCustomerId} to 20/s`);
    this.configEverywhereMs = await this.#waitUntilInForce();
    printProgress(
      `rate of ${changedCustomerId} changed: in force everywhere after ${this.configEverywhereMs} ms`,
    );
  }

  /** Drains one server and counts the requests that it gets after the grace time. */
  async #drainServer(): Promise<void> {
    const server = this.#document.backends
      .flatMap(({servers}) => servers)
      .find(({id}) => id === drainedServerId);
    if (server === undefined) {
      return;
    }
    server.state = 'draining';
    await this.#publish(`drain ${drainedServerId}`);
    await wait(drainGraceMs);
    const before = await this.#readReport(server.origin);
    await wait(3_000);
    const after = await this.#readReport(server.origin);
    this.requestsAfterDrain = after.requests - before.requests;
    printProgress(
      `${drainedServerId} drained: it got ${this.requestsAfterDrain} requests after the first 2 s`,
    );
  }

  async #readReport(origin: string): Promise<z.infer<typeof reportSchema>> {
    return reportSchema.parse(await getJson(`${origin}/-/report`));
  }

  /** Compares what servers ran with what callers received, prints the results, and returns the exit code. */
  async #finish(): Promise<number> {
    const runs = new Map<string, number>();
    let keysSeen = 0;
    for (const {origin} of this.#listServers()) {
      const report = await this.#readReport(origin);
      keysSeen += report.keysSeen;
      for (const [runId, count] of Object.entries(report.runsById)) {
        runs.set(runId, (runs.get(runId) ?? 0) + count);
      }
    }
    const {stats} = this.#caller;
    // Requests that ran more than once, and requests that ran although they were reported as not run.
    const doubleRuns = [...runs.values()].filter((count) => count > 1).length;
    const falseNotRun = [...stats.reportedNotRun].filter((runId) => runs.has(runId)).length;
    await this.#caller.close();
    const {requests, answered, refused, wrongAnswers, brokenBodies} = stats;
    this.#printTable({...stats.answeredByRoute}, {...stats.refusedByKind}, keysSeen);
    const {keyWithdrawnAfterMs, configEverywhereMs} = this;
    const result = {
      requests,
      answered,
      refused,
      wrongAnswers,
      brokenBodies,
      doubleRuns,
      falseNotRun,
      keyWithdrawnAfterMs,
      configEverywhereMs,
    };
    process.stdout.write(`${JSON.stringify(result)}\n`);
    return wrongAnswers + brokenBodies + doubleRuns + falseNotRun + keysSeen === 0 ? 0 : 1;
  }

  #printTable(
    byRoute: Record<string, number>,
    byKind: Record<string, number>,
    keysSeen: number,
  ): void {
    const rows = [
      ...Object.entries(byRoute).map(([route, count]) => [`answered on ${route}`, count] as const),
      ...Object.entries(byKind).map(([kind, count]) => [`refused: ${kind}`, count] as const),
      ['keys seen by servers', keysSeen] as const,
      ['requests to the drained server', this.requestsAfterDrain] as const,
    ];
    for (const [name, count] of rows) {
      process.stdout.write(`  ${name.padEnd(36)}${String(count).padStart(8)}\n`);
    }
  }
}

const checked = checkDocument(JSON.parse(await readFile(documentFile, 'utf8')));
if (checked.isErr()) {
  throw new Error(`${documentFile} is not valid; run "godwitspring check ${documentFile}"`);
}
const {hosts} = hostListSchema.parse(JSON.parse(await readFile(hostsFile, 'utf8')));
process.exitCode = await new Demo(checked.value, hosts).run();
