import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HostProcess, hostPorts} from './hostProcess.ts';
import {PlatformStore} from './platformStore.ts';
import {RunningTrials} from './runningTrials.ts';
import {hostName, sendTrial} from './sendTrial.ts';
import type {ReceivedResponse, Trial, Way} from './trial.ts';
import {TrialServer, healthPath} from './trialServer.ts';

const repositoryRoot = fileURLToPath(new URL('../../../../', import.meta.url));
/** Loopback network of all fleets. */
const network = '127.81';
const serverPort = 8_090;
const storePort = 8_600;
/** Servers; a host avoids one for 9 s after a broken response, so that a run needs many. */
const serverCount = 200;
/** Requests that one server processes at a time. */
const serverSlots = 6;
/** Hosts that serve callers from the start to the end of a run. */
const steadyHosts = 3;
/** Numbers of the host that reaches no server, of the one that is stopped and of the one that is killed. */
const cutOffHost = 4;
const stoppedHost = 5;
const killedHost = 6;
const hostNumbers = [1, 2, 3, cutOffHost, stoppedHost, killedHost];

/** Host that serves the callers of a way; the others are served by the steady hosts in turn. */
const fixedHostByWay: Readonly<Partial<Record<Way, number>>> = {
  relay: cutOffHost,
  relayStopped: cutOffHost,
  relayKilled: cutOffHost,
  plannedStop: stoppedHost,
  hostKilled: killedHost,
};

/** Timeout of the routes of responses that end, in ms: sound ones are to meet it on a busy machine neither. */
const timeoutMs = 10_000;
/** Timeout of the routes of responses that never end, in ms: longer than a planned stop takes. */
const stalledTimeoutMs = 3_000;
/** Timeout of the route whose responses meet it while they run, in ms. */
const shortTimeoutMs = 700;
/** Target latency of the route whose late attempts are hedged, in ms. */
const targetLatencyMs = 500;

/** Values of the platform's store: the configuration of the operators and the entries of the servers. */
function storeValues(serverIp: (number: number) => string): Map<string, unknown> {
  const route = (name: string, fields: object): object => ({
    host: hostName,
    prefix: `/${name}/`,
    service: 's',
    public: true,
    maxAttempts: 2,
    timeout: `${timeoutMs}ms`,
    targetLatency: `${targetLatencyMs}ms`,
    ...fields,
  });
  const stalled = {timeout: `${stalledTimeoutMs}ms`};
  const values = new Map<string, unknown>([
    [
      'op/config',
      {
        version: '00000001',
        routes: {
          'r-upload': route('upload', {routeType: 'upload'}),
          'r-upload-stalled': route('upload-stalled', {routeType: 'upload', ...stalled}),
          'r-safe': route('safe', {routeType: 'safe'}),
          'r-safe-stalled': route('safe-stalled', {routeType: 'safe', ...stalled}),
          'r-short': route('short', {routeType: 'upload', timeout: `${shortTimeoutMs}ms`}),
        },
        services: {s: {healthPath, maxConns: 1_000}},
        limits: {
          maxHeaderBytes: 16_384,
          maxBodyBytes: 67_108_864,
          headerTimeout: '3000ms',
          idleTimeout: '15000ms',
        },
      },
    ],
  ]);
  for (let number = 1; number <= serverCount; number += 1) {
    values.set(`servers/i-${number}`, {
      service: 's',
      address: `${serverIp(number)}:${serverPort}`,
      zone: 'z-1',
      version: 'v1',
      capacity: serverSlots,
      state: 'ready',
      warmupLeft: '0ms',
      sequence: 1,
    });
  }
  return values;
}

/** Writes the program of the platform, and what cuts a host off from its servers, as one file each. */
function bundlePrograms(folder: string): void {
  const entries = [
    {outFile: join(folder, 'host.cjs'), entry: 'platform/src/main.ts'},
    {
      outFile: join(folder, 'cut.cjs'),
      entry: 'packages/bench/src/response-ends/cutOffFromServers.ts',
    },
  ];
  const script = `
    const {bundle} = await import('./scripts/bundle.mjs');
    for (const entry of ${JSON.stringify(entries)}) {
      await bundle(entry);
    }
  `;
  execFileSync(process.execPath, ['--input-type=module', '-e', script], {
    cwd: repositoryRoot,
    env: {...process.env, NODE_OPTIONS: ''},
  });
}

