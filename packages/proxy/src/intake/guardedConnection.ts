import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {TransferRate} from '@godwitspring/core';
import type {
  ConnectionActivity,
  ConnectionView,
  IntakeAddress,
  IntakeOptions,
  Reservation,
} from '@godwitspring/core';

/** A request on a connection, with the memory that is held for it. */
export interface GuardedRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly reservations: Reservation[];
  /** Ends the request where its caller sends too slowly; by default the connection is closed. */
  onTooSlow: (() => void) | undefined;
}

/** Time without a byte after which an upgraded connection counts as idle, in ms: other hosts send every second. */
const upgradedIdleMs = 10_000;
/**
 * Longest time between two checks that counts, in ms. After a freeze of the process the timers run before the sockets
 * are read, so that steady callers seem to have sent and read nothing.
 */
const maxElapsedMs = 2_000;

/** What a host knows of one connection at one of its addresses. */
export class GuardedConnection implements ConnectionView {
  readonly socket: Socket;
  readonly address: IntakeAddress;
  /** Requests that are served, in the order of their arrival. */
  readonly inProgress = new Set<GuardedRequest>();
  /** Requests that wait for those in progress, with the function that starts each. */
  readonly waiting: {readonly request: GuardedRequest; readonly serve: () => void}[] = [];
  readonly #sendRate: TransferRate;
  readonly #readRate: TransferRate;
  isUpgraded = false;
  progressAtMs: number;
  heldBytes = 0;
  #receivedBytes = 0;
  #takenBytes = 0;
  #observedAtMs: number;

  constructor(socket: Socket, address: IntakeAddress, options: IntakeOptions, nowMs: number) {
    this.socket = socket;
    this.address = address;
    this.progressAtMs = nowMs;
    this.#observedAtMs = nowMs;
    const {minSendBytesPerSecond, minReadBytesPerSecond, rateGraceMs: graceMs} = options;
    this.#sendRate = new TransferRate({minBytesPerSecond: minSendBytesPerSecond, graceMs});
    this.#readRate = new TransferRate({minBytesPerSecond: minReadBytesPerSecond, graceMs});
  }

  get activity(): ConnectionActivity {
    if (this.isUpgraded) {
      return this.#observedAtMs - this.progressAtMs > upgradedIdleMs ? 'idle' : 'running';
    }
    if (this.inProgress.size === 0) {
      return 'idle';
    }
    if (this.socket.writableLength > 0) {
      return 'sending';
    }
    return this.#incompleteRequest() === undefined ? 'running' : 'receiving';
  }

  /** Updates the progress and the rates from the byte counts of the socket. */
  observe(nowMs: number): void {
    const receivedBytes = this.socket.bytesRead;
    const takenBytes = this.socket.bytesWritten - this.socket.writableLength;
    const received = receivedBytes - this.#receivedBytes;
    const taken = takenBytes - this.#takenBytes;
    const elapsedMs = Math.min(nowMs - this.#observedAtMs, maxElapsedMs);
    this.#receivedBytes = receivedBytes;
    this.#takenBytes = takenBytes;
    this.#observedAtMs = nowMs;
    if (received > 0 || taken > 0) {
      this.progressAtMs = nowMs;
    }
    const {activity} = this;
    if (activity === 'receiving') {
      this.#sendRate.record(elapsedMs, received);
    } else if (activity === 'sending') {
      this.#readRate.record(elapsedMs, taken);
    } else if (activity === 'idle') {
      this.#sendRate.reset();
      this.#readRate.reset();
    }
  }

  get isReadTooSlowly(): boolean {
    return this.activity === 'sending' && this.#readRate.isTooSlow;
  }

  /** The request whose body is sent too slowly, if there is one. */
  slowRequest(): GuardedRequest | undefined {
    return this.activity === 'receiving' && this.#sendRate.isTooSlow
      ? this.#incompleteRequest()
      : undefined;
  }

  /** The request whose caller still has to send: nothing of its body waits for a server. */
  #incompleteRequest(): GuardedRequest | undefined {
    for (const request of this.inProgress) {
      const {complete, readableLength} = request.incoming;
      if (!complete && readableLength === 0) {
        return request;
      }
    }
    return undefined;
  }
}
