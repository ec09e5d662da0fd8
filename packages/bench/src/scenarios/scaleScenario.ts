import type {HashFunction, PeerMessage} from '@godwitspring/core';
import {PeerCodec} from '@godwitspring/peer';
import {MemoryFleet} from '../fleet/memoryFleet.ts';
import {steadyLoad} from '../fleet/steadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

const settleMs = 16_000;
const measureMs = 10_000;
const customerCount = 64;
/** Bytes that WebSocket framing adds to a small message to a server. */
const frameBytes = 6;

/** Counts the bytes of every message as its link's codec would send them. */
class ByteMeter {
  bytes = 0;
  messages = 0;
  readonly byType = new Map<string, number>();
  /** Bytes sent and received by each host. */
  readonly byHost = new Map<string, number>();
  readonly #codecs = new Map<string, PeerCodec>();

  note(from: string, message: PeerMessage, to: string): void {
    const link = `${from}>${to}`;
    let codec = this.#codecs.get(link);
    if (codec === undefined) {
      codec = new PeerCodec();
      this.#codecs.set(link, codec);
    }
    const size = codec.encode(message).length + frameBytes;
    this.bytes += size;
    this.messages += 1;
    for (const id of [from, to]) {
      this.byHost.set(id, (this.byHost.get(id) ?? 0) + size);
    }
    this.byType.set(message.type, (this.byType.get(message.type) ?? 0) + size);
  }

  reset(): void {
    this.bytes = 0;
    this.messages = 0;
    this.byType.clear();
    this.byHost.clear();
  }
}

/** What one host spends on control at a size of the fleet and a load per host. */
export function measureScale(
  hostCount: number,
  requestsPerHostPerSecond: number,
  hash: HashFunction,
): {row: Row; byType: Record<string, number>} {
  const customers = Array.from({length: customerCount}, (_, index) => ({
    id: `customer-${index}`,
    ratePerSecond: 1_000,
    burstRequests: 1_000,
  }));
  const serverCount = Math.max(30, hostCount * 2);
  const document = testDocument({customers, serverCount, floorServers: 20});
  const meter = new ByteMeter();
  const heapBefore = heapUsed();
  const fleet = new MemoryFleet({
    hostCount,
    document,
    hash,
    seed: 77,
    onMessage: (from, message, to) => {
      meter.note(from, message, to);
    },
  });
  fleet.run(settleMs);
  const total = requestsPerHostPerSecond * hostCount;
  for (const [index, {id}] of customers.entries()) {
    if (total > 0) {
      steadyLoad(fleet, {
        customerId: id,
        perSecond: total / customerCount,
        forMs: measureMs + 4_000,
        seed: index + 1,
      });
    }
  }
  fleet.run(3_000);
  meter.reset();
  for (const host of fleet.hosts.values()) {
    host.handleMs = 0;
  }
  fleet.run(measureMs);
  const seconds = measureMs / 1_000;
  const handleMs = [...fleet.hosts.values()].reduce((sum, host) => sum + host.handleMs, 0);
  const perHost = (value: number): number => value / hostCount / seconds;
  const byType: Record<string, number> = {};
  for (const [type, bytes] of meter.byType) {
    byType[type] = round(perHost(bytes), 1);
  }
  return {
    row: {
      hosts: hostCount,
      'requests/s per host': requestsPerHostPerSecond,
      'bytes sent/s per host': Math.round(perHost(meter.bytes)),
      'most in+out/s at one host': Math.round(Math.max(...meter.byHost.values()) / seconds),
      'messages sent/s per host': round(perHost(meter.messages), 1),
      'core CPU % per host': round(perHost(handleMs) / 10, 3),
      'heap MB per host': round((heapUsed() - heapBefore) / hostCount / 1_048_576, 2),
    },
    byType,
  };
}

function heapUsed(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
