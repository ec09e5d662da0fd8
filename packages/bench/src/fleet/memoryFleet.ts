import {createHash} from 'node:crypto';
import {HostCore, SeededRandom} from '@godwitspring/core';
import type {HashFunction, HostCoreOptions, HostEffect, PeerMessage} from '@godwitspring/core';
import type {FleetDocument} from '@godwitspring/document';
import {EventQueue} from './eventQueue.ts';
import {MemoryHost} from './memoryHost.ts';
import {MemoryLink} from './memoryLink.ts';
import {MemoryPlatform} from './memoryPlatform.ts';
import {MemoryServer} from './memoryServer.ts';
import type {ServerBehaviour} from './memoryServer.ts';

/** How one request ended. */
export interface RequestOutcome {
  readonly name: string;
  readonly hostId: string;
  readonly customerId: string;
  readonly arrivedAtMs: number;
  readonly endedAtMs: number;
  /** Status of the answer handed to the caller; undefined for a refusal. */
  readonly status: number | undefined;
  /** Kind of the refusal; undefined for an answer. */
  readonly refusal: string | undefined;
  readonly toldOutcome: string | undefined;
}

/** One attempt that was sent to a backend server. */
export interface SentAttempt {
  readonly name: string;
  readonly hostId: string;
  readonly customerId: string;
  readonly attempt: number;
  readonly serverId: string;
  readonly atMs: number;
}

export interface MemoryFleetOptions {
  readonly hostCount: number;
  readonly document: FleetDocument;
  readonly hash: HashFunction;
  readonly seed: number;
  /** One-way delay between hosts of one data centre, in ms. Default: 0.25. */
  readonly localDelayMs: number;
  /** One-way delay between data centres, in ms. Default: 1.5. */
  readonly remoteDelayMs: number;
  /** Largest difference of a clock's rate from true time. Default: 0.0002. */
  readonly maxClockDrift: number;
  readonly server: Partial<ServerBehaviour>;
  /** Options of every core beyond its name and place. */
  readonly core: (hostId: string) => Partial<HostCoreOptions>;
  /** Called for each effect of a core, before it is carried out. */
  readonly onEffect: (hostId: string, effect: HostEffect) => void;
  /** Called for each message between hosts. */
  readonly onMessage: (fromHostId: string, message: PeerMessage, toHostId: string) => void;
}

export const DEFAULT_MEMORY_FLEET_OPTIONS = {
  localDelayMs: 0.25,
  remoteDelayMs: 1.5,
  maxClockDrift: 0.0002,
  server: {},
  core: () => ({}),
  onMessage: () => undefined,
  onEffect: () => undefined,
} as const;

type RequiredOptions = Pick<MemoryFleetOptions, 'hostCount' | 'document' | 'hash' | 'seed'>;

interface OpenRequest {
  readonly name: string;
  readonly runName: string;
  readonly customerId: string;
  readonly arrivedAtMs: number;
  readonly path: string;
}

/** Path of requests that crash each server that runs them. */
export const poisonPath = '/consultas/poison';
const poisonDownMs = 3_000;
const watchMs = 1_500;
const healthyServer: ServerBehaviour = {
  serviceMs: 10,
  failPart: 0,
  isUp: true,
  saysHealthy: true,
  slots: 2,
  maxWaiting: 8,
};
const platformName = 'platform';

export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Dozens of cores, the platform and the backend servers in one process under virtual time. */
export class MemoryFleet {
  readonly queue = new EventQueue();
  readonly hosts = new Map<string, MemoryHost>();
  readonly servers = new Map<string, MemoryServer>();
  readonly link: MemoryLink;
  readonly outcomes: RequestOutcome[] = [];
  readonly attempts: SentAttempt[] = [];
  readonly counts = new Map<string, number>();
  readonly logs: {
    hostId: string;
    event: string;
    atMs: number;
    fields: Record<string, unknown>;
  }[] = [];
  readonly platform = new MemoryPlatform();
  readonly #options: MemoryFleetOptions;
  readonly #random: SeededRandom;
  readonly #open = new Map<string, OpenRequest>();
  #nextRequestId = 1;
  #startedHosts = 0;

