import type {HashFunction, HostEffect} from '@godwitspring/core';
import type {FleetDocument} from '@godwitspring/document';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {testDocument} from '../fleet/testDocument.ts';

/**
 * Customers of a cell. `large`, `small` and `tight` send more than their rates; `leaver` loses its API key
 * under one of the faults; `probe` sends only single requests, such as payments, poison requests
 * and the checks at the end.
 */
export const cellCustomers = [
  {id: 'large', ratePerSecond: 30, burstRequests: 15},
  {id: 'small', ratePerSecond: 2, burstRequests: 4},
  {id: 'tight', ratePerSecond: 20, burstRequests: 2},
  {id: 'leaver', ratePerSecond: 20, burstRequests: 20},
  {id: 'probe', ratePerSecond: 100, burstRequests: 100},
];

/** Number of hosts of a cell. */
export const hostCount = 9;
/** Time for which an idempotency key is retained, in ms. */
export const idempotencyRetentionMs = 10_000;
/** Time that a fleet gets before the load starts, in ms. */
export const startupMs = 22_000;

/** Simulated fleet of one cell, with the operations that faults and steps carry out on it. */
export class CellContext {
  readonly fleet: SimulatedFleet;
  /** Host at which the faults are injected. */
  targetHostId = 'host-2';
  /** Time at which the withdrawal of the key first came into force at some host; undefined before. */
  keyWithdrawnAtMs: number | undefined;
  /** Time at which the draining of a server first came into force at some host; undefined before. */
  drainedAtMs: number | undefined;
  readonly #listedHostIds = new Set<string>();
  readonly #listeners = new Set<(hostId: string, effect: HostEffect) => void>();
  readonly #document: FleetDocument;
  #version = 1;

  constructor({
    hash,
    seed,
    maxClockDrift,
  }: {
    hash: HashFunction;
    seed: number;
    maxClockDrift: number;
  }) {
    for (let index = 1; index <= hostCount; index += 1) {
      this.#listedHostIds.add(`host-${index}`);
    }
    this.#document = testDocument({customers: cellCustomers, serverCount: 12, floorServers: 8});
    this.fleet = new SimulatedFleet({
      hostCount,
      document: structuredClone(this.#document),
      hash,
      seed,
      maxClockDrift,
      core: () => ({idempotencyReplica: {keepMs: idempotencyRetentionMs}}),
      onEffect: (hostId, effect) => {
        for (const listener of this.#listeners) {
          listener(hostId, effect);
        }
      },
    });
  }

  /** Calls the listener for each effect of a host; returns a function that removes it. */
  listen(listener: (hostId: string, effect: HostEffect) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Hosts in the newest host list, whether published to the hosts or held back by a stale platform. */
  get listedHostIds(): ReadonlySet<string> {
    return this.#listedHostIds;
  }

  /** Publishes a host list with one host removed, one added, or both. */
  updateHostList({without, with: added}: {without?: string; with?: string}): void {
    if (without !== undefined) {
      this.#listedHostIds.delete(without);
    }
    if (added !== undefined) {
      this.#listedHostIds.add(added);
    }
    this.fleet.publishLiveHosts([...this.#listedHostIds]);
  }

  /** Edits the document and publishes it as a new version. */
  updateDocument(edit: (document: FleetDocument) => void): void {
    edit(this.#document);
    this.#version += 1;
    this.#document.version = this.#version;
    this.#document.reason = `version ${this.#version}`;
    this.fleet.publish(structuredClone(this.#document));
  }

  /** Newest version of the document. */
  get document(): FleetDocument {
    return this.#document;
  }

  /** Calls back once any host has put the newest version, or a later one, into force. */
  runOnceInForce(callback: () => void): void {
    const version = this.#version;
    const stop = this.listen((_hostId, effect) => {
      if (effect.type === 'log' && effect.event === 'configuration.inForce') {
        if (Number(effect.fields.version) >= version) {
          stop();
          callback();
        }
      }
    });
  }

  /** Removes the API keys of the customer `leaver`. */
  withdrawKey(): void {
    this.updateDocument(({customers}) => {
      customers.find(({id}) => id === 'leaver')?.keyDigests.splice(0);
    });
    this.runOnceInForce(() => {
      this.keyWithdrawnAtMs ??= this.fleet.queue.nowMs;
    });
  }

  /** Marks a backend server as draining, so that it gets no new requests. */
  drain(serverId: string): void {
    this.updateDocument(({backends}) => {
      const server = backends[0]?.servers.find(({id}) => id === serverId);
      if (server !== undefined) {
        server.state = 'draining';
      }
    });
    this.runOnceInForce(() => {
      this.drainedAtMs ??= this.fleet.queue.nowMs;
    });
  }
}
