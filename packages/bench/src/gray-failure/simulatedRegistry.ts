import type {HostEvent} from '@godwitspring/core';
import type {RegistryChange} from '@godwitspring/document';
import {DEFAULT_REGISTRY_WATCH_OPTIONS} from '@godwitspring/proxy';
import type {EventQueue} from '../fleet/eventQueue.ts';

/** Collaborators of a simulated registry. */
export interface SimulatedRegistryOptions {
  readonly queue: EventQueue;
  /** Delivers an event to a host. */
  readonly deliver: (hostId: string, event: HostEvent) => void;
  /** Reads the clock of a host, in ms. */
  readonly clockMsOf: (hostId: string) => number;
}

/** A call of a host to the registry. */
interface RegistryCall {
  readonly hostId: string;
  readonly requestedAtMs: number;
  readonly requestedAtHostMs: number;
  /** Revision after which changes are watched; 0 for a read of everything. */
  readonly afterRevision: number;
  isDone: boolean;
}

/** Whether a host wants to watch the registry, and up to which revision it has read. */
interface Watcher {
  isWanted: boolean;
  isRunning: boolean;
  revision: number;
}

/** A change with the revision at which it was published. */
interface PublishedChange {
  readonly revision: number;
  readonly change: RegistryChange;
}

/** Time of a request to the registry and of its response, in ms. */
const roundTripMs = 4;
/** Time beyond that of a watch after which a host gives up a call without a response, in ms. */
const responseTimeoutMs = 600;
const {watchMs, minIntervalMs, retryMs} = DEFAULT_REGISTRY_WATCH_OPTIONS;

/** Key of the entry that a change writes or removes. */
function entryKey(change: RegistryChange): string {
  switch (change.kind) {
    case 'document':
      return 'document';
    case 'server':
      return `server ${change.server.id}`;
    case 'serverGone':
      return `server ${change.serverId}`;
    case 'dataCentreOut':
    case 'dataCentreBack':
      return `data centre ${change.dataCentre}`;
  }
}

/**
 * The registry of a simulated fleet, with the calls that each host's registry watch makes.
 *
 * It can be down, refuse some hosts, or leave the calls of some hosts without a response.
 */
export class SimulatedRegistry {
  /** False while the registry refuses every host. */
  isUp = true;
  /** Hosts that the registry refuses while it serves the others. */
  readonly refusedHostIds = new Set<string>();
  /** Hosts whose calls get no response. */
  readonly silentHostIds = new Set<string>();
  /** Times at which a host turned to the registry, in order. */
  readonly turns: {readonly hostId: string; readonly atMs: number}[] = [];
  readonly #options: SimulatedRegistryOptions;
  readonly #watchers = new Map<string, Watcher>();
  readonly #waitingCalls = new Set<RegistryCall>();
  readonly #history: PublishedChange[] = [];
  #revision = 1;

  constructor(options: SimulatedRegistryOptions) {
    this.#options = options;
  }

  /** Revision of the newest change. */
  get revision(): number {
    return this.#revision;
  }

  /** Hosts that watch the registry. */
  get watchingHostIds(): string[] {
    return [...this.#watchers].filter(([, {isWanted}]) => isWanted).map(([hostId]) => hostId);
  }

  /** Sets what the registry holds before the first host starts. */
  setInitial(changes: readonly RegistryChange[]): void {
    this.#record(changes);
  }

  /** Publishes changes at the next revision, and answers the watches that wait for one. */
  publish(changes: readonly RegistryChange[]): void {
    this.#revision += 1;
    this.#record(changes);
    const waiting = [...this.#waitingCalls];
    this.#waitingCalls.clear();
    for (const call of waiting) {
      this.#after(roundTripMs, () => {
        this.#answer(call);
      });
    }
  }

