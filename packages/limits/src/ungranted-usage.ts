/** Use of a limit so low that an entry VM needs no grant for it. */
import type { TeamBounds } from './grant-division.js';

/**
 * Share of the limits that owners keep back for VMs without a grant. A larger one would save
 * messages, but take it from a team that uses a single VM.
 */
const RESERVED_SHARE = 0.1;

export interface UngrantedUsage {
  requestsPerSecond: number;
  /** Requests in progress. */
  concurrency: number;
}

/** Use of one VM; the fallback share of a VM is ten times as much. */
export const computeUngrantedUsage = (bounds: TeamBounds, liveVms: number): UngrantedUsage => ({
  requestsPerSecond: (RESERVED_SHARE * bounds.requestsPerSecond) / liveVms,
  // One request in progress asks for nothing, or each single request would.
  concurrency: Math.max(1, Math.floor((RESERVED_SHARE * bounds.concurrency) / liveVms)),
});

/** Part of a limit that is kept back while `quietVms` of `liveVms` hold no grant. */
export const computeReserve = (limit: number, ungrantedVms: number, liveVms: number): number =>
  (RESERVED_SHARE * limit * Math.max(0, ungrantedVms)) / Math.max(1, liveVms);
