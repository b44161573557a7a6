import type { Reply } from '@jujubelanding/errors';
import type { BatchItem, ItemResult, JobRecord, SegmentReference } from '@jujubelanding/types';

/** Replicated storage of immutable segments. */
export interface SegmentStore {
  /**
   * Writes copies to VMs with a disk in different availability zones; resolves once all are
   * fsynced.
   */
  write(content: Uint8Array): Reply<SegmentReference>;
  /** Reads any intact copy and verifies its checksum. */
  read(reference: SegmentReference): Reply<Uint8Array>;
}

export interface JobSubmission {
  team: string;
  idempotencyKey: string;
  model: string;
  adapter?: string;
  jobClass?: string;
  maxAttempts: number;
  dueAt: number;
  items: AsyncIterable<BatchItem>;
  /** Maximum number of items that the team may submit. */
  maxItems: number;
}

export interface SubmittedJob {
  job: JobRecord;
  /** True if the job was created by an earlier submission with the same idempotency key. */
  resent: boolean;
}

export interface BatchJobs {
  /** Resolves once the job survives the loss of any single VM. */
  submit(submission: JobSubmission): Reply<SubmittedJob>;
  get(jobId: string): Reply<JobRecord>;
  list(team: string): Reply<JobRecord[]>;
  /** Resolves once the cancellation is durable. */
  cancel(jobId: string): Reply<JobRecord>;
  /** Yields the results of committed items with index in [from, to), in item order. */
  readResults(jobId: string, from: number, to: number): AsyncIterable<ItemResult>;
}