  constructor(options: Partial<MemoryFleetOptions> & RequiredOptions) {
    this.#options = {...DEFAULT_MEMORY_FLEET_OPTIONS, ...options};
    this.#random = new SeededRandom(options.seed);
    this.link = new MemoryLink(new SeededRandom(options.seed + 1));
    for (const backend of options.document.backends) {
      for (const {id} of backend.servers) {
        const behaviour = {
          ...healthyServer,
          slots: backend.slotsPerServer,
          ...this.#options.server,
        };
        this.servers.set(
          id,
          new MemoryServer(behaviour, (afterMs, run) => this.after(afterMs, run)),
        );
      }
    }
    this.publish(options.document);
    const names = Array.from({length: options.hostCount}, (_, index) => `host-${index + 1}`);
    this.#publishList(names);
    for (const name of names) {
      this.startHost(name);
    }
  }

  after(afterMs: number, run: () => void): void {
    this.queue.add(this.queue.nowMs + afterMs, run);
  }

  run(forMs: number): void {
    this.queue.runUntil(this.queue.nowMs + forMs);
  }

  publish(document: FleetDocument): void {
    this.platform.publish(document, sha256);
  }

  /** Lets the platform go on with what it shows now, clock included, or lets it catch up. */
  setPlatformStale(isStale: boolean): void {
    this.platform.setStale(isStale, this.queue.nowMs);
  }

  dataCentreOf(hostId: string): string {
    const {dataCentres} = this.#options.document;
    const index = Number(hostId.slice(hostId.lastIndexOf('-') + 1)) - 1;
    return dataCentres[index % dataCentres.length]?.id ?? '';
  }

  /** Starts a process at a host, which knows nothing. */
  startHost(id: string): MemoryHost {
    const {hash, seed, maxClockDrift, core} = this.#options;
    this.#startedHosts += 1;
    const driftSteps = this.#random.below(2_001) - 1_000;
    const host = new MemoryHost({
      id,
      dataCentre: this.dataCentreOf(id),
      core: new HostCore({
        selfId: id,
        dataCentre: this.dataCentreOf(id),
        hash,
        random: new SeededRandom(seed * 1_000 + this.#startedHosts),
        ...core(id),
      }),
      queue: this.queue,
      clockOffsetMs: this.#random.below(1_000_000),
      clockRate: 1 + (driftSteps / 1_000) * maxClockDrift,
      dispatch: (sender, effect) => {
        this.#dispatch(sender, effect);
      },
    });
    this.hosts.set(id, host);
    this.after(this.#random.below(50), () => {
      this.#watch(host, -1, -1);
    });
    return host;
  }

  /** Ends the process at a host without a word. */
  crashHost(id: string): void {
    this.hosts.get(id)?.crash();
  }

  /** Publishes the names of the hosts that the platform takes for live. */
  listHosts(ids: readonly string[]): void {
    this.#publishList(ids);
  }

  /** Sends a request; gives the name under which its outcome is kept. */
  request(
    hostId: string,
    customerId: string,
    {
      path = '/consultas/1',
      method = 'GET',
      budgetMs,
      idempotencyKey,
      key = `example-key-${customerId}`,
    }: {
      path?: string;
      method?: string;
      budgetMs?: number;
      idempotencyKey?: string;
      key?: string;
    } = {},
  ): string {
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const name = `r${requestId}`;
    const arrivedAtMs = this.queue.nowMs;
    const runName = idempotencyKey === undefined ? name : `${customerId}/${idempotencyKey}`;
    this.#open.set(`${hostId}/${requestId}`, {name, runName, customerId, arrivedAtMs, path});
    this.hosts.get(hostId)?.tell({
      type: 'requestArrived',
      requestId,
      host: 'any',
      path,
      method,
      keyDigest: sha256(key),
      isReplayable: true,
      budgetMs,
      idempotencyKey,
      requestDigest: sha256(`${method} ${path}`).slice(0, 32),
    });
    return name;
  }

