import type {RegistryChange} from '@godwitspring/document';

/** What a read or a watch of the registry gave. */
export interface RegistryReading {
  /** Revision up to which the changes reach. */
  readonly revision: number;
  readonly changes: readonly RegistryChange[];
}

/** Where operators and backend servers publish; can only be read. */
export interface RegistrySource {
  /** Reads all that is published. */
  readAll(): Promise<RegistryReading>;
  /**
   * Waits up to `waitMs` for changes after a revision; undefined where the registry does not remember
   * them any more.
   */
  watch(afterRevision: number, waitMs: number): Promise<RegistryReading | undefined>;
  stop(): Promise<void>;
}