  /** Starts or stops the watch of a host that has the registry's contents up to a revision. */
  setWatched(hostId: string, isWanted: boolean, afterRevision: number): void {
    const watcher = this.#watchers.get(hostId) ?? {isWanted, isRunning: false, revision: 0};
    this.#watchers.set(hostId, watcher);
    watcher.isWanted = isWanted;
    watcher.revision = Math.max(watcher.revision, afterRevision);
    if (!isWanted) {
      return;
    }
    this.turns.push({hostId, atMs: this.#options.queue.nowMs});
    if (!watcher.isRunning) {
      this.#call(hostId, watcher);
    }
  }

  /** Forgets the watch of a host whose process ended. */
  forget(hostId: string): void {
    const watcher = this.#watchers.get(hostId);
    if (watcher !== undefined) {
      watcher.isWanted = false;
      this.#watchers.delete(hostId);
    }
  }

  #record(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      this.#history.push({revision: this.#revision, change});
    }
  }

  #call(hostId: string, watcher: Watcher): void {
    watcher.isRunning = watcher.isWanted;
    if (!watcher.isWanted) {
      return;
    }
    const {queue, clockMsOf} = this.#options;
    const afterRevision = watcher.revision;
    const call: RegistryCall = {
      hostId,
      requestedAtMs: queue.nowMs,
      requestedAtHostMs: clockMsOf(hostId),
      afterRevision,
      isDone: false,
    };
    const waitMs = afterRevision === 0 ? 0 : watchMs;
    this.#after(waitMs + responseTimeoutMs, () => {
      this.#fail(call, 'no response');
    });
    if (afterRevision === 0 || afterRevision < this.#revision || this.#isRefused(hostId)) {
      this.#after(roundTripMs, () => {
        this.#answer(call);
      });
      return;
    }
    this.#waitingCalls.add(call);
    this.#after(watchMs, () => {
      if (this.#waitingCalls.delete(call)) {
        this.#answer(call);
      }
    });
  }

  #isRefused(hostId: string): boolean {
    return !this.isUp || this.refusedHostIds.has(hostId);
  }

  #answer(call: RegistryCall): void {
    const {hostId, afterRevision, requestedAtMs, requestedAtHostMs} = call;
    if (this.silentHostIds.has(hostId) || call.isDone) {
      return;
    }
    if (this.#isRefused(hostId)) {
      this.#fail(call, 'refused');
      return;
    }
    call.isDone = true;
    const isWhole = afterRevision === 0;
    const changes = isWhole ? this.#contents() : this.#changesAfter(afterRevision);
    const hasWaited = !isWhole && changes.length === 0;
    const watcher = this.#watchers.get(hostId);
    if (watcher !== undefined) {
      watcher.revision = Math.max(watcher.revision, this.#revision);
    }
    this.#options.deliver(hostId, {
      type: 'registryRead',
      isWhole,
      epoch: 0,
      revision: this.#revision,
      changes,
      asOfMs: requestedAtHostMs + (hasWaited ? watchMs : 0),
    });
    this.#callAgain(call, requestedAtMs + minIntervalMs);
  }

  #fail(call: RegistryCall, reason: string): void {
    if (call.isDone) {
      return;
    }
    call.isDone = true;
    this.#waitingCalls.delete(call);
    this.#options.deliver(call.hostId, {type: 'registryUnreadable', reason});
    this.#callAgain(call, this.#options.queue.nowMs + retryMs);
  }

  #callAgain({hostId}: RegistryCall, atMs: number): void {
    const {queue} = this.#options;
    const watcher = this.#watchers.get(hostId);
    if (watcher !== undefined) {
      queue.schedule(Math.max(queue.nowMs, atMs), () => {
        if (this.#watchers.get(hostId) === watcher) {
          this.#call(hostId, watcher);
        }
      });
    }
  }

  #changesAfter(revision: number): RegistryChange[] {
    return this.#history
      .filter((published) => published.revision > revision)
      .map(({change}) => change);
  }

  /** The newest change of each entry that the registry holds. */
  #contents(): RegistryChange[] {
    const newest = new Map(this.#history.map(({change}) => [entryKey(change), change]));
    return [...newest.values()].filter(
      ({kind}) => kind !== 'serverGone' && kind !== 'dataCentreBack',
    );
  }

  #after(afterMs: number, run: () => void): void {
    const {queue} = this.#options;
    queue.schedule(queue.nowMs + afterMs, run);
  }
}
