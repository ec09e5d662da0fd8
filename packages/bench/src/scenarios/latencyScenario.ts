import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {existsSync} from 'node:fs';
import {LoadGenerator} from '@godwitspring/standins';
import {build as buildHistogram} from 'hdr-histogram-js';
import {request} from 'undici';
import {round} from './table.ts';
import type {Row} from './table.ts';

/** Executable of the build; without one the command runs from source. */
const builtBinary = 'dist/godwitspring';
/** Prefix of the loopback addresses of the example hosts and platform. */
const addressPrefix = '127.41';
const readyTimeoutMs = 40_000;
const pollMs = 200;
const microsPerMs = 1_000;

/** Starts the `godwitspring` command as a child process. */
function startProcess(args: readonly string[]): ChildProcess {
  const isBuilt = existsSync(builtBinary);
  const command = isBuilt ? builtBinary : process.execPath;
  const prefix = isBuilt ? [] : ['--import', 'tsx', 'packages/cli/src/main.ts'];
  return spawn(command, [...prefix, ...args], {stdio: 'ignore'});
}

/** Polls a URL until it responds with status 200. */
async function waitUntilReady(url: string): Promise<void> {
  const endsAtMs = performance.now() + readyTimeoutMs;
  while (performance.now() < endsAtMs) {
    const status = await request(url).then(
      ({statusCode}) => statusCode,
      () => 0,
    );
    if (status === 200) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, pollMs));
  }
  throw new Error(`${url} was not ready within ${readyTimeoutMs} ms`);
}

/** CPU time that a process has used, in ms, from `/proc`. */
async function cpuMs(pid: number | undefined): Promise<number> {
  const {readFile} = await import('node:fs/promises');
  const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(' ');
  const ticksPerSecond = 100;
  return ((Number(fields[13]) + Number(fields[14])) * 1_000) / ticksPerSecond;
}

/** Latencies and failures of one load. */
interface LoadMeasurement {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failed: number;
  readonly sent: number;
}

/** Sends requests to a target at a mean rate. */
async function measureLoad(
  target: string,
  ratePerSecond: number,
  seconds: number,
): Promise<LoadMeasurement> {
  const caller = new LoadGenerator({
    targets: [target],
    key: 'example-key-estudio-belgrano',
    method: 'GET',
    path: '/consultas/1',
    ratePerSecond,
    durationMs: seconds * 1_000,
    bodyBytes: 0,
    seed: 5,
  });
  const report = await caller.run();
  const histogram = buildHistogram();
  for (const latencyMs of report.latenciesMs) {
    histogram.recordValue(Math.round(latencyMs * microsPerMs));
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50) / microsPerMs,
    p99Ms: histogram.getValueAtPercentile(99) / microsPerMs,
    failed: report.sent - (report.byStatus['200'] ?? 0),
    sent: report.sent,
  };
}

/**
 * Measures the latency that one real proxy process adds over loopback, compared with direct calls to a backend
 * server in the same run. Starts six proxies and the test doubles of the platform and the backend servers.
 */
export async function measureLatency(): Promise<Row[]> {
  const documentFile = 'examples/tasas.document.json';
  const children = [
    startProcess([
      'standin',
      'platform',
      '--listen',
      `${addressPrefix}.0.1:8500`,
      '--document',
      documentFile,
      '--hosts',
      'examples/tasas.hosts.json',
    ]),
    startProcess(['standin', 'backend-server', '--document', documentFile, '--service-ms', '1']),
  ];
  const hosts = [1, 2, 3, 4, 5, 6].map((number) =>
    startProcess(['proxy', '--settings', `examples/tasas.host-${number}.toml`]),
  );
  try {
    await waitUntilReady(`http://${addressPrefix}.1.1:9900/-/ready`);
    await measureLoad('http://127.31.1.1:8080', 50, 2);
    await measureLoad(`http://${addressPrefix}.1.1:8080`, 50, 2);
    const rows: Row[] = [];
    for (const rate of [50, 100, 150]) {
      const direct = await measureLoad('http://127.31.1.1:8080', rate, 10);
      const cpuBefore = await cpuMs(hosts[0]?.pid);
      const through = await measureLoad(`http://${addressPrefix}.1.1:8080`, rate, 10);
      const cpu = (await cpuMs(hosts[0]?.pid)) - cpuBefore;
      rows.push({
        'requests/s': rate,
        'direct p50 ms': round(direct.p50Ms),
        'direct p99 ms': round(direct.p99Ms),
        'through p50 ms': round(through.p50Ms),
        'through p99 ms': round(through.p99Ms),
        'added p50 ms': round(through.p50Ms - direct.p50Ms),
        'added p99 ms': round(through.p99Ms - direct.p99Ms),
        failed: direct.failed + through.failed,
        'host CPU %': round(cpu / 100, 1),
      });
    }
    return rows;
  } finally {
    for (const child of [...children, ...hosts]) {
      child.kill('SIGKILL');
    }
  }
}
