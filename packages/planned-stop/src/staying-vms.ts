import { countWanted } from './fleet-share.js';
import { compareStops, type StoppingVm } from './stop-order.js';

export interface StayingOptions {
  now: number;
  /** VMs of the fleet, including those that are stopping or not back yet. */
  fleetVms: number;
  servingVms: number;
  /** Stopping VMs that still accept connections. */
  stopping: readonly StoppingVm[];
  /** Time from the start of a stop to the end of the process. */
  graceMs: number;
  /** Time for which a VM must stay to be of use to a caller that gets its address now. */
  minStayMs: number;
}

/**
 * Selects the stopping VMs that callers may use because too few VMs serve, those that stay longest first.
 * If no VM serves and none stays long enough, the last one to stop is selected.
 */
export const selectStaying = ({
  now,
  fleetVms,
  servingVms,
  stopping,
  graceMs,
  minStayMs,
}: StayingOptions): string[] => {
  const missing = countWanted(fleetVms) - servingVms;
  if (missing <= 0) return [];
  const lastFirst = stopping.toSorted((a, b) => compareStops(b, a));
  const staying = lastFirst.filter(({ since }) => since + graceMs - now >= minStayMs);
  const selected = staying.length > 0 || servingVms > 0 ? staying : lastFirst.slice(0, 1);
  return selected.slice(0, missing).map(({ entryVmId }) => entryVmId);
};
