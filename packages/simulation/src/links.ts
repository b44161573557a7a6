/** Directed links between simulated machines: delay by availability zone, cuts and datagram loss. */
export class Links {
  private readonly zones = new Map<string, string>();

  private readonly cuts = new Set<string>();

  /** Share of datagrams lost on every link. */
  datagramLoss = 0;

  constructor(
    /** One-way delay within an availability zone. */
    private readonly localDelayMs: number,
    /** One-way delay between availability zones. */
    private readonly remoteDelayMs: number,
  ) {}

  place(id: string, availabilityZone: string): void {
    this.zones.set(id, availabilityZone);
  }

  delayMs(from: string, to: string): number {
    return this.zones.get(from) === this.zones.get(to) ? this.localDelayMs : this.remoteDelayMs;
  }

  /** Cuts one direction. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  cutBoth(a: string, b: string): void {
    this.cut(a, b);
    this.cut(b, a);
  }

  heal(from: string, to: string): void {
    this.cuts.delete(`${from}>${to}`);
  }

  healAll(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  hasCuts(): boolean {
    return this.cuts.size > 0;
  }

  /** Ids of all machines in an availability zone. */
  machinesIn(availabilityZone: string): string[] {
    return [...this.zones].filter(([, zone]) => zone === availabilityZone).map(([id]) => id);
  }
}
