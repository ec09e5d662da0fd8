import type {RegistryChange} from '@godwitspring/document';

/** Result of a read or a watch of the registry. */
export interface RegistryReading {
  /** Newest revision that the changes cover. */
  readonly revision: number;
  readonly changes: readonly RegistryChange[];
}

/** Client of the registry in which operators and backend servers publish their entries; read-only. */
export interface RegistrySource {
  /** Reads every published entry. */
  readAll(): Promise<RegistryReading>;
  /**
   * Waits up to `waitMs` for changes after a revision; undefined where the registry no longer stores the
   * changes since then, so that everything has to be read again.
   */
  watch(afterRevision: number, waitMs: number): Promise<RegistryReading | undefined>;
  /** Closes the connection to the registry. */
  stop(): Promise<void>;
}
