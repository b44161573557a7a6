import type { Departure } from './departure.js';

/** The VMs that have left and do not serve again yet. */
export class DepartureList {
  private readonly departures = new Map<string, Departure>();

  /** Removes a VM that serves again after a restart. */
  remove(entryVmId: string): void {
    this.departures.delete(entryVmId);
  }

  add(departure: Departure): void {
    const known = this.departures.get(departure.entryVmId);
    if (known?.bootId !== departure.bootId) {
      this.departures.set(departure.entryVmId, departure);
      return;
    }
    // A delayed message makes a departure seem later than it was, and may state an earlier state.
    known.since = Math.min(known.since, departure.since);
    known.isClosed ||= departure.isClosed;
    known.heardAt = departure.heardAt;
  }

  has(entryVmId: string): boolean {
    return this.departures.has(entryVmId);
  }

  /** Returns whether the given run of a VM has left. */
  hasRun(entryVmId: string, bootId: string): boolean {
    return this.departures.get(entryVmId)?.bootId === bootId;
  }

  listSince(oldest: number): Departure[] {
    return [...this.departures.values()].filter(({ since }) => since >= oldest);
  }

  /** Forgets VMs that were replaced. */
  prune(oldest: number): void {
    for (const [entryVmId, { heardAt }] of this.departures) {
      if (heardAt < oldest) this.departures.delete(entryVmId);
    }
  }
}
