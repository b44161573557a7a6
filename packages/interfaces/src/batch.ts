import type { Reply } from '@jujubelanding/errors';
import type { BatchItem, ItemResult, JobRecord, SegmentReference } from '@jujubelanding/types';

/** Replicated storage of immutable segments. */
export interface SegmentStore {
  /** Stores copies on VMs with a disk in different availability zones; done when all are fsynced. */
  write(content: Uint8Array): Reply<SegmentReference>;
  /** Reads any good copy and checks it. */
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
  /** Largest number of items that the team may submit. */
  maxItems: number;
}

export interface SubmittedJob {
  job: JobRecord;
  /** True when an earlier submission under the same key is returned. */
  resent: boolean;
}

export interface BatchJobs {
  /** Resolves once the job outlasts the loss of any one VM. */
  submit(submission: JobSubmission): Reply<SubmittedJob>;
  get(jobId: string): Reply<JobRecord>;
  list(team: string): Reply<JobRecord[]>;
  /** Resolves once the cancellation is durable. */
  cancel(jobId: string): Reply<JobRecord>;
  /** Results of committed items in [from, to), in order of items. */
  readResults(jobId: string, from: number, to: number): AsyncIterable<ItemResult>;
}
