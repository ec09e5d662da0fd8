import {z} from 'zod';
import {hostListSchema, splitDocument} from '@godwitspring/document';
import type {DigestFunction, FleetDocument, HostList} from '@godwitspring/document';

/** Faults that the stand-in can be told to show. */
export const platformFaultsSchema = z.object({
  /** True to answer nothing. */
  isDown: z.boolean().default(false),
  /** True to go on answering with the values and the clock of the moment at which it was set. */
  isStale: z.boolean().default(false),
});

export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

interface View {
  readonly values: ReadonlyMap<string, string>;
  readonly lists: readonly HostList[];
  readonly asOfMs: number;
}

const maxKeptLists = 64;
export const manifestKey = 'manifest';

/** Values and host lists of the platform, and what it shows of them. */
export class PlatformState {
  #values = new Map<string, string>();
  #lists: HostList[] = [];
  #faults: PlatformFaults = platformFaultsSchema.parse({});
  #frozen: View | undefined;
  readonly #wakers = new Set<() => void>();
  readonly #nowMs: () => number;

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  get isDown(): boolean {
    return this.#faults.isDown;
  }

  setFaults(faults: PlatformFaults): void {
    this.#faults = faults;
    this.#frozen = faults.isStale ? (this.#frozen ?? this.#live()) : undefined;
    this.#wake();
  }

  /** Publishes a document as manifest and parts. */
  publish(document: FleetDocument, digest: DigestFunction): void {
    const {manifest, texts} = splitDocument(document, digest);
    for (const [sha256, text] of texts) {
      this.#values.set(`parts.${sha256}`, text);
    }
    this.#values.set(manifestKey, JSON.stringify(manifest));
    this.#wake();
  }

  /** Publishes the list of hosts under the next version. */
  publishHosts(hosts: HostList['hosts']): void {
    const version = (this.#lists.at(-1)?.version ?? 0) + 1;
    const list = hostListSchema.parse({version, asOfMs: this.#nowMs(), hosts});
    this.#lists = [...this.#lists, list].slice(-maxKeptLists);
    this.#wake();
  }

  get newestHosts(): HostList | undefined {
    return this.#lists.at(-1);
  }

  read(key: string): string | undefined {
    return this.#view().values.get(key);
  }

  /** Every kept list after `version`; the newest alone where `version` is negative. */
  listsAfter(version: number): {asOfMs: number; lists: HostList[]} {
    const {asOfMs, lists} = this.#view();
    const after = version < 0 ? lists.slice(-1) : lists.filter((list) => list.version > version);
    return {asOfMs, lists: [...after]};
  }

  /** Resolves at the next change or after `waitMs`. */
  async change(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timeout);
        this.#wakers.delete(finish);
        resolve();
      };
      const timeout = setTimeout(finish, waitMs);
      this.#wakers.add(finish);
    });
  }

  #live(): View {
    return {
      values: new Map(this.#values),
      lists: [...this.#lists],
      asOfMs: this.#nowMs(),
    };
  }

  #view(): View {
    return this.#frozen ?? {values: this.#values, lists: this.#lists, asOfMs: this.#nowMs()};
  }

  #wake(): void {
    for (const waker of [...this.#wakers]) {
      waker();
    }
  }
}
