import {splitDocument} from '@godwitspring/document';
import type {DigestFunction, FleetDocument, HostList, Manifest} from '@godwitspring/document';

/** What the platform serves at one moment. */
export interface PlatformView {
  readonly lists: readonly HostList[];
  readonly manifest: Manifest | undefined;
  /** The platform's clock, in ms. */
  readonly asOfMs: number;
}

/** Simulates the platform: serves host lists, the manifest and the parts of the document; can be down or stale. */
export class SimulatedPlatform {
  /** True while the platform answers no host. */
  isDown = false;
  #lists: readonly HostList[] = [];
  #manifest: Manifest | undefined;
  #staleView: PlatformView | undefined;
  readonly #textsByDigest = new Map<string, string>();

  /** Publishes a document: its manifest and the texts of its parts. */
  publish(document: FleetDocument, digest: DigestFunction): void {
    const {manifest, texts} = splitDocument(document, digest);
    this.#manifest = manifest;
    for (const [sha256, text] of texts) {
      this.#textsByDigest.set(sha256, text);
    }
  }

  /** Publishes the next version of the host list. */
  publishHosts(hosts: HostList['hosts'], nowMs: number): void {
    const version = (this.#lists.at(-1)?.version ?? 0) + 1;
    this.#lists = [...this.#lists, {version, asOfMs: nowMs, hosts}];
  }

  /** Freezes what is served, including the clock, or serves the present state again. */
  setStale(isStale: boolean, nowMs: number): void {
    this.#staleView = isStale ? this.view(nowMs) : undefined;
  }

  /** What a host that polls now receives. */
  view(nowMs: number): PlatformView {
    return this.#staleView ?? {lists: this.#lists, manifest: this.#manifest, asOfMs: nowMs};
  }

  /** Text of a part of a document by its digest; undefined for an unknown digest. */
  partText(sha256: string): string | undefined {
    return this.#textsByDigest.get(sha256);
  }
}
