import type {HostList, Manifest} from '@godwitspring/document';

/** Result of a watch of the host list. */
export interface HostListUpdate {
  /** Time of the response on the platform's clock, in ms. */
  readonly asOfMs: number;
  /** Every host list newer than the requested version, oldest first; empty where nothing changed. */
  readonly lists: readonly HostList[];
}

/** Client of the platform that publishes the host list and the configuration; read-only. */
export interface Platform {
  /** Waits up to `waitMs` for host lists newer than `version`; returns only the newest where `version` is -1. */
  watchHosts(version: number, waitMs: number): Promise<HostListUpdate>;
  /**
   * Waits up to `waitMs` for a manifest of another version than `version`; undefined where it is unchanged.
   */
  watchManifest(version: number, waitMs: number): Promise<Manifest | undefined>;
  /** Reads a part of the configuration by its SHA-256 digest. */
  readPart(sha256: string): Promise<string>;
}
