/** Directed links between simulated machines: delay by availability zone, cuts and datagram loss. */
export class Links {
  private readonly zoneByMachine = new Map<string, string>();

  private readonly cuts = new Set<string>();

  /** Probability that a datagram is lost, on every link. */
  datagramLossChance = 0;

  constructor(
    /** One-way delay within an availability zone. */
    private readonly localDelayMs: number,
    /** One-way delay between availability zones. */
    private readonly remoteDelayMs: number,
  ) {}

  setAvailabilityZone(id: string, availabilityZone: string): void {
    this.zoneByMachine.set(id, availabilityZone);
  }

  getDelayMs(from: string, to: string): number {
    return this.zoneByMachine.get(from) === this.zoneByMachine.get(to)
      ? this.localDelayMs
      : this.remoteDelayMs;
  }

  /** Cuts the link in one direction. */
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

  /** Returns the ids of all machines in an availability zone. */
  listMachinesIn(availabilityZone: string): string[] {
    return [...this.zoneByMachine]
      .filter(([, zone]) => zone === availabilityZone)
      .map(([id]) => id);
  }
}
