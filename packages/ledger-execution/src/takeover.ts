/** Decides when a VM may take over a job that has no owner. */
import { rankOf } from '@jujubelanding/random';

/** Delay that gives the former owner time to take its job back. */
const FORMER_OWNER_DELAY_MS = 250;

/**
 * Delay while the former owner still sends messages: it has lost its lease, not its work, and takes the
 * job back once it reaches the store, if need be through a peer.
 */
const LIVE_OWNER_DELAY_MS = 4000;

/** Additional delay per rank of a VM. */
const RANK_DELAY_MS = 400;

export interface OrphanedJob {
  jobId: string;
  /** True if this VM still executes the job, for example after it lost its lease. */
  isExecutedHere: boolean;
  /** Time since the job was first seen without an owner. */
  orphanedMs: number;
  /** True if the process of the former owner is alive and not leaving. */
  isFormerOwnerAlive: boolean;
}

/** Ranks the VMs per job, so that takeovers are spread over the VMs and rarely conflict. */
export const mayTakeOver = (
  { jobId, isExecutedHere, orphanedMs, isFormerOwnerAlive }: OrphanedJob,
  self: string,
  serving: readonly string[],
): boolean => {
  if (isExecutedHere) return true;
  const delayMs = isFormerOwnerAlive ? LIVE_OWNER_DELAY_MS : FORMER_OWNER_DELAY_MS;
  // The rank is computed for many jobs at once after a loss of VMs.
  if (orphanedMs < delayMs) return false;
  return orphanedMs >= delayMs + rankOf(jobId, self, serving) * RANK_DELAY_MS;
};