  #publishList(ids: readonly string[]): void {
    const hosts = ids.map((id) => ({
      id,
      dataCentre: this.dataCentreOf(id),
      peerAddress: '127.0.0.1:1',
      state: 'live' as const,
    }));
    this.platform.publishHosts(hosts, this.queue.nowMs);
  }

  /** Long polls in turn, as the shell does; a change is seen at the next poll of 100 ms. */
  #watch(host: MemoryHost, listVersion: number, manifestVersion: number, waitedMs = watchMs): void {
    const pollMs = 100;
    if (!host.isUp) {
      return;
    }
    const isCut = this.link.isCut(platformName, host.id) || this.link.isCut(host.id, platformName);
    if (this.platform.isDown || isCut) {
      this.after(pollMs * 10, () => {
        this.#watch(host, listVersion, manifestVersion);
      });
      return;
    }
    const {lists, manifest, asOfMs} = this.platform.view(this.queue.nowMs);
    const newLists =
      listVersion < 0 ? lists.slice(-1) : lists.filter(({version}) => version > listVersion);
    const hasNews = newLists.length > 0 || manifest?.version !== manifestVersion;
    const askedAtMs = host.nowMs() - (hasNews ? 0 : waitedMs);
    const isDue = hasNews || waitedMs >= watchMs;
    if (isDue) {
      const last = lists.at(-1);
      for (const list of newLists.length > 0 || last === undefined ? newLists : [last]) {
        host.tell({type: 'hostListRead', list: {...list, asOfMs}, askedAtMs});
      }
      if (manifest !== undefined) {
        host.tell(
          manifest.version === manifestVersion
            ? {type: 'manifestUnchanged', version: manifestVersion, askedAtMs}
            : {type: 'manifestRead', manifest, askedAtMs},
        );
      }
    }
    this.after(pollMs, () => {
      const version = Math.max(listVersion, lists.at(-1)?.version ?? -1);
      this.#watch(host, version, manifest?.version ?? -1, isDue ? pollMs : waitedMs + pollMs);
    });
  }

  #dispatch(host: MemoryHost, effect: HostEffect): void {
    this.#options.onEffect(host.id, effect);
    switch (effect.type) {
      case 'sendToPeer':
        this.#send(host, effect.toHostId, effect.message);
        return;
      case 'readPart':
        this.#readPart(host, effect.sha256, effect.fromHostId);
        return;
      case 'startAttempt':
        this.#startAttempt(host, effect);
        return;
      case 'deliverAnswer':
        this.#deliver(host, effect.requestId, effect.attempt);
        return;
      case 'refuseRequest':
        this.#end(host, effect.requestId, undefined, effect.kind, effect.outcome);
        return;
      case 'replayAnswer':
        this.#end(host, effect.requestId, effect.answer.status, undefined, undefined);
        return;
      case 'sendProbe':
        this.#probe(host, effect.serverId);
        return;
      case 'count':
        this.#count(effect);
        return;
      case 'log':
        this.logs.push({
          hostId: host.id,
          event: effect.event,
          atMs: this.queue.nowMs,
          fields: effect.fields,
        });
        return;
      default:
        return;
    }
  }

  #count({name, tags, by}: Extract<HostEffect, {type: 'count'}>): void {
    const keys = [name, ...Object.entries(tags).map(([tag, value]) => `${name}{${tag}=${value}}`)];
    for (const key of keys) {
      this.counts.set(key, (this.counts.get(key) ?? 0) + (by ?? 1));
    }
  }

  #delayMs(from: string, to: string): number {
    const {localDelayMs, remoteDelayMs} = this.#options;
    return this.dataCentreOf(from) === this.dataCentreOf(to) ? localDelayMs : remoteDelayMs;
  }

  #send(host: MemoryHost, toHostId: string, message: PeerMessage): void {
    this.#options.onMessage(host.id, message, toHostId);
    for (const delayMs of this.link.arrivals(host.id, toHostId, this.#delayMs(host.id, toHostId))) {
      this.after(delayMs, () => {
        this.#receive(host.id, toHostId, message);
      });
    }
  }

  #receive(fromHostId: string, toHostId: string, message: PeerMessage): void {
    const host = this.hosts.get(toHostId);
    if (message.type === 'partAnswer') {
      const {sha256: digest, text} = message;
      host?.tell(
        text === undefined
          ? {type: 'partUnavailable', sha256: digest}
          : {type: 'partRead', sha256: digest, text},
      );
      return;
    }
    host?.tell({type: 'peerMessageReceived', fromHostId, message});
  }

  #readPart(host: MemoryHost, digest: string, fromHostId: string | undefined): void {
    if (fromHostId !== undefined) {
      this.#send(host, fromHostId, {type: 'partAsk', sha256: digest});
      return;
    }
    const text = this.platform.part(digest);
    const isReadable = !this.platform.isDown && !this.link.isCut(platformName, host.id);
    this.after(2, () => {
      host.tell(
        text === undefined || !isReadable
          ? {type: 'partUnavailable', sha256: digest}
          : {type: 'partRead', sha256: digest, text},
      );
    });
  }

  #startAttempt(host: MemoryHost, effect: Extract<HostEffect, {type: 'startAttempt'}>): void {
    const {requestId, attempt, serverId} = effect;
    const open = this.#open.get(`${host.id}/${requestId}`);
    const server = this.servers.get(serverId);
    if (open === undefined || server === undefined) {
      return;
    }
    const {name, runName, customerId, path} = open;
    this.attempts.push({
      name,
      hostId: host.id,
      customerId,
      attempt,
      serverId,
      atMs: this.queue.nowMs,
    });
    const delayMs = this.#options.localDelayMs;
    const isReachable = server.behaviour.isUp && !this.link.isCut(host.id, serverId);
    if (!isReachable) {
      this.after(delayMs, () => {
        host.tell({
          type: 'attemptFailed',
          requestId,
          attempt,
          failure: 'connect',
          mayHaveRun: false,
        });
      });
      return;
    }
    this.after(delayMs, () => {
      server.take(runName, ({status, saidNotRun}) => {
        this.after(delayMs, () => {
          if (status === 0) {
            const failure = 'lost';
            host.tell({type: 'attemptFailed', requestId, attempt, failure, mayHaveRun: true});
          } else if (!this.link.isCut(serverId, host.id)) {
            host.tell({type: 'attemptAnswered', requestId, attempt, status, saidNotRun});
            this.#statusByAttempt.set(`${host.id}/${requestId}/${attempt}`, status);
          }
        });
      });
      if (path === poisonPath) {
        server.crash(poisonDownMs);
      }
    });
  }

  readonly #statusByAttempt = new Map<string, number>();

  #deliver(host: MemoryHost, requestId: number, attempt: number): void {
    this.after(0, () => {
      const status = this.#statusByAttempt.get(`${host.id}/${requestId}/${attempt}`);
      const answer = {status: status ?? 0, body: new Uint8Array(0)};
      host.tell({type: 'attemptFinished', requestId, attempt, answer});
      this.#end(host, requestId, status, undefined, undefined);
    });
  }

  #probe(host: MemoryHost, serverId: string): void {
    const server = this.servers.get(serverId);
    const latencyMs = 25;
    this.after(latencyMs, () => {
      const isReachable = server?.behaviour.isUp === true && !this.link.isCut(host.id, serverId);
      host.tell({
        type: 'probeAnswered',
        serverId,
        isHealthy: isReachable && server.behaviour.saysHealthy,
        latencyMs,
      });
    });
  }

  #end(
    host: MemoryHost,
    requestId: number,
    status: number | undefined,
    refusal: string | undefined,
    toldOutcome: string | undefined,
  ): void {
    const key = `${host.id}/${requestId}`;
    const open = this.#open.get(key);
    if (open === undefined) {
      return;
    }
    this.#open.delete(key);
    const {name, customerId, arrivedAtMs} = open;
    const endedAtMs = this.queue.nowMs;
    this.outcomes.push({
      name,
      hostId: host.id,
      customerId,
      arrivedAtMs,
      endedAtMs,
      status,
      refusal,
      toldOutcome,
    });
  }
}
