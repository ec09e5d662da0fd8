import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';

/** Flags with which the deploy file starts the program. */
const nodeFlags = [
  '--single-threaded-gc',
  '--v8-pool-size=1',
  '--max-semi-space-size=1',
  '--max-old-space-size=120',
];
const readyTimeoutMs = 20_000;
/** Time from SIGTERM within which a process has to end, in ms: its grace time and some more for a busy machine. */
const stopTimeoutMs = 5_000;
const pollMs = 50;
/** Ports of a host. */
export const hostPorts = {callers: 8_080, readiness: 8_081, peers: 7_000, internal: 9_900} as const;

/** Settings of a host's process. */
export interface HostProcessOptions {
  readonly ip: string;
  /** Folder with the bundled programs, for settings and logs. */
  readonly folder: string;
  readonly storeAddress: string;
  readonly seedIps: readonly string[];
  /** Start of the addresses that the host cannot reach. Default: none. */
  readonly cutPrefix?: string;
}

/** One platform host in a process of its own. */
export class HostProcess {
  readonly ip: string;
  readonly #options: HostProcessOptions;
  #child: ChildProcess | undefined;
  #whenExited: Promise<void> = Promise.resolve();

  constructor(options: HostProcessOptions) {
    this.ip = options.ip;
    this.#options = options;
  }

  /** Starts the process, whose earlier one has ended; `isFirstStart` as the whole fleet starts. */
  start(isFirstStart: boolean): void {
    const {ip, folder, cutPrefix} = this.#options;
    const settingsFile = join(folder, `${ip}.conf`);
    writeFileSync(settingsFile, this.#settings(isFirstStart));
    const log = openSync(this.#logFile, 'a');
    const preload = cutPrefix === undefined ? [] : ['--require', join(folder, 'cut.cjs')];
    const child = spawn(
      process.execPath,
      [...nodeFlags, ...preload, join(folder, 'host.cjs'), 'platform-host'],
      {
        env: {
          ...process.env,
          NODE_OPTIONS: '',
          GODWITSPRING_BOOT: settingsFile,
          RESPONSE_ENDS_CUT_PREFIX: cutPrefix ?? '',
        },
        stdio: ['ignore', log, log],
      },
    );
    closeSync(log);
    this.#child = child;
    this.#whenExited = new Promise((resolve) => {
      child.once('exit', () => {
        resolve();
      });
    });
  }

  async waitUntilReady(): Promise<void> {
    const endsAtMs = performance.now() + readyTimeoutMs;
    while (performance.now() < endsAtMs) {
      if (await this.#isReady()) {
        return;
      }
      await wait(pollMs);
    }
    throw new Error(`host ${this.ip} was not ready within ${readyTimeoutMs} ms`);
  }

  /** Sends a signal and waits for the end of the process; false where it had to be killed after a planned stop. */
  async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<boolean> {
    const child = this.#child;
    if (child?.exitCode !== null || child.signalCode !== null) {
      return true;
    }
    child.kill(signal);
    const overdue = setTimeout(() => {
      child.kill('SIGKILL');
    }, stopTimeoutMs);
    await this.#whenExited;
    clearTimeout(overdue);
    // `signalCode` changes while the process ends.
    return signal === 'SIGKILL' || (child.signalCode as string | null) !== 'SIGKILL';
  }

  /** IP number of the host that relays the attempts of this one, by its log; undefined for none. */
  relayIp(): string | undefined {
    const log = readFileSync(this.#logFile, 'utf8');
    const changes = [...log.matchAll(/"event":"servers\.relay"(?:,"relayHostId":"([\d.]+):)?/g)];
    return changes.at(-1)?.[1];
  }

  /** Value of a counter of the host, over all its tags. */
  async counter(name: string): Promise<number> {
    const metrics = await (await fetch(`http://${this.ip}:${hostPorts.internal}/metrics`)).text();
    let sum = 0;
    for (const line of metrics.split('\n')) {
      const [series = '', value = ''] = line.split(' ');
      if (series.split('{')[0] === name) {
        sum += Number(value);
      }
    }
    return sum;
  }

  get #logFile(): string {
    return join(this.#options.folder, `${this.ip}.log`);
  }

  async #isReady(): Promise<boolean> {
    try {
      const url = `http://${this.ip}:${hostPorts.readiness}/api/ready`;
      return (await fetch(url, {signal: AbortSignal.timeout(500)})).status === 200;
    } catch {
      // The process does not listen yet.
      return false;
    }
  }

  #settings(isFirstStart: boolean): string {
    const {ip, storeAddress, seedIps} = this.#options;
    const {callers, readiness, peers, internal} = hostPorts;
    return [
      `nodeName=${ip}`,
      `ip=${ip}`,
      'zone=z-1',
      'zones.z-1=1',
      `bind.edgeAddress=${ip}:${callers}`,
      `bind.readiness=${ip}:${readiness}`,
      `bind.admin=${ip}:${peers}`,
      `internalPortRange=${internal},${internal + 10}`,
      `platform.address=${storeAddress}`,
      `seedNodes=${seedIps.map((seedIp) => `${seedIp}:${peers}`).join(',')}`,
      `bootstrap=${isFirstStart}`,
      'limits.memoryMb=350',
      'limits.maxFds=4100',
      'bounds=grace=2s,retryBudgetRatio=1,retryBudgetSlack=500',
    ].join('\n');
  }
}
