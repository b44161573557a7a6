/** Counts calls by kind. */
export class Counters {
  private readonly counts = new Map<string, number>();

  add(kind: string, amount = 1): void {
    this.counts.set(kind, this.get(kind) + amount);
  }

  get(kind: string): number {
    return this.counts.get(kind) ?? 0;
  }

  read(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }
}
