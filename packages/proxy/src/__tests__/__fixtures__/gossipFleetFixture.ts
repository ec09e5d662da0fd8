import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {DEFAULT_FLEET_BOUNDS} from '@godwitspring/core';
import type {RegistryPosition} from '@godwitspring/core';
import {documentSchema} from '@godwitspring/document';
import type {DiscoveredServer, FleetDocument, RegistryChange} from '@godwitspring/document';
import {pino} from 'pino';
import {dialTcp} from '../../backends/serverConnectionPool.ts';
import type {Dial} from '../../backends/serverConnectionPool.ts';
import {DefaultDialect} from '../../dialect/defaultDialect.ts';
import {GossipHost} from '../../host/gossipHost.ts';
import {loadXxHash} from '../../host/xxHash.ts';
import type {RegistryReading, RegistrySource} from '../../registry/registrySource.ts';
import {SystemTimerService} from '../../timer/systemTimerService.ts';

const dataCentre = 'dc-1';
const callerPort = 8080;
const peerPort = 7000;

/** Registry in memory, which never changes. */
class FixedRegistry implements RegistrySource {
  readonly #changes: readonly RegistryChange[];
  #timeout: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(changes: readonly RegistryChange[]) {
    this.#changes = changes;
  }

  readAll(): Promise<RegistryReading> {
    return Promise.resolve({epoch: 0, revision: 1, changes: this.#changes});
  }

  async watch(_after: RegistryPosition, waitMs: number): Promise<RegistryReading> {
    // A watch that is stopped never returns, as otherwise the next one would keep the process alive.
    await new Promise((resolve) => {
      if (!this.#isStopped) {
        this.#timeout = setTimeout(resolve, waitMs);
      }
    });
    return {epoch: 0, revision: 1, changes: []};
  }

  stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timeout);
    return Promise.resolve();
  }
}

/** Handles the requests that reach a backend server. */
export type ServerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Size of the fleet and timing of its shutdown. */
export interface GossipFleetOptions {
  readonly hosts: number;
  readonly servers: number;
  readonly graceMs: number;
  /** Starts to open a socket of a host, by its number, to a server or a relaying host. */
  readonly dial: (hostNumber: number, ...target: Parameters<Dial>) => ReturnType<Dial>;
}

/**
 * Proxy hosts on loopback that find each other by gossip, in front of backend servers whose behaviour each test sets.
 * All routes are open to all: `/lookup` is idempotent, `/payment` and `/booking` are not; `/booking` has a target latency
 * far below its timeout.
 */
export class GossipFleetFixture {
  readonly hosts: GossipHost[] = [];
  /** Handles the requests that reach the backend servers; `serverNumber` counts from 1. */
  onRequest: (serverNumber: number, ...exchange: Parameters<ServerHandler>) => void = (
    _serverNumber,
    _request,
    response,
  ) => {
    response.end('ok');
  };
  readonly #subnet: string;
  readonly #options: GossipFleetOptions;
  readonly #servers: Server[] = [];
  readonly #timers = new SystemTimerService();

  /** Creates a fleet on the addresses of a loopback network, such as `127.53`. */
  constructor(subnet: string, options: Partial<GossipFleetOptions> = {}) {
    this.#subnet = subnet;
    const dial: GossipFleetOptions['dial'] = (_hostNumber, ...target) => dialTcp(...target);
    this.#options = {hosts: 1, servers: 1, graceMs: 2_000, dial, ...options};
  }

  hostIp(hostNumber: number): string {
    return `${this.#subnet}.1.${hostNumber}`;
  }

  origin(hostNumber: number): string {
    return `http://${this.hostIp(hostNumber)}:${callerPort}`;
  }

  serverIp(serverNumber: number): string {
    return `${this.#subnet}.2.${serverNumber}`;
  }

  /** Starts servers and hosts, and waits until every host is ready. */
  async start(): Promise<void> {
    for (let number = 1; number <= this.#options.servers; number += 1) {
      const server = createServer((request, response) => {
        this.onRequest(number, request, response);
      });
      this.#servers.push(server);
      await new Promise<void>((resolve) =>
        server.listen(callerPort, this.serverIp(number), resolve),
      );
    }
    const hash = await loadXxHash();
    for (let number = 1; number <= this.#options.hosts; number += 1) {
      const ip = this.hostIp(number);
      const host = new GossipHost({
        addresses: {
          callers: `${ip}:${callerPort}`,
          peers: `${ip}:${peerPort}`,
          readiness: `${ip}:8081`,
          admin: `${ip}:9900`,
          relay: `${ip}:7001`,
        },
        dataCentre,
        seedIds: [`${this.hostIp(1)}:${peerPort}`],
        isFirstStart: false,
        bounds: DEFAULT_FLEET_BOUNDS,
        readinessPath: '/ready',
        graceMs: this.#options.graceMs,
        dialect: new DefaultDialect({keyHeader: 'x-api-key'}),
        source: new FixedRegistry(this.#changes()),
        timers: this.#timers,
        bornMs: Date.now() + number,
        capacityCores: 1,
        wallClockMs: () => Date.now(),
        dial: (...target) => this.#options.dial(number, ...target),
        log: pino({level: 'silent'}),
        hash,
        seed: number,
      });
      this.hosts.push(host);
      await host.start();
    }
    for (let number = 1; number <= this.#options.hosts; number += 1) {
      await this.#waitUntilReady(number);
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.stop()));
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    this.#timers.stop();
  }

  #changes(): RegistryChange[] {
    const changes: RegistryChange[] = [{kind: 'document', document: this.#document()}];
    for (let number = 1; number <= this.#options.servers; number += 1) {
      changes.push({kind: 'server', server: this.#registryEntry(number)});
    }
    return changes;
  }

  #registryEntry(number: number): DiscoveredServer {
    return {
      id: `server-${number}`,
      backendId: 'core',
      origin: `http://${this.serverIp(number)}:${callerPort}`,
      dataCentre,
      slots: 4,
      state: 'in-service',
      coldForMs: 0,
      revision: 1,
    };
  }

  #document(): FleetDocument {
    const route = (id: string, idempotent: string, fields: object = {}): object => ({
      id,
      pathPrefix: `/${id}`,
      backend: 'core',
      openToAll: true,
      idempotent,
      timeoutMs: 2_000,
      ...fields,
    });
    return documentSchema.parse({
      formatVersion: 1,
      version: 1,
      author: 'test',
      reason: 'first',
      madeAt: '2026-01-01T00:00:00Z',
      dataCentres: [{id: dataCentre}],
      customers: [],
      backends: [{id: 'core', servers: [], isDiscovered: true}],
      routes: [
        route('lookup', 'yes'),
        route('payment', 'no'),
        route('booking', 'no', {targetLatencyMs: 200, timeoutMs: 10_000}),
      ],
    });
  }

  async #waitUntilReady(hostNumber: number): Promise<void> {
    const isReady = async (): Promise<boolean> =>
      (await fetch(`http://${this.hostIp(hostNumber)}:8081/ready`)).status === 200;
    while (!(await isReady())) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }
}
