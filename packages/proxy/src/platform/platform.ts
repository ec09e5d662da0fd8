import type {HostList, Manifest} from '@godwitspring/document';

/** What a watch of the host list gave. */
export interface HostListAnswer {
  /** The platform's clock when it answered, in ms. */
  readonly asOfMs: number;
  /** Every list after the one asked for, oldest first; empty where nothing changed. */
  readonly lists: readonly HostList[];
}

/** The platform's service, which can only be read and watched. */
export interface Platform {
  /** Waits up to `waitMs` for lists after `version`; the newest alone where `version` is -1. */
  watchHosts(version: number, waitMs: number): Promise<HostListAnswer>;
  /** Waits up to `waitMs` for a manifest other than that of `version`; undefined where unchanged. */
  watchManifest(version: number, waitMs: number): Promise<Manifest | undefined>;
  /** Reads a part by its digest. */
  readPart(sha256: string): Promise<string>;
}
