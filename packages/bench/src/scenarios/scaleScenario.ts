import type {HashFunction, PeerMessage} from '@godwitspring/core';
import {PeerCodec} from '@godwitspring/peer';
import {SimulatedFleet} from '../fleet/simulatedFleet.ts';
import {sendSteadyLoad} from '../fleet/sendSteadyLoad.ts';
import {testDocument} from '../fleet/testDocument.ts';
import {round} from './table.ts';
import type {Row} from './table.ts';

/** Time that the fleet gets before the load starts, in ms. */
const startupMs = 16_000;
/** Duration of the measurement, in ms. */
const measureMs = 10_000;
const customerCount = 64;
/** Bytes that WebSocket framing adds to a small message from client to server. */
const frameBytes = 6;

/** Counts the bytes of peer messages, encoded by one codec per direction of a link, as on a real connection. */
class TrafficMeter {
  bytes = 0;
  messages = 0;
  readonly byType = new Map<string, number>();
  /** Bytes sent and received by each host. */
  readonly byHost = new Map<string, number>();
  readonly #codecs = new Map<string, PeerCodec>();

  /** Counts one message. */
  record(from: string, message: PeerMessage, to: string): void {
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

  /** Sets all counts to 0; the codecs keep their state. */
  reset(): void {
    this.bytes = 0;
    this.messages = 0;
    this.byType.clear();
    this.byHost.clear();
  }
}

/** Measures what coordination costs one host in bytes, messages, CPU time and memory, by fleet size and load. */
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
  const meter = new TrafficMeter();
  const heapBefore = heapUsed();
  const fleet = new SimulatedFleet({
    hostCount,
    document,
    hash,
    seed: 77,
    onMessage: (from, message, to) => {
      meter.record(from, message, to);
    },
  });
  fleet.run(startupMs);
  const total = requestsPerHostPerSecond * hostCount;
  for (const [index, {id}] of customers.entries()) {
    if (total > 0) {
      sendSteadyLoad(fleet, {
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
    host.handlingMs = 0;
  }
  fleet.run(measureMs);
  const seconds = measureMs / 1_000;
  const handlingMs = [...fleet.hosts.values()].reduce((sum, host) => sum + host.handlingMs, 0);
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
      'core CPU % per host': round(perHost(handlingMs) / 10, 3),
      'heap MB per host': round((heapUsed() - heapBefore) / hostCount / 1_048_576, 2),
    },
    byType,
  };
}

/** Heap in use, in bytes; after a garbage collection where Node exposes it. */
function heapUsed(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
