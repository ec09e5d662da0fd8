/** Counters of one host by name and tags. */
export class CounterTable {
  readonly #counts = new Map<string, number>();

  add(name: string, tags: Readonly<Record<string, string>> = {}, by = 1): void {
    const key = CounterTable.#key(name, tags);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + by);
  }

  /** Counts by `name{tag=value,...}`, in the order of their names. */
  snapshot(): Record<string, number> {
    return Object.fromEntries([...this.#counts].sort(([one], [other]) => one.localeCompare(other)));
  }

  static #key(name: string, tags: Readonly<Record<string, string>>): string {
    const pairs = Object.entries(tags);
    if (pairs.length === 0) {
      return name;
    }
    return `${name}{${pairs.map(([tag, value]) => `${tag}=${value}`).join(',')}}`;
  }
}