/** Settings of a fleet. */
export interface TrialFleetOptions {
  /** First of three subnets of `127.81`, for the store, the hosts and the servers. Default: 0. */
  readonly firstSubnet: number;
}

export const DEFAULT_TRIAL_FLEET_OPTIONS = {firstSubnet: 0} as const;

/** Whole platform hosts in processes of their own, on loopback, before servers on plain sockets in this process. */
export class TrialFleet {
  readonly trials = new RunningTrials();
  readonly #folder = mkdtempSync(join(tmpdir(), 'godwitspring-response-ends-'));
  readonly #hosts = new Map<number, HostProcess>();
  readonly #servers: TrialServer[] = [];
  readonly #store: PlatformStore;
  readonly #firstSubnet: number;
  #overdueStops = 0;

  constructor(options: Partial<TrialFleetOptions> = {}) {
    this.#firstSubnet = {...DEFAULT_TRIAL_FLEET_OPTIONS, ...options}.firstSubnet;
    this.#store = new PlatformStore(storeValues((number) => this.#serverIp(number)));
  }

  /** Folder of the settings and logs of the hosts. */
  get folder(): string {
    return this.#folder;
  }

  /** Starts servers and hosts, and waits until every host is ready. */
  async start(): Promise<void> {
    bundlePrograms(this.#folder);
    const storeIp = `${this.#subnet(0)}.1`;
    await this.#store.start(storeIp, storePort);
    for (let number = 1; number <= serverCount; number += 1) {
      const server = new TrialServer({
        id: `i-${number}`,
        ip: this.#serverIp(number),
        port: serverPort,
        trials: this.trials,
      });
      this.#servers.push(server);
      await server.start();
    }
    for (const number of hostNumbers) {
      const host = new HostProcess({
        ip: this.#hostIp(number),
        folder: this.#folder,
        storeAddress: `${storeIp}:${storePort}`,
        seedIps: [1, 2, 3].map((seed) => this.#hostIp(seed)),
        ...(number === cutOffHost ? {cutPrefix: `${this.#subnet(2)}.`} : {}),
      });
      this.#hosts.set(number, host);
      host.start(true);
    }
    await Promise.all([...this.#hosts.values()].map((host) => host.waitUntilReady()));
  }

  /** Ends all processes and servers; keeps the logs where `keepsLogs`. */
  async stop({keepsLogs = false} = {}): Promise<void> {
    await Promise.all([...this.#hosts.values()].map((host) => host.end('SIGKILL')));
    for (const server of this.#servers) {
      server.stop();
    }
    this.#store.stop();
    if (!keepsLogs) {
      rmSync(this.#folder, {recursive: true});
    }
  }

  /** Sends the request of a trial to the host of its way. */
  async send(trial: Trial, number: number): Promise<ReceivedResponse> {
    const ip = this.#hostIp(fixedHostByWay[trial.way] ?? 1 + (number % steadyHosts));
    return sendTrial(trial, ip, hostPorts.callers);
  }

  /** Ends the host of a way while its requests run, and starts it again. */
  async restart(way: Way): Promise<void> {
    const host = this.#hosts.get(this.#hostToEnd(way));
    const isPlanned = way === 'plannedStop' || way === 'relayStopped';
    const hasEnded = await host?.end(isPlanned ? 'SIGTERM' : 'SIGKILL');
    this.#overdueStops += hasEnded === false ? 1 : 0;
    host?.start(false);
    await host?.waitUntilReady();
  }

  #hostToEnd(way: Way): number {
    const relayIp = this.#hosts.get(cutOffHost)?.relayIp();
    return way === 'relayStopped' || way === 'relayKilled'
      ? Number(relayIp?.split('.').at(-1))
      : (fixedHostByWay[way] ?? 0);
  }

  /** Planned stops after which the process did not end by itself. */
  get overdueStops(): number {
    return this.#overdueStops;
  }

  /** Attempts that hosts relayed for the host that is cut off, since each of them started. */
  async relayedAttempts(): Promise<number> {
    let relayed = 0;
    for (const host of this.#hosts.values()) {
      relayed += await host.counter('godwitspring_relay_forwarded_total');
    }
    return relayed;
  }

  #subnet(offset: number): string {
    return `${network}.${this.#firstSubnet + offset}`;
  }

  #hostIp(number: number): string {
    return `${this.#subnet(1)}.${number}`;
  }

  #serverIp(number: number): string {
    return `${this.#subnet(2)}.${number}`;
  }
}
