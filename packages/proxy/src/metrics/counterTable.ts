/** Counters of a host, by name and tags. */
export class CounterTable {
  readonly #counts = new Map<string, number>();

  add(name: string, tags: Readonly<Record<string, string>> = {}, by = 1): void {
    const key = CounterTable.#keyOf(name, tags);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + by);
  }

  /** Copies the counts, keyed by `name{tag=value,...}` and sorted by that key. */
  snapshot(): Record<string, number> {
    return Object.fromEntries([...this.#counts].sort(([one], [other]) => one.localeCompare(other)));
  }

  static #keyOf(name: string, tags: Readonly<Record<string, string>>): string {
    const pairs = Object.entries(tags);
    if (pairs.length === 0) {
      return name;
    }
    return `${name}{${pairs.map(([tag, value]) => `${tag}=${value}`).join(',')}}`;
  }
}
