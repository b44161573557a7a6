/** Decides when a VM takes a job that has no owner. */
import { rankNodes } from '@jujubelanding/random';

/** Time in which a former owner may take its job back. */
const FORMER_OWNER_DELAY_MS = 250;

/** Time by which each further VM in the ranking waits longer. */
const RANK_DELAY_MS = 400;

export interface OrphanedJob {
  jobId: string;
  /** True where this VM has runs of the job in progress. */
  hasLocalRuns: boolean;
  /** Time since the job was first seen without an owner. */
  orphanedMs: number;
}

/** Spreads jobs over the VMs, so that they rarely compete for the same one. */
export const mayTakeOver = (
  { jobId, hasLocalRuns: isHeld, orphanedMs }: OrphanedJob,
  self: string,
  serving: readonly string[],
): boolean => {
  if (isHeld) return true;
  const rank = rankNodes(jobId, [self, ...serving]).indexOf(self);
  return orphanedMs >= FORMER_OWNER_DELAY_MS + rank * RANK_DELAY_MS;
};
