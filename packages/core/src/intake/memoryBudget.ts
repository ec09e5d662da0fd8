import {callerMemoryBytes} from './intakeOptions.ts';
import type {IntakeOptions} from './intakeOptions.ts';

/** Memory held for one purpose of one connection. */
export interface Reservation {
  readonly bytes: number;
  /** Customer that the memory counts for; undefined where it is not known. */
  readonly customerId: string | undefined;
}

/**
 * Counts the memory that a process holds for its callers. Addresses crowds whose bodies, unread responses or pipelined
 * requests would exceed the memory of the machine.
 */
export class MemoryBudget {
  readonly #options: IntakeOptions;
  readonly #limitBytes: number;
  readonly #bytesByCustomer = new Map<string, number>();
  #usedBytes = 0;

  constructor(options: IntakeOptions) {
    this.#options = options;
    this.#limitBytes = callerMemoryBytes(options);
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** True where more is held than the limit, as responses are held without a check. */
  get isExceeded(): boolean {
    return this.#usedBytes > this.#limitBytes;
  }

  /** Reserves memory; undefined where too little is free, or the customer holds its share already. */
  tryReserve(bytes: number, customerId?: string): Reservation | undefined {
    const {reservedShare, smallBytes} = this.#options;
    const usableShare = bytes <= smallBytes ? 1 : 1 - reservedShare;
    if (this.#usedBytes + bytes > this.#limitBytes * usableShare) {
      return undefined;
    }
    return this.exceedsShare(bytes, customerId) ? undefined : this.reserve(bytes, customerId);
  }

  /** True where a customer would hold more than its share. */
  exceedsShare(bytes: number, customerId: string | undefined): boolean {
    if (customerId === undefined) {
      return false;
    }
    const heldBytes = this.#bytesByCustomer.get(customerId) ?? 0;
    return heldBytes + bytes > this.#limitBytes * this.#options.customerShare;
  }

  /** Counts memory that is held in any case, such as that of a response that arrived. */
  reserve(bytes: number, customerId?: string): Reservation {
    this.#usedBytes += bytes;
    this.#addForCustomer(customerId, bytes);
    return {bytes, customerId};
  }

  /** Frees a reservation; called once for each. */
  release({bytes, customerId}: Reservation): void {
    this.#usedBytes -= bytes;
    this.#addForCustomer(customerId, -bytes);
  }

  #addForCustomer(customerId: string | undefined, bytes: number): void {
    if (customerId === undefined) {
      return;
    }
    const held = (this.#bytesByCustomer.get(customerId) ?? 0) + bytes;
    if (held > 0) {
      this.#bytesByCustomer.set(customerId, held);
    } else {
      this.#bytesByCustomer.delete(customerId);
    }
  }
}
