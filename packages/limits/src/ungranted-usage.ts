/** Usage of a limit that is low enough for an entry VM to need no grant. */
import type { TeamBounds } from './grant-division.js';

/**
 * Fraction of the limits that owners reserve for VMs without a grant. A larger reserve would save
 * messages, but reduce the rate of a team that uses a single VM.
 */
const RESERVED_FRACTION = 0.1;

/** Highest usage of a team on one VM that needs no grant. */
export interface UngrantedUsage {
  requestsPerSecond: number;
  /** Requests in progress. */
  concurrency: number;
}

/** Returns the usage that needs no grant on one VM: a tenth of the VM's fallback share. */
export const computeUngrantedUsage = (bounds: TeamBounds, liveVms: number): UngrantedUsage => ({
  requestsPerSecond: (RESERVED_FRACTION * bounds.requestsPerSecond) / liveVms,
  // At least 1; otherwise every single request would make the VM request a share.
  concurrency: Math.max(1, Math.floor((RESERVED_FRACTION * bounds.concurrency) / liveVms)),
});

/** Returns the amount of a limit that is reserved while `ungrantedVms` of `liveVms` hold no grant. */
export const computeUngrantedReserve = (
  limit: number,
  ungrantedVms: number,
  liveVms: number,
): number => (RESERVED_FRACTION * limit * Math.max(0, ungrantedVms)) / Math.max(1, liveVms);
