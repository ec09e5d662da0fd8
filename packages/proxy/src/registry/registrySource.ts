import type {RegistryPosition} from '@godwitspring/core';
import type {RegistryChange} from '@godwitspring/document';

/** Result of a read or a watch of the registry, with the newest position that it covers. */
export interface RegistryReading extends RegistryPosition {
  readonly changes: readonly RegistryChange[];
  /**
   * Whether the newest document cannot be read, so that it is not among the changes; undefined if no document was
   * published.
   */
  readonly isDocumentUnreadable?: boolean | undefined;
}

/** Client of the registry in which operators and backend servers publish their entries; read-only. */
export interface RegistrySource {
  /** Reads every published entry. */
  readAll(): Promise<RegistryReading>;
  /**
   * Waits up to `waitMs` for changes after a position; undefined where the registry no longer stores the
   * changes since then, or returned from an earlier copy, so that everything has to be read again.
   */
  watch(after: RegistryPosition, waitMs: number): Promise<RegistryReading | undefined>;
  /** Closes the connection to the registry. */
  stop(): Promise<void>;
}
