/** Planned stops of VMs, and how messages state them. */
import type { DepartureMessage, Report, View } from './load-message.js';

/** A run of a VM that is leaving. */
export interface Departure {
  entryVmId: string;
  bootId: string;
  /** Time at which it began to leave, on the monotonic clock of this VM. */
  since: number;
  /**
   * The same on the wall clock of the leaving VM, in epoch milliseconds. Clocks differ, but all VMs have the
   * same value.
   */
  stoppedAt: number;
  /** True once it accepts no connections. */
  isClosed: boolean;
  /** Time of the last message about it. */
  heardAt: number;
}

type DepartureFields = Pick<View, 'leaving' | 'departures'>;

export const toMessage = (
  { entryVmId, bootId, since, stoppedAt, isClosed }: Departure,
  now: number,
): DepartureMessage => ({
  entryVmId,
  bootId,
  leavingForMs: Math.round(now - since),
  stoppedAt,
  isClosed,
});

const fromMessage = (
  { leavingForMs, ...departure }: DepartureMessage,
  receivedAt: number,
): Departure => ({ ...departure, since: receivedAt - leavingForMs, heardAt: receivedAt });

/** Messages of former versions state only which run of which VM is leaving. */
const fromIds = (entryVmId: string, bootId: string, receivedAt: number): Departure => ({
  entryVmId,
  bootId,
  since: receivedAt,
  stoppedAt: 0,
  isClosed: false,
  heardAt: receivedAt,
});

export const encodeDepartures = (
  departures: readonly Departure[],
  now: number,
): DepartureFields => ({
  leaving: departures.map(({ entryVmId, bootId }) => [entryVmId, bootId]),
  departures: departures.map((departure) => toMessage(departure, now)),
});

export const decodeDepartures = (
  { leaving, departures }: DepartureFields,
  receivedAt: number,
): Departure[] =>
  departures === undefined
    ? leaving.map(([entryVmId, bootId]) => fromIds(entryVmId, bootId, receivedAt))
    : departures.map((departure) => fromMessage(departure, receivedAt));

/** Returns the departure that a report states, if its VM is leaving. */
export const readDeparture = (
  { entryVmId, bootId, isLeaving, departure }: Report,
  receivedAt: number,
): Departure[] => {
  if (!isLeaving) return [];
  return departure === undefined
    ? [fromIds(entryVmId, bootId, receivedAt)]
    : [fromMessage(departure, receivedAt)];
};
