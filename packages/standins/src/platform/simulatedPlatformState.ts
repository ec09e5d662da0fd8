import {z} from 'zod';
import {hostListSchema, splitDocument} from '@godwitspring/document';
import type {DigestFunction, FleetDocument, HostList} from '@godwitspring/document';

/** Faults that can be injected into the simulated platform. */
export const platformFaultsSchema = z.object({
  /** True to respond to every read and watch with status 503. */
  isDown: z.boolean().default(false),
  /** True to keep responding with the data and the clock time of the moment at which this was set. */
  isStale: z.boolean().default(false),
});

export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** The data that the platform shows at one moment. */
interface PlatformView {
  readonly values: ReadonlyMap<string, string>;
  readonly lists: readonly HostList[];
  /** The platform's clock, in ms. */
  readonly asOfMs: number;
}

/** Number of host lists stored; older ones are dropped. */
const maxStoredLists = 64;
/** Key of the manifest, which names the current version of the document and its parts. */
export const manifestKey = 'manifest';

/** The values and host lists that the simulated platform stores, and what its readers see of them. */
export class SimulatedPlatformState {
  #values = new Map<string, string>();
  #lists: HostList[] = [];
  #faults: PlatformFaults = platformFaultsSchema.parse({});
  #staleView: PlatformView | undefined;
  readonly #changeListeners = new Set<() => void>();
  readonly #nowMs: () => number;

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  get isDown(): boolean {
    return this.#faults.isDown;
  }

  setFaults(faults: PlatformFaults): void {
    this.#faults = faults;
    this.#staleView = faults.isStale ? (this.#staleView ?? this.#copyView()) : undefined;
    this.#notifyChange();
  }

  /** Publishes a document: stores its parts under their digests, then the manifest that names them. */
  publish(document: FleetDocument, digest: DigestFunction): void {
    const {manifest, texts} = splitDocument(document, digest);
    for (const [sha256, text] of texts) {
      this.#values.set(`parts.${sha256}`, text);
    }
    this.#values.set(manifestKey, JSON.stringify(manifest));
    this.#notifyChange();
  }

  /** Publishes a list of hosts with the next version number. */
  publishHosts(hosts: HostList['hosts']): void {
    const version = (this.#lists.at(-1)?.version ?? 0) + 1;
    const list = hostListSchema.parse({version, asOfMs: this.#nowMs(), hosts});
    this.#lists = [...this.#lists, list].slice(-maxStoredLists);
    this.#notifyChange();
  }

  get newestHostList(): HostList | undefined {
    return this.#lists.at(-1);
  }

  readValue(key: string): string | undefined {
    return this.#visibleView().values.get(key);
  }

  /** All stored lists newer than `version`; only the newest one where `version` is negative. */
  listsAfter(version: number): {asOfMs: number; lists: HostList[]} {
    const {asOfMs, lists} = this.#visibleView();
    const newer = version < 0 ? lists.slice(-1) : lists.filter((list) => list.version > version);
    return {asOfMs, lists: [...newer]};
  }

  /** Resolves at the next change of data or faults, or after `waitMs`. */
  async waitForChange(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timeout);
        this.#changeListeners.delete(finish);
        resolve();
      };
      const timeout = setTimeout(finish, waitMs);
      this.#changeListeners.add(finish);
    });
  }

  /** Copy of the current data, which later changes do not affect. */
  #copyView(): PlatformView {
    return {
      values: new Map(this.#values),
      lists: [...this.#lists],
      asOfMs: this.#nowMs(),
    };
  }

  /** What readers see: the copy from the start of the staleness fault, or else the current data. */
  #visibleView(): PlatformView {
    return this.#staleView ?? {values: this.#values, lists: this.#lists, asOfMs: this.#nowMs()};
  }

  #notifyChange(): void {
    for (const listener of [...this.#changeListeners]) {
      listener();
    }
  }
}
