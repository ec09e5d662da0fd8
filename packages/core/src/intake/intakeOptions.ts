/** Limits on what a process holds for its callers, and on what a caller may do. */
export interface IntakeOptions {
  /** Memory of the machine or container, in MB of 2^20 bytes. Default: 512. */
  readonly memoryMb: number;
  /** Open descriptors that the process may have. Default: 4,096. */
  readonly maxDescriptors: number;
  /**
   * Memory that the process needs without callers, in MB. Default: 110; a host of the platform was measured at 115 MB
   * with ordinary requests.
   */
  readonly processMb: number;
  /** Share of the remaining memory that may be held for callers; freed memory is collected late. Default: 0.4. */
  readonly callerMemoryShare: number;
  /** Least memory that may be held for callers, in bytes: 16 uploads and what small requests need. Default: 12 MiB. */
  readonly minMemoryBytes: number;
  /** Part of that memory that is reserved for small reservations, so that a crowd leaves room. Default: 0.25. */
  readonly reservedShare: number;
  /** Reservations up to this size may use the reserved part, in bytes. Default: 16,384. */
  readonly smallBytes: number;
  /** Largest share of that memory that one customer may hold. Default: 0.75. */
  readonly customerShare: number;
  /** Largest share of the descriptors for connections at the callers' address. Default: 0.5. */
  readonly callerDescriptorShare: number;
  /** Largest share of the descriptors for connections at the peer address. Default: 0.1. */
  readonly fleetDescriptorShare: number;
  /** Largest share of the descriptors for relayed attempts, each of which has a connection. Default: 0.2. */
  readonly relayDescriptorShare: number;
  /** Largest share of the descriptors for connections at the readiness address, and at the admin one. Default: 0.05. */
  readonly operatorDescriptorShare: number;
  /** Memory that an open connection is counted with, in bytes. Default: 8,192. */
  readonly connectionBytes: number;
  /** Memory that a request that waits behind others of its connection is counted with, in bytes. Default: 16,384. */
  readonly queuedRequestBytes: number;
  /**
   * Memory that a request with a streamed body is counted with, in bytes: the buffers of its four streams, of up to
   * 65,536 bytes each. Default: 262,144.
   */
  readonly streamedBodyBytes: number;
  /** Memory that a request served ahead of an unread response is counted with, in bytes. Default: 262,144. */
  readonly aheadBytes: number;
  /** Requests of one connection that are served at the same time. Default: 4. */
  readonly maxConcurrentPerConnection: number;
  /** Requests of one connection that wait; the connection is closed beyond that. Default: 1,024. */
  readonly maxQueuedPerConnection: number;
  /** Fields in a request head. Default: 500. */
  readonly maxHeadFields: number;
  /** Least rate at which a caller sends a body, in bytes per second. Default: 500. */
  readonly minSendBytesPerSecond: number;
  /** Least rate at which a caller reads a response, in bytes per second. Default: 500. */
  readonly minReadBytesPerSecond: number;
  /** Time after which the least rates hold, in ms. Default: 10,000. */
  readonly rateGraceMs: number;
  /** Time without progress after which a connection may be closed to free memory, in ms. Default: 500. */
  readonly memoryStallMs: number;
  /**
   * Time without progress after which a connection may be closed to make room for another one, in ms. Default: 100,
   * several round trips to callers.
   */
  readonly connectionStallMs: number;
}

export const DEFAULT_INTAKE_OPTIONS: IntakeOptions = {
  memoryMb: 512,
  maxDescriptors: 4_096,
  processMb: 110,
  callerMemoryShare: 0.4,
  minMemoryBytes: 12_582_912,
  reservedShare: 0.25,
  smallBytes: 16_384,
  customerShare: 0.75,
  callerDescriptorShare: 0.5,
  fleetDescriptorShare: 0.1,
  relayDescriptorShare: 0.2,
  operatorDescriptorShare: 0.05,
  connectionBytes: 8_192,
  queuedRequestBytes: 16_384,
  streamedBodyBytes: 262_144,
  aheadBytes: 262_144,
  maxConcurrentPerConnection: 4,
  maxQueuedPerConnection: 1_024,
  maxHeadFields: 500,
  minSendBytesPerSecond: 500,
  minReadBytesPerSecond: 500,
  rateGraceMs: 10_000,
  memoryStallMs: 500,
  connectionStallMs: 100,
};

const bytesPerMb = 1_048_576;

/** Address of a process at which others connect. */
export type IntakeAddress = 'callers' | 'readiness' | 'admin' | 'peers' | 'relay';

/** Memory that may be held for callers, in bytes. */
export function callerMemoryBytes(options: IntakeOptions): number {
  const {memoryMb, processMb, callerMemoryShare, minMemoryBytes} = options;
  return Math.max(minMemoryBytes, (memoryMb - processMb) * bytesPerMb * callerMemoryShare);
}

/** Number of connections that may be open at an address. */
export function maxConnections(address: IntakeAddress, options: IntakeOptions): number {
  const {maxDescriptors, connectionBytes} = options;
  const shares: Readonly<Record<IntakeAddress, number>> = {
    callers: options.callerDescriptorShare,
    readiness: options.operatorDescriptorShare,
    admin: options.operatorDescriptorShare,
    peers: options.fleetDescriptorShare,
    relay: options.relayDescriptorShare,
  };
  const byDescriptors = maxDescriptors * shares[address];
  const byMemory = callerMemoryBytes(options) / connectionBytes;
  return Math.max(1, Math.floor(Math.min(byDescriptors, byMemory)));
}
