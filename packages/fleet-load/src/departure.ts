/** Planned stops of VMs, and how messages state them. */
import type { Report, View } from './load-message.js';

/** A run of a VM that is leaving. */
export interface Departure {
  entryVmId: string;
  bootId: string;
  /** Time at which it began to leave, on the clock of this VM. */
  since: number;
}

type DepartureFields = Pick<View, 'leaving' | 'leavingForMs'>;

/** Clocks differ between VMs, so messages state ages. */
export const encodeDepartures = (
  departures: readonly Departure[],
  now: number,
): DepartureFields => ({
  leaving: departures.map(({ entryVmId, bootId }) => [entryVmId, bootId]),
  leavingForMs: departures.map(({ since }) => Math.round(now - since)),
});

export const decodeDepartures = (
  { leaving, leavingForMs }: DepartureFields,
  receivedAt: number,
): Departure[] =>
  leaving.map(([entryVmId, bootId], index) => ({
    entryVmId,
    bootId,
    since: receivedAt - (leavingForMs?.[index] ?? 0),
  }));

/** Returns the departure that a report states, if its VM is leaving. */
export const readDeparture = (
  { entryVmId, bootId, isLeaving, leavingForMs = 0 }: Report,
  receivedAt: number,
): Departure[] => (isLeaving ? [{ entryVmId, bootId, since: receivedAt - leavingForMs }] : []);

/** The VMs that have left and do not serve again yet. */
export class DepartureList {
  private readonly departures = new Map<string, Departure>();

  /** Removes a VM that serves again after a restart. */
  remove(entryVmId: string): void {
    this.departures.delete(entryVmId);
  }

  add(departure: Departure): void {
    const known = this.departures.get(departure.entryVmId);
    const isNew = known?.bootId !== departure.bootId;
    // A delayed message makes a departure seem later than it was.
    if (isNew || departure.since < known.since) this.departures.set(departure.entryVmId, departure);
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
}
