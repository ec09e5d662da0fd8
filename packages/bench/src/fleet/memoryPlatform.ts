import {splitDocument} from '@godwitspring/document';
import type {DigestFunction, FleetDocument, HostList, Manifest} from '@godwitspring/document';

/** What the platform shows at one moment. */
export interface PlatformView {
  readonly lists: readonly HostList[];
  readonly manifest: Manifest | undefined;
  /** The platform's clock, in ms. */
  readonly asOfMs: number;
}

/** The platform in memory: values and lists, which may be down or stale. */
export class MemoryPlatform {
  isDown = false;
  #lists: readonly HostList[] = [];
  #manifest: Manifest | undefined;
  #frozen: PlatformView | undefined;
  readonly #parts = new Map<string, string>();

  publish(document: FleetDocument, digest: DigestFunction): void {
    const {manifest, texts} = splitDocument(document, digest);
    this.#manifest = manifest;
    for (const [sha256, text] of texts) {
      this.#parts.set(sha256, text);
    }
  }

  publishHosts(hosts: HostList['hosts'], nowMs: number): void {
    const version = (this.#lists.at(-1)?.version ?? 0) + 1;
    this.#lists = [...this.#lists, {version, asOfMs: nowMs, hosts}];
  }

  /** Goes on showing what it shows now, clock included, or catches up. */
  setStale(isStale: boolean, nowMs: number): void {
    this.#frozen = isStale ? this.view(nowMs) : undefined;
  }

  view(nowMs: number): PlatformView {
    return this.#frozen ?? {lists: this.#lists, manifest: this.#manifest, asOfMs: nowMs};
  }

  part(sha256: string): string | undefined {
    return this.#parts.get(sha256);
  }
}
