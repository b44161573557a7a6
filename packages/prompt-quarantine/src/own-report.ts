interface Timed {
  at: number;
  values: Set<string>;
}

/** One list of what this VM reports to the others, bounded in age and length. */
export class OwnReport {
  private readonly entries = new Map<string, Timed>();

  constructor(
    private readonly lifetimeMs: number,
    private readonly maxEntries: number,
  ) {}

  /** Adds values to the entry of a key, which becomes the newest one; returns true if the report changes. */
  add(key: string, values: readonly string[], now: number): boolean {
    const entry = this.entries.get(key);
    const known = entry?.values ?? new Set();
    const isNew = entry === undefined || values.some((value) => !known.has(value));
    this.entries.delete(key);
    this.entries.set(key, { at: now, values: new Set([...known, ...values]) });
    if (this.entries.size > this.maxEntries) this.entries.delete([...this.entries.keys()][0]!);
    return isNew;
  }

  /** Removes entries that have reached the end of their lifetime; returns true if the report changes. */
  prune(now: number): boolean {
    const sizeBefore = this.entries.size;
    for (const [key, { at }] of this.entries) {
      if (now - at > this.lifetimeMs) this.entries.delete(key);
    }
    return this.entries.size < sizeBefore;
  }

  list(now: number): [string, string[]][] {
    this.prune(now);
    return [...this.entries].map(([key, { values }]) => [key, [...values]]);
  }
}
