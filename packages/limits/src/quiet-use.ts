/** Use of a limit so low that an entry VM needs no grant for it. */
import type { TeamBounds } from './grant-division.js';

/**
 * Share of the limits that owners keep back for VMs without a grant. A larger one would save
 * messages, but take it from a team that uses a single VM.
 */
const QUIET_SHARE = 0.1;

export interface QuietUse {
  requestsPerSecond: number;
  /** Requests in progress. */
  concurrency: number;
}

/** Use of one VM; the fallback share of a VM is ten times as much. */
export const findQuietUse = (bounds: TeamBounds, liveVms: number): QuietUse => ({
  requestsPerSecond: (QUIET_SHARE * bounds.requestsPerSecond) / liveVms,
  // One request in progress asks for nothing, or each single request would.
  concurrency: Math.max(1, Math.floor((QUIET_SHARE * bounds.concurrency) / liveVms)),
});

/** Part of a limit that is kept back while `quietVms` of `liveVms` hold no grant. */
export const keepBack = (limit: number, quietVms: number, liveVms: number): number =>
  (QUIET_SHARE * limit * Math.max(0, quietVms)) / Math.max(1, liveVms);
