import type {HashFunction, HostEffect} from '@godwitspring/core';
import type {FleetDocument} from '@godwitspring/document';
import {MemoryFleet} from '../fleet/memoryFleet.ts';
import {testDocument} from '../fleet/testDocument.ts';

/** Customers of a cell: each sends more than its rate. */
export const cellCustomers = [
  {id: 'large', ratePerSecond: 30, burstRequests: 15},
  {id: 'small', ratePerSecond: 2, burstRequests: 4},
  {id: 'tight', ratePerSecond: 20, burstRequests: 2},
  {id: 'leaver', ratePerSecond: 20, burstRequests: 20},
  {id: 'probe', ratePerSecond: 100, burstRequests: 100},
];

export const hostCount = 9;
export const keepMs = 10_000;
export const settleMs = 22_000;

/** A fleet under one cell's faults, with the changes that its operators make. */
export class CellContext {
  readonly fleet: MemoryFleet;
  /** Host on which the fault falls. */
  victimId = 'host-2';
  /** Moment at which the withdrawn key was first refused by some host; undefined before. */
  withdrawnAtMs: number | undefined;
  drainedAtMs: number | undefined;
  readonly #listed = new Set<string>();
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
      this.#listed.add(`host-${index}`);
    }
    this.#document = testDocument({customers: cellCustomers, serverCount: 12, floorServers: 8});
    this.fleet = new MemoryFleet({
      hostCount,
      document: structuredClone(this.#document),
      hash,
      seed,
      maxClockDrift,
      core: () => ({keeper: {keepMs}}),
      onEffect: (hostId, effect) => {
        for (const listener of this.#listeners) {
          listener(hostId, effect);
        }
      },
    });
  }

  listen(listener: (hostId: string, effect: HostEffect) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Hosts that the platform lists in the end. */
  get listed(): ReadonlySet<string> {
    return this.#listed;
  }

  /** Publishes the list of hosts after one came or went. */
  changeList({without, with: added}: {without?: string; with?: string}): void {
    if (without !== undefined) {
      this.#listed.delete(without);
    }
    if (added !== undefined) {
      this.#listed.add(added);
    }
    this.fleet.listHosts([...this.#listed]);
  }

  /** Publishes the document after a change to it. */
  change(edit: (document: FleetDocument) => void): void {
    edit(this.#document);
    this.#version += 1;
    this.#document.version = this.#version;
    this.#document.reason = `version ${this.#version}`;
    this.fleet.publish(structuredClone(this.#document));
  }

  get document(): FleetDocument {
    return this.#document;
  }

  /** Moment at which any host has the version that is published now. */
  onceInForce(then: () => void): void {
    const version = this.#version;
    const stop = this.listen((_hostId, effect) => {
      if (effect.type === 'log' && effect.event === 'configuration.inForce') {
        if (Number(effect.fields.version) >= version) {
          stop();
          then();
        }
      }
    });
  }

  withdrawKey(): void {
    this.change(({customers}) => {
      customers.find(({id}) => id === 'leaver')?.keyDigests.splice(0);
    });
    this.onceInForce(() => {
      this.withdrawnAtMs ??= this.fleet.queue.nowMs;
    });
  }

  drain(serverId: string): void {
    this.change(({backends}) => {
      const server = backends[0]?.servers.find(({id}) => id === serverId);
      if (server !== undefined) {
        server.state = 'draining';
      }
    });
    this.onceInForce(() => {
      this.drainedAtMs ??= this.fleet.queue.nowMs;
    });
  }
}
