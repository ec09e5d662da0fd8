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
const readyTimeoutMs = 30_000;
const pollMs = 50;
const withdrawnCustomerId = 'tecnicos-sur';
const changedCustomerId = 'cafe-coban';
const drainedServerId = 'taller-agenda-1';
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

function say(text: string): void {
  process.stdout.write(`${(performance.now() / 1_000).toFixed(1).padStart(5)} s  ${text}\n`);
}

async function waitUntil(
  what: string,
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
      // Not there yet: ask again.
    }
    await wait(pollMs);
  }
  throw new Error(`${what} did not happen within ${limitMs} ms; see dist/demo-logs`);
}

async function getJson(url: string): Promise<unknown> {
  const {body} = await request(url);
  return body.json();
}

/** The demonstration: one deployment, its callers, and changes by its operators while traffic runs. */
class Demo {
  readonly #processes = new FleetProcesses();
  readonly #caller = new DemoCaller();
  readonly #document: FleetDocument;
  readonly #hostIps: readonly string[];
  readonly #hostIds: readonly string[];
  #version = 1;
  keyWithdrawnAfterMs = -1;
  configEverywhereMs = -1;
  workAfterDrain = -1;

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
      const ended = traffic.run();
      say('traffic runs: wear look-ups, bookings, part charges, photographs, scans, videos');
      await wait(3_000);
      await this.#withdrawKey();
      await this.#changeRate();
      await this.#drainServer();
      await wait(2_000);
      traffic.stop();
      await ended;
      return await this.#finish();
    } finally {
      await this.#processes.stopAll();
    }
  }

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
    say(
      `started the platform, ${this.#servers().length} servers and ${this.#hostIds.length} hosts`,
    );
    await waitUntil('readiness of all hosts', readyTimeoutMs, async () => {
      for (const ip of this.#hostIps) {
        const {statusCode} = await request(`http://${ip}:9900/-/ready`);
        if (statusCode !== 200) {
          return false;
        }
      }
      return true;
    });
    say('every host is ready');
  }

  #servers(): {id: string; origin: string}[] {
    return this.#document.backends.flatMap(({servers}) => servers);
  }

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

  async #untilInForce(): Promise<number> {
    const version = this.#version;
    return waitUntil(`version ${version} in force everywhere`, readyTimeoutMs, async () => {
      for (const ip of this.#hostIps) {
        const status = statusSchema.parse(await getJson(`http://${ip}:9900/-/status`));
        if (status.configuration.version < version) {
          return false;
        }
      }
      return true;
    });
  }

  async #withdrawKey(): Promise<void> {
    const customer = this.#document.customers.find(({id}) => id === withdrawnCustomerId);
    customer?.keyDigests.splice(0);
    await this.#publish(`withdraw the key of ${withdrawnCustomerId}`);
    this.keyWithdrawnAfterMs = await waitUntil(
      'refusal of the withdrawn key',
      readyTimeoutMs,
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
    say(
      `key of ${withdrawnCustomerId} withdrawn: refused by every host after ${this.keyWithdrawnAfterMs} ms`,
    );
  }

  async #changeRate(): Promise<void> {
    const customer = this.#document.customers.find(({id}) => id === changedCustomerId);
    if (customer !== undefined) {
      customer.ratePerSecond = 20;
      customer.burstRequests = 40;
    }
    await this.#publish(`raise the rate of ${changedCustomerId} to 20/s`);
    this.configEverywhereMs = await this.#untilInForce();
    say(
      `rate of ${changedCustomerId} changed: in force everywhere after ${this.configEverywhereMs} ms`,
    );
  }

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
    const before = await this.#report(server.origin);
    await wait(3_000);
    const after = await this.#report(server.origin);
    this.workAfterDrain = after.requests - before.requests;
    say(`${drainedServerId} drained: ${this.workAfterDrain} requests to it from 2 s after on`);
  }

  async #report(origin: string): Promise<z.infer<typeof reportSchema>> {
    return reportSchema.parse(await getJson(`${origin}/-/report`));
  }

  async #finish(): Promise<number> {
    const runs = new Map<string, number>();
    let keysSeen = 0;
    for (const {origin} of this.#servers()) {
      const report = await this.#report(origin);
      keysSeen += report.keysSeen;
      for (const [runId, count] of Object.entries(report.runsById)) {
        runs.set(runId, (runs.get(runId) ?? 0) + count);
      }
    }
    const {tally} = this.#caller;
    const doubleRuns = [...runs.values()].filter((count) => count > 1).length;
    const falseNotRun = [...tally.toldNotRun].filter((runId) => runs.has(runId)).length;
    await this.#caller.close();
    const {requests, answered, refused, wrongAnswers, brokenBodies} = tally;
    this.#printTable({...tally.answeredByRoute}, {...tally.refusedByKind}, keysSeen);
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
      ['requests to the drained server', this.workAfterDrain] as const,
    ];
    for (const [name, count] of rows) {
      process.stdout.write(`  ${name.padEnd(36)}${String(count).padStart(8)}\n`);
    }
  }
}

const checked = checkDocument(JSON.parse(await readFile(documentFile, 'utf8')));
if (checked.isErr()) {
  throw new Error(`${documentFile} has faults; run "godwitspring check ${documentFile}"`);
}
const {hosts} = hostListSchema.parse(JSON.parse(await readFile(hostsFile, 'utf8')));
process.exitCode = await new Demo(checked.value, hosts).run();
